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

// fleetPartition is owned by the fleet controller, the one node that moves and
// maintains VMs.
var fleetPartition = deps.Partition{Topic: deps.TopicFleet}

// The intervals and timeouts of the fleet controller.
const (
	// fleetPlanInterval is the pause between two plans.
	fleetPlanInterval = 200 * time.Millisecond
	// cordonTTL is how long a cordon lasts without renewal.
	cordonTTL = 3 * time.Second
	// activeListMaxAge and idleListMaxAge are the ages at which the list of VMs
	// is read again, with and without a wave or move in progress.
	activeListMaxAge = 900 * time.Millisecond
	idleListMaxAge   = 4 * time.Second
	// actionTimeout limits one call to the VM service.
	actionTimeout = 1500 * time.Millisecond
	// actionRetryDelay is the pause before a failed action is retried.
	actionRetryDelay = 700 * time.Millisecond
)

// fleetController moves and maintains VMs. Its state belongs to the goroutine
// of runFleetController, except for the shard, of which that goroutine may read
// only verifiedAt and fields that never change.
type fleetController struct {
	host        *Host
	shard       *ownedShard
	vms         map[string]deps.VM
	listedAt    int64
	listFailing bool
	// drainingSince is when the draining of a VM began, by wave.
	drainingSince map[int]map[string]int64
	// downSince is when a VM was taken down, by wave. started is set once the
	// platform confirmed it.
	downSince      map[int]map[string]int64
	started        map[int]map[string]bool
	completedWaves map[int]bool
	reportedWaves  map[int]bool
	// lastActionAt is when the last action on a VM was attempted.
	lastActionAt  map[string]int64
	workerReports map[string]workerReport
	poolReports   map[string]poolReport
	moves         *moveTracker
	// lastActionStart is when the last action on any VM began.
	lastActionStart atomic.Int64
	// predecessorIdleMS is how long no predecessor had acted when this
	// controller began, or 0 if unknown.
	predecessorIdleMS int64
	announced         announcedActions
	// poolsLoggedAt is when the pool loads were last logged.
	poolsLoggedAt int64
}

func newFleetController(h *Host, s *ownedShard) *fleetController {
	c := &fleetController{
		host: h, shard: s, vms: map[string]deps.VM{}, drainingSince: map[int]map[string]int64{},
		downSince: map[int]map[string]int64{}, started: map[int]map[string]bool{}, completedWaves: map[int]bool{},
		reportedWaves: map[int]bool{}, lastActionAt: map[string]int64{}, workerReports: map[string]workerReport{}, poolReports: map[string]poolReport{},
	}
	c.moves = newMoveTracker()
	for key := range s.records {
		c.replayKey(key)
	}
	priorVMs, err := decodeAnnouncedVMs(s.records, s.hadPredecessor)
	if err != nil {
		h.record(events.RecordUnreadable, events.Fields{Detail: "fleet " + actionsKey, Err: err})
	}
	c.announced = newAnnouncedActions(priorVMs, monotonicMS())
	return c
}

// replayKey replays the key of a record of a predecessor: w/WAVE/VM for
// maintenance that has started, w/WAVE for a completed wave.
func (c *fleetController) replayKey(key string) {
	parts := strings.Split(key, "/")
	if len(parts) < 2 || parts[0] != "w" {
		return
	}
	var wave int
	if _, err := fmt.Sscanf(parts[1], "%d", &wave); err != nil {
		c.host.record(events.RecordUnreadable, events.Fields{Detail: "fleet " + key, Err: err})
		return
	}
	if len(parts) == 2 {
		c.completedWaves[wave] = true
		return
	}
	c.markStarted(wave, parts[2])
}

func (c *fleetController) markStarted(wave int, vm string) {
	if c.started[wave] == nil {
		c.started[wave] = map[string]bool{}
	}
	c.started[wave][vm] = true
}

// runFleetController plans periodically while this node owns the fleet
// partition.
func (h *Host) runFleetController(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, fleetPlanInterval)
		var c *fleetController
		var waves []*deps.Wave
		waveSeenAt := map[int]int64{}
		if h.runOnLoop(ctx, func() {
			c = h.fleet
			for n, w := range h.waves {
				waves = append(waves, w)
				waveSeenAt[n] = h.waveSeenAt[n]
			}
		}) != nil || c == nil {
			continue
		}
		sort.Slice(waves, func(i, j int) bool { return waves[i].Number < waves[j].Number })
		c.planAndAct(ctx, waves, waveSeenAt)
	}
}

// planAndAct makes one plan and executes it.
func (c *fleetController) planAndAct(ctx context.Context, waves []*deps.Wave, waveSeenAt map[int]int64) {
	openWaves := 0
	for _, w := range waves {
		if !c.completedWaves[w.Number] {
			openWaves++
		}
	}
	c.refreshVMs(ctx, openWaves > 0)
	if c.listedAt == 0 {
		return
	}
	now := monotonicMS()
	plan := upkeep.NewPlan(c.upkeepView(now, waves, waveSeenAt))
	// A list from before a wave may lack VMs of the wave.
	plan.Done = slices.DeleteFunc(plan.Done, func(n int) bool { return c.listedAt <= waveSeenAt[n] })
	moves := c.moves.plan(c, now, plan)
	c.trackDraining(now, waves, plan)
	c.exchangeCordons(ctx, plan, moves)
	c.logPoolLoads(now)
	maintain := slices.DeleteFunc(plan.Maintain, func(a upkeep.Action) bool { return !c.drainedSince(a.VM, now) })
	ready := slices.DeleteFunc(moves.ready, func(m vmMove) bool { return !c.drainedSince(m.VM, now) })
	if c.announced.priorUnknown && c.inTakeoverGap(now) {
		// An announcement of this controller would hide that the VMs of its
		// predecessor are unknown.
		return
	}
	if len(maintain)+len(ready)+len(plan.Done) > 0 {
		c.verifyAndAnnounce(ctx, maintain, ready)
	}
	if !c.mayAct() {
		return
	}
	c.startMaintenance(ctx, maintain)
	c.startMoves(ctx, ready)
	c.reportWaves(ctx, waves, plan.Done)
}

