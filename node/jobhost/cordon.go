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

// cordonMessage tells a shard's owner which workers to empty.
type cordonMessage struct {
	Partition int   `cbor:"1,keyasint"`
	Epoch     int64 `cbor:"2,keyasint"`
	// Workers are the ids; a true value says to stop the tasks too.
	Workers map[string]bool `cbor:"3,keyasint,omitempty"`
	// Coming is the room on its way to each service.
	Coming map[string]int64 `cbor:"4,keyasint,omitempty"`
}

// cordonAnswer is what a shard's owner knows of its workers and pools.
type cordonAnswer struct {
	Workers []shard.WorkerStat `cbor:"1,keyasint,omitempty"`
	Pools   []shard.PoolStats  `cbor:"2,keyasint,omitempty"`
}

type workerReport struct {
	shard.WorkerStat
	at int64
}

type poolReport struct {
	shard.PoolStats
	at int64
}

// exchange tells every shard's owner its cordons and collects the reports.
func (d *fleetDuty) exchange(ctx context.Context, plan upkeep.Plan, moves movePlan) {
	byPartition := map[deps.Partition]map[string]bool{}
	for _, p := range d.host.needed() {
		if p.Topic == deps.TopicJobs {
			byPartition[p] = map[string]bool{}
		}
	}
	add := func(id string, evict bool) {
		vm, ok := d.vms[id]
		if list := byPartition[d.host.partitionOf(vm.Pool)]; ok && list != nil && vm.Worker != "" {
			list[vm.Worker] = list[vm.Worker] || evict
		}
	}
	for id := range plan.Empty {
		add(id, plan.Evict[id])
	}
	for id := range moves.emptying {
		add(id, false)
	}
	coming := d.coming()
	var wait sync.WaitGroup
	var mu sync.Mutex
	for p, workers := range byPartition {
		wait.Go(func() {
			answer, err := d.host.sendCordon(ctx, p, cordonMessage{Partition: p.Index, Epoch: d.shard.epoch, Workers: workers, Coming: coming[p]})
			if err != nil {
				d.host.record(events.RequestPassedOn, events.Fields{Detail: "cordon " + describe(p), Err: err})
				return
			}
			mu.Lock()
			defer mu.Unlock()
			d.takeReports(answer)
		})
	}
	wait.Wait()
}

// coming is the room of the VMs that are on their way, by shard and service.
func (d *fleetDuty) coming() map[deps.Partition]map[string]int64 {
	sum := map[deps.Partition]map[string]int64{}
	for id, g := range d.moves.going {
		vm, there := d.vms[id]
		if !there || d.spare(g.to) {
			continue
		}
		p := d.host.partitionOf(g.to)
		if sum[p] == nil {
			sum[p] = map[string]int64{}
		}
		sum[p][g.to] += int64(vm.Capacity.MilliCPU)
	}
	return sum
}

func (d *fleetDuty) takeReports(a cordonAnswer) {
	now := steadyMS()
	for _, w := range a.Workers {
		d.reports[w.ID] = workerReport{w, now}
	}
	for _, p := range a.Pools {
		d.pools[p.Service] = poolReport{p, now}
	}
}

// cordonTimeout bounds one exchange with a shard's owner.
const cordonTimeout = 600 * time.Millisecond

func (h *Host) sendCordon(ctx context.Context, p deps.Partition, m cordonMessage) (cordonAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, cordonTimeout)
	defer cancel()
	owner, ok := (*h.owners.Load())[p]
	if !ok {
		return cordonAnswer{}, errors.New("the shard has no owner")
	}
	if owner.Node == h.cfg.Node {
		return h.cordonLocal(ctx, p, m)
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return cordonAnswer{}, err
	}
	data, err := h.mesh.Call(ctx, owner.Node, methodCordon, body)
	if err != nil {
		return cordonAnswer{}, err
	}
	var answer cordonAnswer
	return answer, decMode.Unmarshal(data, &answer)
}

func (h *Host) serveCordon(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var m cordonMessage
	if err := decMode.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "a cordon can't be decoded")
	}
	answer, err := h.cordonLocal(ctx, deps.Partition{Topic: deps.TopicJobs, Index: m.Partition}, m)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(answer)
}

// cordonLocal sets the cordons of a shard of this node and reports on it.
// Cordons of an older fleet duty are refused.
func (h *Host) cordonLocal(ctx context.Context, p deps.Partition, m cordonMessage) (cordonAnswer, error) {
	var answer cordonAnswer
	var failure error
	err := h.ask(ctx, func() {
		s := h.owned[p]
		if s == nil || s.core == nil {
			failure = errors.New("this node does not own the shard")
			return
		}
		if m.Epoch < s.cordonEpoch {
			failure = errors.New("a newer fleet duty has set cordons")
			return
		}
		now := steadyMS()
		s.cordonEpoch, s.cordonAt = m.Epoch, now
		s.core.Cordon(now, m.Workers)
		s.core.SetComing(m.Coming)
		h.expecting.Store(len(m.Coming) > 0)
		answer = cordonAnswer{Workers: s.core.WorkerStats(), Pools: s.core.PoolStats()}
	})
	if err != nil {
		return answer, err
	}
	return answer, failure
}

// expireCordons lifts cordons that no fleet duty renews.
func (h *Host) expireCordons(now int64) {
	for _, s := range h.owned {
		if s.core != nil && s.cordonAt != 0 && now-s.cordonAt > cordonLife.Milliseconds() {
			s.cordonAt = 0
			s.core.Cordon(now, nil)
			s.core.SetComing(nil)
			h.expecting.Store(false)
		}
	}
}
