package jobhost

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"wigeonwinch/fleet/upkeep"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
)

// fleetPartition is owned by the one node that moves and maintains VMs.
var fleetPartition = deps.Partition{Topic: deps.TopicFleet}

// The fleet duty's times.
const (
	// fleetTick is the pause between two plans.
	fleetTick = 200 * time.Millisecond
	// cordonLife is how long a cordon holds without being renewed.
	cordonLife = 3 * time.Second
	// busyList and idleList are the ages at which the list of VMs is read
	// again, with and without a wave in progress.
	busyList = 900 * time.Millisecond
	idleList = 4 * time.Second
	// actTimeout bounds a call to the VM service.
	actTimeout = 1500 * time.Millisecond
	// actRetry is the pause before a failed act is tried again.
	actRetry = 700 * time.Millisecond
)

// fleetDuty is the state of the node that moves and maintains VMs. It belongs
// to the goroutine of runFleet, except for the shard, of which only provenAt may
// be read there.
type fleetDuty struct {
	host     *Host
	shard    *ownedShard
	vms      map[string]deps.VM
	listedAt int64
	listLost bool
	// emptying is since when a VM is to be emptied, by wave.
	emptying map[int]map[string]int64
	// down is when a VM was taken down, by wave, and begun is set once the
	// platform said so.
	down   map[int]map[string]int64
	begun  map[int]map[string]bool
	closed map[int]bool
	opened map[int]bool
	// actAt is when the last act on a VM was tried.
	actAt   map[string]int64
	reports map[string]workerReport
	pools   map[string]poolReport
	moves   *moveDuty
	// lastAct is when the last act on a VM began.
	lastAct atomic.Int64
	// quietMS is for how long no earlier holder had acted when this one began;
	// 0 means that it is not known.
	quietMS   int64
	announced announcedActs
	// loggedAt is when the pools' loads were last logged.
	loggedAt int64
}

func newFleetDuty(h *Host, s *ownedShard) *fleetDuty {
	d := &fleetDuty{
		host: h, shard: s, vms: map[string]deps.VM{}, emptying: map[int]map[string]int64{},
		down: map[int]map[string]int64{}, begun: map[int]map[string]bool{}, closed: map[int]bool{},
		opened: map[int]bool{}, actAt: map[string]int64{}, reports: map[string]workerReport{}, pools: map[string]poolReport{},
	}
	d.moves = newMoveDuty()
	for key := range s.kept {
		d.recall(key)
	}
	known, err := readActs(s.kept, s.inherited)
	if err != nil {
		h.record(events.RecordUnreadable, events.Fields{Detail: "fleet " + actsKey, Err: err})
	}
	d.announced = inheritActs(known, steadyMS())
	return d
}

// recall takes over what an earlier holder recorded: w/WAVE/VM for begun
// maintenance, w/WAVE for a completed wave.
func (d *fleetDuty) recall(key string) {
	parts := strings.Split(key, "/")
	if len(parts) < 2 || parts[0] != "w" {
		return
	}
	var wave int
	if _, err := fmt.Sscanf(parts[1], "%d", &wave); err != nil {
		d.host.record(events.RecordUnreadable, events.Fields{Detail: "fleet " + key, Err: err})
		return
	}
	if len(parts) == 2 {
		d.closed[wave] = true
		return
	}
	d.setBegun(wave, parts[2])
}

func (d *fleetDuty) setBegun(wave int, vm string) {
	if d.begun[wave] == nil {
		d.begun[wave] = map[string]bool{}
	}
	d.begun[wave][vm] = true
}

// runFleet plans again and again while this node holds the duty.
func (h *Host) runFleet(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, fleetTick)
		var d *fleetDuty
		var waves []*deps.Wave
		seen := map[int]int64{}
		if h.ask(ctx, func() {
			d = h.fleet
			for n, w := range h.waves {
				waves = append(waves, w)
				seen[n] = h.waveSeenAt[n]
			}
		}) != nil || d == nil {
			continue
		}
		sort.Slice(waves, func(i, j int) bool { return waves[i].Number < waves[j].Number })
		d.round(ctx, waves, seen)
	}
}

// round makes one plan and carries it out.
func (d *fleetDuty) round(ctx context.Context, waves []*deps.Wave, seen map[int]int64) {
	open := 0
	for _, w := range waves {
		if !d.closed[w.Number] {
			open++
		}
	}
	d.refresh(ctx, open > 0)
	if d.listedAt == 0 {
		return
	}
	now := steadyMS()
	plan := upkeep.Make(d.view(now, waves, seen))
	moves := d.moves.plan(d, now, plan)
	d.noteEmptying(now, waves, plan)
	d.exchange(ctx, plan, moves)
	d.logPools(now)
	maintain := slices.DeleteFunc(plan.Maintain, func(a upkeep.Act) bool { return !d.clearedSince(a.VM, now) })
	ready := slices.DeleteFunc(moves.ready, func(m vmMove) bool { return !d.clearedSince(m.VM, now) })
	if d.announced.all && d.inGap(now) {
		// A record of this holder would hide that the acts before are unknown.
		return
	}
	if len(maintain)+len(ready)+len(plan.Done) > 0 {
		d.prove(ctx, maintain, ready)
	}
	if !d.mayAct() {
		return
	}
	d.maintainAll(ctx, maintain)
	d.moveAll(ctx, ready)
	for _, w := range waves {
		d.openWave(ctx, w.Number)
	}
	for _, n := range plan.Done {
		d.closeWave(ctx, n)
	}
}