// poolLogInterval is the pause between two log records of the pool loads.
const poolLogInterval = time.Second

// logPoolLoads logs the loads that moves and waves are planned from.
func (c *fleetController) logPoolLoads(now int64) {
	if now-c.poolsLoggedAt < poolLogInterval.Milliseconds() {
		return
	}
	c.poolsLoggedAt = now
	for _, name := range slices.Sorted(maps.Keys(c.poolReports)) {
		p := c.poolReports[name]
		c.host.record(events.PoolLoad, events.Fields{Pool: name, AgeMS: now - p.at, Epoch: c.shard.epoch,
			Detail: fmt.Sprintf("workers=%d capacity=%d used=%d lasting=%d waiting_work=%d arrived_work=%d", p.Workers, p.CapacityMilliCPU, p.UsedMilliCPU, p.LastingMilliCPU, p.WaitingWork, p.SubmittedWork)})
	}
}

// drainedSince reports whether a VM runs nothing according to a report that the
// current owner of its shard sent after the given time. VMs in the spare pool
// never run anything.
func (c *fleetController) drainedSince(vm string, since int64) bool {
	v, known := c.vms[vm]
	if !known {
		return false
	}
	if c.isSparePool(v.Pool) {
		return true
	}
	r, reported := c.workerReports[v.Worker]
	return reported && r.Drained && r.at >= since && c.reportedByOwner(vm)
}

// reportedByOwner reports whether the last report on a VM is by the current owner of
// its shard. The next owner does not keep to the cordons before they are sent to it.
func (c *fleetController) reportedByOwner(vm string) bool {
	v := c.vms[vm]
	if c.isSparePool(v.Pool) {
		return true
	}
	owner := (*c.host.owners.Load())[c.host.partitionOf(v.Pool)]
	return c.workerReports[v.Worker].epoch == owner.Epoch
}

// refreshVMs reads the list of VMs if it is older than its maximum age.
func (c *fleetController) refreshVMs(ctx context.Context, busy bool) {
	maxAge := idleListMaxAge
	if busy || c.moves.active() {
		maxAge = activeListMaxAge
	}
	if c.listedAt != 0 && sinceMS(c.listedAt) < maxAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	sentAt := monotonicMS()
	list, err := c.host.cfg.VMs.List(ctx)
	if (err != nil) != c.listFailing {
		c.listFailing = err != nil
		if c.listFailing {
			c.host.record(events.VMActFailed, events.Fields{Detail: "list", Err: err})
		}
	}
	if err != nil {
		return
	}
	c.listedAt = sentAt
	c.vms = make(map[string]deps.VM, len(list))
	for _, vm := range list {
		c.vms[vm.ID] = vm
		c.clearReturnedVM(vm, sentAt)
	}
}

// clearReturnedVM removes a VM that is up again after its maintenance from the
// VMs that are down.
func (c *fleetController) clearReturnedVM(vm deps.VM, sentAt int64) {
	for _, down := range c.downSince {
		if at, ok := down[vm.ID]; ok && vm.State == deps.VMUp && sentAt-at > c.host.cfg.MaintenanceMS {
			delete(down, vm.ID)
		}
	}
}

func (c *fleetController) isSparePool(pool string) bool {
	cfg := c.host.config.Load()
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

func (c *fleetController) upkeepView(now int64, waves []*deps.Wave, waveSeenAt map[int]int64) upkeep.View {
	v := upkeep.View{Now: now, VMs: map[string]upkeep.VM{}, DowntimeMS: c.host.cfg.MaintenanceMS}
	for id, vm := range c.vms {
		r := c.workerReports[vm.Worker]
		v.VMs[id] = upkeep.VM{
			ID: id, Pool: vm.Pool, Up: vm.State == deps.VMUp, Spare: c.isSparePool(vm.Pool),
			Drained: c.drained(vm, now), UsedMilliCPU: r.UsedMilliCPU, LastingTasks: r.Lasting,
			ActionPending: c.moves.reserved(id) || c.vmInTakeoverGap(id, now) || now-c.lastActionAt[id] < actionRetryDelay.Milliseconds(),
		}
	}
	for _, w := range waves {
		if c.completedWaves[w.Number] {
			continue
		}
		down := map[string]bool{}
		for id := range c.downSince[w.Number] {
			down[id] = true
		}
		for _, id := range w.VMs {
			if vm, ok := c.vms[id]; ok && (vm.State == deps.VMInMaintenance || c.vmInTakeoverGap(id, now)) {
				down[id] = true
			}
		}
		v.Waves = append(v.Waves, upkeep.Wave{
			Number: w.Number, VMs: w.VMs, MaxDown: w.MaxDown, StartDeadline: waveSeenAt[w.Number] + w.Duration.Milliseconds(),
			Started: c.started[w.Number], Down: down, DrainingSince: c.drainingSince[w.Number],
		})
	}
	return v
}

func (c *fleetController) trackDraining(now int64, waves []*deps.Wave, plan upkeep.Plan) {
	for _, w := range waves {
		m := c.drainingSince[w.Number]
		if m == nil {
			m = map[string]int64{}
			c.drainingSince[w.Number] = m
		}
		for _, id := range w.VMs {
			if !plan.Drain[id] {
				delete(m, id)
			} else if m[id] == 0 {
				m[id] = now
			}
		}
	}
}
