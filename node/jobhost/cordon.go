package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/upkeep"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// cordonMessage tells the owner of a shard which workers to cordon.
type cordonMessage struct {
	Partition int   `cbor:"1,keyasint"`
	Epoch     int64 `cbor:"2,keyasint"`
	// Workers holds the ids of the workers to cordon. If the value is true
	// their tasks are stopped too.
	Workers map[string]bool `cbor:"3,keyasint,omitempty"`
	// IncomingMilliCPU is the capacity of the VMs that are moving to each
	// service.
	IncomingMilliCPU map[string]int64 `cbor:"4,keyasint,omitempty"`
}

// cordonResponse is the owner's report on its workers and pools.
type cordonResponse struct {
	Workers []shard.WorkerStat `cbor:"1,keyasint,omitempty"`
	Pools   []shard.PoolStats  `cbor:"2,keyasint,omitempty"`
	// Epoch is the owner's epoch.
	Epoch int64 `cbor:"3,keyasint,omitempty"`
}

// workerReport is what the owner with the given epoch reported on a worker.
type workerReport struct {
	shard.WorkerStat
	at, epoch int64
}

type poolReport struct {
	shard.PoolStats
	at int64
}

// exchangeCordons sends the cordons to the owner of every shard and collects
// the reports.
func (c *fleetController) exchangeCordons(ctx context.Context, plan upkeep.Plan, moves movePlan) {
	byPartition := map[deps.Partition]map[string]bool{}
	for _, p := range c.host.requiredPartitions() {
		if p.Topic == deps.TopicJobs {
			byPartition[p] = map[string]bool{}
		}
	}
	add := func(id string, evict bool) {
		vm, ok := c.vms[id]
		if list := byPartition[c.host.partitionOf(vm.Pool)]; ok && list != nil && vm.Worker != "" {
			list[vm.Worker] = list[vm.Worker] || evict
		}
	}
	for id := range plan.Drain {
		add(id, plan.Evict[id])
	}
	for id := range moves.draining {
		add(id, false)
	}
	incoming := c.incomingMilliCPU()
	var wait sync.WaitGroup
	var mu sync.Mutex
	for p, workers := range byPartition {
		wait.Go(func() {
			response, err := c.host.sendCordon(ctx, p, cordonMessage{Partition: p.Index, Epoch: c.shard.epoch, Workers: workers, IncomingMilliCPU: incoming[p]})
			if err != nil {
				c.host.record(events.RequestPassedOn, events.Fields{Detail: "cordon " + describe(p), Err: err})
				return
			}
			mu.Lock()
			defer mu.Unlock()
			c.applyReports(response)
		})
	}
	wait.Wait()
}

// incomingMilliCPU returns the capacity of the VMs that are moving, by shard
// and service.
func (c *fleetController) incomingMilliCPU() map[deps.Partition]map[string]int64 {
	sum := map[deps.Partition]map[string]int64{}
	for id, moving := range c.moves.inProgress {
		vm, known := c.vms[id]
		if !known || c.isSparePool(moving.to) {
			continue
		}
		p := c.host.partitionOf(moving.to)
		if sum[p] == nil {
			sum[p] = map[string]int64{}
		}
		sum[p][moving.to] += int64(vm.Capacity.MilliCPU)
	}
	return sum
}

func (c *fleetController) applyReports(a cordonResponse) {
	now := monotonicMS()
	for _, w := range a.Workers {
		c.workerReports[w.ID] = workerReport{w, now, a.Epoch}
	}
	for _, p := range a.Pools {
		c.poolReports[p.Service] = poolReport{p, now}
	}
}

// cordonTimeout limits one exchange with the owner of a shard.
const cordonTimeout = 600 * time.Millisecond

func (h *Host) sendCordon(ctx context.Context, p deps.Partition, m cordonMessage) (cordonResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, cordonTimeout)
	defer cancel()
	owner, ok := (*h.owners.Load())[p]
	if !ok {
		return cordonResponse{}, errors.New("the shard has no owner")
	}
	if owner.Node == h.cfg.Node {
		return h.applyCordons(ctx, p, m)
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return cordonResponse{}, err
	}
	data, err := h.mesh.Call(ctx, owner.Node, methodCordon, body)
	if err != nil {
		return cordonResponse{}, err
	}
	var response cordonResponse
	return response, decMode.Unmarshal(data, &response)
}

func (h *Host) serveCordon(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var m cordonMessage
	if err := decMode.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "a cordon can't be decoded")
	}
	response, err := h.applyCordons(ctx, deps.Partition{Topic: deps.TopicJobs, Index: m.Partition}, m)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(response)
}

// applyCordons sets the cordons of a shard that this node owns and returns a
// report on the shard, unless another node may have taken it over. It rejects
// cordons of an older fleet controller.
func (h *Host) applyCordons(ctx context.Context, p deps.Partition, m cordonMessage) (cordonResponse, error) {
	var response cordonResponse
	var rejection error
	err := h.runOnLoop(ctx, func() {
		s := h.owned[p]
		if s == nil || s.core == nil {
			rejection = errors.New("this node does not own the shard")
			return
		}
		if m.Epoch < max(s.cordonEpoch, h.newestKnownEpoch(fleetPartition)) {
			rejection = errors.New("there is a newer fleet controller")
			return
		}
		now := monotonicMS()
		s.cordonEpoch, s.cordonAt = m.Epoch, now
		s.core.SetCordons(now, m.Workers)
		s.core.SetIncomingCapacity(m.IncomingMilliCPU)
		h.expectingVMs.Store(len(m.IncomingMilliCPU) > 0)
		if !h.isSoleOwner(s, now) {
			rejection = errors.New("another node may own the shard")
			return
		}
		response = cordonResponse{Workers: s.core.WorkerStats(), Pools: s.core.PoolStats(), Epoch: s.epoch}
	})
	if err != nil {
		// The control loop may still write the response.
		return cordonResponse{}, err
	}
	return response, rejection
}

// expireCordons lifts cordons that no fleet controller has renewed within
// cordonTTL.
func (h *Host) expireCordons(now int64) {
	for _, s := range h.owned {
		if s.core != nil && s.cordonAt != 0 && now-s.cordonAt > cordonTTL.Milliseconds() {
			s.cordonAt = 0
			s.core.SetCordons(now, nil)
			s.core.SetIncomingCapacity(nil)
			h.expectingVMs.Store(false)
		}
	}
}