// poolLogInterval is the pause between two log lines of the pools' loads.
const poolLogInterval = time.Second

// logPools logs the loads that moves and waves are planned on.
func (d *fleetDuty) logPools(now int64) {
	if now-d.loggedAt < poolLogInterval.Milliseconds() {
		return
	}
	d.loggedAt = now
	for _, name := range slices.Sorted(maps.Keys(d.pools)) {
		p := d.pools[name]
		d.host.record(events.PoolLoad, events.Fields{Pool: name, AgeMS: now - p.at, Epoch: d.shard.epoch,
			Detail: fmt.Sprintf("workers=%d capacity=%d used=%d lasting=%d waiting_work=%d arrived_work=%d", p.Workers, p.CapacityMilliCPU, p.UsedMilliCPU, p.LastingMilliCPU, p.WaitingWork, p.ArrivedWork)})
	}
}

// clearedSince says whether a VM runs nothing as of a report that came after
// the given time, from whoever owns its shard now. VMs in the spare pool run
// nothing at all.
func (d *fleetDuty) clearedSince(vm string, since int64) bool {
	v, there := d.vms[vm]
	if !there {
		return false
	}
	if d.spare(v.Pool) {
		return true
	}
	r, known := d.reports[v.Worker]
	return known && r.Empty && r.at >= since
}

// refresh reads the list of VMs if it is old.
func (d *fleetDuty) refresh(ctx context.Context, busy bool) {
	age := idleList
	if busy || d.moves.active() {
		age = busyList
	}
	if d.listedAt != 0 && sinceMS(d.listedAt) < age {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, actTimeout)
	defer cancel()
	sentAt := steadyMS()
	list, err := d.host.cfg.VMs.List(ctx)
	if (err != nil) != d.listLost {
		d.listLost = err != nil
		if d.listLost {
			d.host.record(events.VMActFailed, events.Fields{Detail: "list", Err: err})
		}
	}
	if err != nil {
		return
	}
	d.listedAt = sentAt
	d.vms = make(map[string]deps.VM, len(list))
	for _, vm := range list {
		d.vms[vm.ID] = vm
		d.forgetDown(vm, sentAt)
	}
}

// forgetDown notes VMs that are up again after their maintenance.
func (d *fleetDuty) forgetDown(vm deps.VM, sentAt int64) {
	for _, down := range d.down {
		if at, ok := down[vm.ID]; ok && vm.State == deps.VMUp && sentAt-at > d.host.cfg.UpkeepMS {
			delete(down, vm.ID)
		}
	}
}

func (d *fleetDuty) spare(pool string) bool {
	cfg := d.host.config.Load()
	if cfg == nil {
		return false
	}
	for _, p := range cfg.Pools {
		if p.Service == pool {
			return p.Spare
		}
	}
	return false
}

func (d *fleetDuty) view(now int64, waves []*deps.Wave, seen map[int]int64) upkeep.View {
	v := upkeep.View{Now: now, VMs: map[string]upkeep.VM{}, DownMS: d.host.cfg.UpkeepMS}
	for id, vm := range d.vms {
		r := d.reports[vm.Worker]
		v.VMs[id] = upkeep.VM{
			ID: id, Pool: vm.Pool, Up: vm.State == deps.VMUp, Spare: d.spare(vm.Pool),
			Cleared: d.cleared(vm, now), UsedMilliCPU: r.UsedMilliCPU, Lasting: r.Lasting,
			Reserved: d.moves.reserved(id) || d.held(id, now) || now-d.actAt[id] < actRetry.Milliseconds(),
		}
	}
	for _, w := range waves {
		if d.closed[w.Number] {
			continue
		}
		down := map[string]bool{}
		for id := range d.down[w.Number] {
			down[id] = true
		}
		for _, id := range w.VMs {
			if vm, ok := d.vms[id]; ok && (vm.State == deps.VMUpkeep || d.held(id, now)) {
				down[id] = true
			}
		}
		v.Waves = append(v.Waves, upkeep.Wave{
			Number: w.Number, VMs: w.VMs, Cap: w.Cap, EndsAt: seen[w.Number] + w.Duration.Milliseconds(),
			Begun: d.begun[w.Number], Down: down, EmptyingSince: d.emptying[w.Number],
		})
	}
	return v
}

func (d *fleetDuty) noteEmptying(now int64, waves []*deps.Wave, plan upkeep.Plan) {
	for _, w := range waves {
		m := d.emptying[w.Number]
		if m == nil {
			m = map[string]int64{}
			d.emptying[w.Number] = m
		}
		for _, id := range w.VMs {
			if !plan.Empty[id] {
				delete(m, id)
			} else if m[id] == 0 {
				m[id] = now
			}
		}
	}
}
