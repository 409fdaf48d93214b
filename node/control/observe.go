package control

import (
	"context"
	"time"

	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
	"wigeonwinch/infra"
)

// What reading the platform may cost. The intervals grow with the fleet, so
// that the bytes a second stay the same.
const (
	listedVMBytes = 130
	usageBytes    = 45
	// idleListBytesPerSecond applies while this node doesn't plan and no
	// membership waits for the list.
	idleListBytesPerSecond = 150
	// staleFactor is after how many intervals an observation is too old to
	// plan on.
	staleFactor = 4
)

// observations is what the owner goroutine knows of VMs besides the log.
type observations struct {
	listed   []infra.ListedVM
	listedAt time.Time
	// triedAt is when the list was last asked for.
	triedAt   time.Time
	listing   bool
	usage     []infra.Usage
	usageAt   time.Time
	nextUsage time.Time
	reading   bool
	probes    map[string]*probeFacts
	// live are the workers that the list shows as live.
	live map[string]bool
}

func (o *observations) noteLive() {
	o.live = make(map[string]bool, len(o.listed))
	for _, vm := range o.listed {
		o.live[vm.ID] = vm.Presence == infra.PresenceLive
	}
}

// complete says that the list is recent enough to plan on.
func (o *observations) complete(now time.Time, intervals Intervals) bool {
	if o.listedAt.IsZero() {
		return false
	}
	return now.Sub(o.listedAt) < staleFactor*o.listInterval(intervals, intervals.ListBytesPerSecond)
}

func (o *observations) listInterval(intervals Intervals, bytesPerSecond int) time.Duration {
	return max(intervals.List, costInterval(len(o.listed)*listedVMBytes, bytesPerSecond))
}

func (o *observations) usageInterval(intervals Intervals) time.Duration {
	return max(intervals.Usage, costInterval(len(o.usage)*usageBytes, intervals.UsageBytesPerSecond))
}

// costInterval returns how long a transfer takes at a rate.
func costInterval(bytes, bytesPerSecond int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond)
}

// observeDue reads the platform's list, the usage and the probes when due.
func (l *Loop) observeDue(ctx context.Context, now time.Time) {
	if l.cfg.VMs != nil && !l.observed.listing && l.listDue(now) {
		l.readList(ctx)
	}
	if !l.planner.holding {
		return
	}
	if l.cfg.Workers != nil && !l.observed.reading && !now.Before(l.observed.nextUsage) {
		l.readUsage(ctx)
	}
	l.probeDue(ctx, now)
	l.hearZones(ctx, now)
}

// listDue says that the list is to be read now.
func (l *Loop) listDue(now time.Time) bool {
	rate := idleListBytesPerSecond
	if l.planner.holding || l.member.joining || l.memberSilent(now) {
		rate = l.cfg.Intervals.ListBytesPerSecond
	}
	return now.Sub(l.observed.triedAt) >= l.jitter+l.observed.listInterval(l.cfg.Intervals, rate)
}

// memberSilent says that a member of the zone has not been heard for a while.
func (l *Loop) memberSilent(now time.Time) bool {
	for _, m := range l.member.entry.Members {
		facts, ok := l.peers[m.Node]
		if m.Node != l.cfg.Node && (!ok || now.Sub(facts.status.Heard) > l.cfg.Intervals.Fence) {
			return true
		}
	}
	return false
}

func (l *Loop) readList(ctx context.Context) {
	l.observed.listing = true
	l.group.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.AppendTimeout)
		list, err := l.cfg.VMs.List(callCtx)
		cancel()
		l.post(ctx, func() { l.listRead(list, err) })
	})
}

func (l *Loop) listRead(list []infra.ListedVM, err error) {
	now := time.Now()
	l.observed.listing = false
	if err == nil {
		l.observed.listed = list
		l.observed.noteLive()
		l.observed.listedAt = now
		l.tellLeaving(list)
	}
	l.observed.triedAt = now
	l.jitter = l.jittered(l.cfg.Intervals.List) - l.cfg.Intervals.List
}

// tellLeaving tells the request path which workers of the zone leave.
func (l *Loop) tellLeaving(list []infra.ListedVM) {
	if l.cfg.Forward == nil {
		return
	}
	for _, vm := range list {
		if vm.Kind == infra.VMKindWorker && vm.Zone == l.cfg.Zone && vm.Presence != infra.PresenceLive {
			l.cfg.Forward.Leaving(vm.ID)
		}
	}
}

func (l *Loop) readUsage(ctx context.Context) {
	l.observed.reading = true
	asked := time.Now()
	l.group.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.AppendTimeout)
		usage, err := l.cfg.Workers.Usage(callCtx)
		cancel()
		l.post(ctx, func() { l.usageRead(asked, usage, err) })
	})
}

func (l *Loop) usageRead(asked time.Time, usage []infra.Usage, err error) {
	now := time.Now()
	l.observed.reading = false
	if err == nil {
		l.observed.usage = usage
		l.observed.usageAt = asked
	}
	l.observed.nextUsage = now.Add(l.jittered(l.observed.usageInterval(l.cfg.Intervals)))
}

// jittered returns the interval, up to a tenth longer.
func (l *Loop) jittered(interval time.Duration) time.Duration {
	return interval + time.Duration(l.random.Int64N(int64(interval/10)+1))
}

// observations returns what a planning round looks at.
func (l *Loop) observations(view *structs.View, wall time.Time) []planner.Observation {
	byID := make(map[string]infra.ListedVM, len(l.observed.listed))
	for _, vm := range l.observed.listed {
		byID[vm.ID] = vm
	}
	busy := make(map[string]infra.Usage, len(l.observed.usage))
	for _, u := range l.observed.usage {
		busy[u.VM] = u
	}
	seen := make([]planner.Observation, 0, len(view.VMs))
	for i := range view.VMs {
		vm := &view.VMs[i]
		o := planner.Observation{VM: vm.ID, Present: wave.PresenceAbsent}
		if usage, ok := busy[vm.ID]; ok {
			o.InProgress = usage.Busy
			o.BusyAt = wall.Add(-time.Since(l.observed.usageAt) - time.Duration(usage.LagMS)*time.Millisecond)
		}
		if listed, ok := byID[vm.ID]; ok {
			o.Present = wave.Presence(listed.Presence)
			o.Boot = listed.Boot
			o.Image = listed.Image
		}
		if probe, ok := l.observed.probes[vm.ID]; ok {
			o.ProbeOK = probe.ok
			o.Failures = probe.failures
		}
		seen = append(seen, o)
	}
	return seen
}

// demand sums the usage by pool.
func (o *observations) demand(view *structs.View) []planner.PoolDemand {
	var demand []planner.PoolDemand
	place := make(map[string]int)
	for _, u := range o.usage {
		vm, ok := view.VMByID(u.VM)
		if !ok {
			continue
		}
		i, ok := place[vm.Pool]
		if !ok {
			i = len(demand)
			place[vm.Pool] = i
			demand = append(demand, planner.PoolDemand{Pool: vm.Pool, At: o.usageAt})
		}
		demand[i].BusySlots += float64(u.Busy)
		demand[i].QueuedSlots += float64(u.Waiting)
		demand[i].LagSeconds = max(demand[i].LagSeconds, float64(u.LagMS)/1000)
	}
	return demand
}
