package jobhost

import (
	"context"
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
	"time"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// followOperator reads the operator's configuration and waves.
func (h *Host) followOperator(ctx context.Context) {
	f := partitionReader{host: h, partition: deps.Partition{Topic: deps.TopicOperator}, wait: operatorWait, answerMargin: operatorMargin}
	f.run(ctx, func(records []shard.Record, _ bool) {
		h.post(func() {
			for _, r := range records {
				h.applyOperatorRecord(r)
			}
		})
	}, nil)
}

func (h *Host) applyOperatorRecord(r shard.Record) {
	change, err := h.cfg.Codec.Operator(r)
	if err != nil {
		h.record(events.RecordUnreadable, events.Fields{Detail: "operator " + r.Key, Err: err})
		return
	}
	if change.Configuration != nil {
		h.applyConfiguration(change.Configuration)
	}
	if w := change.Wave; w != nil && h.waves[w.Number] == nil {
		h.waves[w.Number] = w
		h.waveSeenAt[w.Number] = monotonicMS()
		h.record(events.WaveSeen, events.Fields{Detail: fmt.Sprintf("wave=%d vms=%d duration=%s cap=%d", w.Number, len(w.VMs), w.Duration, w.MaxDown)})
	}
}

// applyConfiguration puts a newer configuration in force and ignores older
// ones.
func (h *Host) applyConfiguration(cfg *deps.Configuration) {
	old := h.config.Load()
	if old != nil && cfg.Version <= old.Version {
		return
	}
	sort.SliceStable(cfg.Routes, func(i, j int) bool { return len(cfg.Routes[i].PathPrefix) > len(cfg.Routes[j].PathPrefix) })
	cfg.IndexKeys()
	h.config.Store(cfg)
	h.record(events.JobConfigInForce, events.Fields{Detail: fmt.Sprintf("version=%d routes=%d pools=%d customers=%d keys=%d",
		cfg.Version, len(cfg.Routes), len(cfg.Pools), len(cfg.Customers), cfg.Keys())})
	for _, s := range h.sortedOwned() {
		h.updateShardQueues(s)
	}
	h.nameWorkers()
	h.updateArbiter()
	go h.homes.refresh()
}

// Route returns the route of a request by host and path.
func (h *Host) Route(host, path string) (deps.Route, RouteResult) {
	cfg := h.config.Load()
	if cfg == nil {
		return deps.Route{}, RouteConfigMissing
	}
	for _, r := range cfg.Routes {
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) {
			return r, RouteFound
		}
	}
	return deps.Route{}, RouteUnknown
}

// Queues returns the queues of the configuration in force, sorted by name.
func (h *Host) Queues() []shard.Queue {
	cfg := h.config.Load()
	if cfg == nil {
		return nil
	}
	queues := make([]shard.Queue, 0, len(cfg.Routes))
	for _, r := range cfg.Routes {
		queues = append(queues, r.Queue)
	}
	sort.Slice(queues, func(i, j int) bool { return queues[i].Name < queues[j].Name })
	return queues
}

// RouteResult is the result of a route lookup.
type RouteResult int

// The results of Route.
const (
	RouteFound RouteResult = iota
	RouteUnknown
	RouteConfigMissing
)

// Ready reports whether the node accepts callers.
func (h *Host) Ready() bool { return !h.leaving.Load() && h.config.Load() != nil }

// partitionOf returns the partition of the shard of a service.
func (h *Host) partitionOf(service string) deps.Partition {
	f := fnv.New32a()
	_, _ = f.Write([]byte(service))
	return deps.Partition{Topic: deps.TopicJobs, Index: int(f.Sum32() % uint32(h.cfg.Partitions))}
}

// requiredPartitions returns the partitions that must have an owner: those of the
// configured services, and those that have jobs of services that are not configured any
// more.
func (h *Host) requiredPartitions() []deps.Partition {
	cfg := h.config.Load()
	if cfg == nil {
		return nil
	}
	seen := map[deps.Partition]bool{}
	list := []deps.Partition{fleetPartition}
	add := func(p deps.Partition) {
		if !seen[p] {
			seen[p] = true
			list = append(list, p)
		}
	}
	for _, p := range cfg.Pools {
		if !p.Spare {
			add(h.partitionOf(p.Service))
		}
	}
	for _, index := range h.homes.shardsWithJobs() {
		add(deps.Partition{Topic: deps.TopicJobs, Index: index})
	}
	sort.Slice(list[1:], func(i, j int) bool { return list[1+i].Index < list[1+j].Index })
	return list
}

// followWorkers reads the workers' entries while this node needs them.
func (h *Host) followWorkers(ctx context.Context) {
	f := partitionReader{host: h, partition: deps.Partition{Topic: deps.TopicWorkers}, pause: readInterval, active: h.needWorkers.Load, wake: h.workersNeeded, urgent: h.expectingVMs.Load}
	f.run(ctx, func(records []shard.Record, whole bool) {
		h.post(func() { h.applyWorkerRecords(records, whole) })
	}, func(sentAt int64) {
		h.post(func() { h.confirmWorkers(sentAt) })
	})
}

// confirmWorkers tells the shards until when their lists of workers are complete.
func (h *Host) confirmWorkers(sentAt int64) {
	h.workersReadAt = sentAt
	for _, s := range h.owned {
		if s.core != nil {
			s.core.ConfirmWorkers(sentAt)
		}
	}
}

// updateShardQueues tells a shard which queues of the configuration are its own, and which go
// to other shards.
func (h *Host) updateShardQueues(s *ownedShard) {
	cfg := h.config.Load()
	if s.core == nil || cfg == nil {
		return
	}
	var own, other []shard.Queue
	for _, r := range cfg.Routes {
		if h.partitionOf(r.Queue.Service) == s.partition {
			own = append(own, r.Queue)
		} else {
			other = append(other, r.Queue)
		}
	}
	s.core.SetCustomers(cfg.Version, customersOf(cfg))
	s.core.SetQueues(own)
	s.core.SetOtherQueues(other)
}

// sinceMS returns the time elapsed since a monotonic time in milliseconds.
func sinceMS(at int64) time.Duration { return time.Duration(monotonicMS()-at) * time.Millisecond }
