package jobhost

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// followOperator reads the operator's configuration and waves.
func (h *Host) followOperator(ctx context.Context) {
	f := feed{host: h, partition: deps.Partition{Topic: deps.TopicOperator}, wait: operatorWait, margin: operatorMargin}
	f.follow(ctx, func(records []shard.Record, _ bool) {
		h.post(func() {
			for _, r := range records {
				h.takeOperator(r)
			}
		})
	}, nil)
}

func (h *Host) takeOperator(r shard.Record) {
	change, err := h.cfg.Codec.Operator(r)
	if err != nil {
		h.record(events.RecordUnreadable, events.Fields{Detail: "operator " + r.Key, Err: err})
		return
	}
	if change.Configuration != nil {
		h.takeConfiguration(change.Configuration)
	}
	if w := change.Wave; w != nil && h.waves[w.Number] == nil {
		h.waves[w.Number] = w
		h.waveSeenAt[w.Number] = steadyMS()
		h.record(events.WaveSeen, events.Fields{Detail: fmt.Sprintf("wave=%d vms=%d duration=%s cap=%d", w.Number, len(w.VMs), w.Duration, w.Cap)})
	}
}

// takeConfiguration puts a newer configuration in force; older ones are left.
func (h *Host) takeConfiguration(cfg *deps.Configuration) {
	old := h.config.Load()
	if old != nil && cfg.Version <= old.Version {
		return
	}
	h.noteFormer(old, cfg)
	sort.SliceStable(cfg.Routes, func(i, j int) bool { return len(cfg.Routes[i].PathPrefix) > len(cfg.Routes[j].PathPrefix) })
	h.config.Store(cfg)
	h.record(events.JobConfigInForce, events.Fields{Detail: fmt.Sprintf("version=%d routes=%d pools=%d", cfg.Version, len(cfg.Routes), len(cfg.Pools))})
	for _, s := range h.sortedOwned() {
		h.configureShard(s)
	}
}

// noteFormer remembers the shards that queues move away from.
func (h *Host) noteFormer(old, cfg *deps.Configuration) {
	if old == nil {
		return
	}
	was := map[string]deps.Partition{}
	for _, r := range old.Routes {
		was[r.Queue.Name] = h.partitionOf(r.Queue.Service)
	}
	former := map[string][]deps.Partition{}
	if known := h.former.Load(); known != nil {
		former = maps.Clone(*known)
	}
	for _, r := range cfg.Routes {
		name := r.Queue.Name
		part, known := was[name]
		if known && part != h.partitionOf(r.Queue.Service) && !slices.Contains(former[name], part) {
			former[name] = append(slices.Clone(former[name]), part)
		}
	}
	h.former.Store(&former)
}

// Route finds the queue of a request.
func (h *Host) Route(host, path string) (deps.Route, RouteResult) {
	cfg := h.config.Load()
	if cfg == nil {
		return deps.Route{}, RouteNoConfiguration
	}
	for _, r := range cfg.Routes {
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) {
			return r, RouteFound
		}
	}
	return deps.Route{}, RouteUnknown
}

// Queues returns the queues of the configuration in force.
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

// RouteResult says whether a request has a queue.
type RouteResult int

// The results of Route.
const (
	RouteFound RouteResult = iota
	RouteUnknown
	RouteNoConfiguration
)

// Ready says whether the node can take callers.
func (h *Host) Ready() bool { return !h.leaving.Load() && h.config.Load() != nil }

// partitionOf returns the partition of a service's shard.
func (h *Host) partitionOf(service string) deps.Partition {
	f := fnv.New32a()
	_, _ = f.Write([]byte(service))
	return deps.Partition{Topic: deps.TopicJobs, Index: int(f.Sum32() % uint32(h.cfg.Partitions))}
}

// needed lists the partitions that must have an owner.
func (h *Host) needed() []deps.Partition {
	cfg := h.config.Load()
	if cfg == nil {
		return nil
	}
	seen := map[deps.Partition]bool{}
	list := []deps.Partition{fleetPartition}
	for _, p := range cfg.Pools {
		part := h.partitionOf(p.Service)
		if !seen[part] && !p.Spare {
			seen[part] = true
			list = append(list, part)
		}
	}
	sort.Slice(list[1:], func(i, j int) bool { return list[1+i].Index < list[1+j].Index })
	return list
}

// followWorkers reads the workers' entries while this node needs them.
func (h *Host) followWorkers(ctx context.Context) {
	f := feed{host: h, partition: deps.Partition{Topic: deps.TopicWorkers}, pause: readInterval, active: h.needLists.Load, hurry: h.expecting.Load}
	f.follow(ctx, func(records []shard.Record, whole bool) {
		h.post(func() { h.takeWorkers(records, whole) })
	}, nil)
}

func (h *Host) takeWorkers(records []shard.Record, whole bool) {
	if whole {
		h.workers = map[string]deps.WorkerChange{}
	}
	for _, r := range records {
		if r.Key == "" {
			continue
		}
		change, err := h.cfg.Codec.Worker(r)
		if err != nil {
			h.record(events.RecordUnreadable, events.Fields{Detail: "worker " + r.Key, Err: err})
		}
		if change.Gone {
			delete(h.workers, change.ID)
			continue
		}
		h.workers[change.ID] = change
	}
	h.listsKnown.Store(true)
	for _, s := range h.sortedOwned() {
		h.listWorkers(s)
	}
}

// listWorkers hands a shard the workers of its services.
func (h *Host) listWorkers(s *ownedShard) {
	if s.core == nil || !h.listsKnown.Load() {
		return
	}
	var list []shard.Worker
	for _, w := range h.workers {
		if h.partitionOf(w.Worker.Service) == s.partition {
			list = append(list, w.Worker)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	s.core.SetWorkers(steadyMS(), list)
}

// configureShard hands a shard the queues of its services.
func (h *Host) configureShard(s *ownedShard) {
	cfg := h.config.Load()
	if s.core == nil || cfg == nil {
		return
	}
	var queues []shard.Queue
	for _, r := range cfg.Routes {
		if h.partitionOf(r.Queue.Service) == s.partition {
			queues = append(queues, r.Queue)
		}
	}
	s.core.SetQueues(queues)
}

// sinceMS is the time since a moment on the steady clock.
func sinceMS(at int64) time.Duration { return time.Duration(steadyMS()-at) * time.Millisecond }
