package control

import (
	"context"
	"time"

	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
	"wigeonwinch/infra"
)

// Estimated sizes of the platform's answers and rates for reading them. The
// intervals grow with the fleet, so that the bytes per second stay the same.
const (
	listedVMBytes   = 130
	usageEntryBytes = 45
	// idleListBytesPerSecond applies while this node neither plans nor needs
	// the list for a membership change.
	idleListBytesPerSecond = 150
	// staleIntervals is the number of list intervals after which the VM list
	// is too old for planning.
	staleIntervals = 4
)

// observations is what the owner goroutine knows about VMs from sources other
// than the log.
type observations struct {
	listed   []infra.ListedVM
	listedAt time.Time
	// listTriedAt is when the last read of the VM list ended, with or without
	// success.
	listTriedAt   time.Time
	listInFlight  bool
	usage         []infra.Usage
	usageAt       time.Time
	nextUsage     time.Time
	usageInFlight bool
	probes        map[string]*probeState
	// live holds the VMs that the platform lists as live.
	live map[string]bool
}

func (o *observations) updateLive() {
	o.live = make(map[string]bool, len(o.listed))
	for _, vm := range o.listed {
		o.live[vm.ID] = vm.Presence == infra.PresenceLive
	}
}

// listUsable reports whether the VM list is recent enough for planning.
func (o *observations) listUsable(now time.Time, intervals Intervals) bool {
	if o.listedAt.IsZero() {
		return false
	}
	return now.Sub(o.listedAt) < staleIntervals*o.listInterval(intervals, intervals.ListBytesPerSecond)
}

func (o *observations) listInterval(intervals Intervals, bytesPerSecond int) time.Duration {
	return max(intervals.List, transferTime(len(o.listed)*listedVMBytes, bytesPerSecond))
}

func (o *observations) usageInterval(intervals Intervals) time.Duration {
	return max(intervals.Usage, transferTime(len(o.usage)*usageEntryBytes, intervals.UsageBytesPerSecond))
}

// transferTime returns how long a transfer takes at a rate.
func transferTime(bytes, bytesPerSecond int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond)
}

// observeIfDue reads the VM list if it is due. While this node plans, it also
// reads the usage and requests probes.
func (l *Loop) observeIfDue(ctx context.Context, now time.Time) {
	if l.cfg.VMList != nil && !l.observed.listInFlight && l.listDue(now) {
		l.readList(ctx)
	}
	if !l.planner.holdsLease {
		return
	}
	if l.cfg.Workers != nil && !l.observed.usageInFlight && !now.Before(l.observed.nextUsage) {
		l.readUsage(ctx)
	}
	l.probeIfDue(ctx, now)
	l.contactZones(ctx, now)
}

// listDue reports whether a read of the VM list is due.
func (l *Loop) listDue(now time.Time) bool {
	rate := idleListBytesPerSecond
	if l.planner.holdsLease || l.membership.joining || l.hasSilentMember(now) {
		rate = l.cfg.Intervals.ListBytesPerSecond
	}
	return now.Sub(l.observed.listTriedAt) >= l.jitter+l.observed.listInterval(l.cfg.Intervals, rate)
}

// hasSilentMember reports whether a member of the zone has sent nothing within
// the fence time.
func (l *Loop) hasSilentMember(now time.Time) bool {
	for _, m := range l.membership.entry.Members {
		p, ok := l.peers[m.Node]
		if m.Node != l.cfg.Node && (!ok || now.Sub(p.status.LastContact) > l.cfg.Intervals.FenceTime) {
			return true
		}
	}
	return false
}

func (l *Loop) readList(ctx context.Context) {
	l.observed.listInFlight = true
	l.group.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.AppendTimeout)
		list, err := l.cfg.VMList.List(callCtx)
		cancel()
		l.post(ctx, func() { l.handleList(list, err) })
	})
}

func (l *Loop) handleList(list []infra.ListedVM, err error) {
	now := time.Now()
	l.observed.listInFlight = false
	if err == nil {
		l.observed.listed = list
		l.observed.updateLive()
		l.observed.listedAt = now
		l.notifyLeaving(list)
	}
	l.observed.listTriedAt = now
	l.jitter = l.withJitter(l.cfg.Intervals.List) - l.cfg.Intervals.List
}

// notifyLeaving tells the request path which workers of the zone the platform
// does not list as live.
func (l *Loop) notifyLeaving(list []infra.ListedVM) {
	if l.cfg.Drainer == nil {
		return
	}
	for _, vm := range list {
		if vm.Kind == infra.VMKindWorker && vm.Zone == l.cfg.Zone && vm.Presence != infra.PresenceLive {
			l.cfg.Drainer.MarkLeaving(vm.ID)
		}
	}
}

func (l *Loop) readUsage(ctx context.Context) {
	l.observed.usageInFlight = true
	sentAt := time.Now()
	l.group.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.AppendTimeout)
		usage, err := l.cfg.Workers.Usage(callCtx)
		cancel()
		l.post(ctx, func() { l.handleUsage(sentAt, usage, err) })
	})
}

func (l *Loop) handleUsage(sentAt time.Time, usage []infra.Usage, err error) {
	now := time.Now()
	l.observed.usageInFlight = false
	if err == nil {
		l.observed.usage = usage
		l.observed.usageAt = sentAt
	}
	l.observed.nextUsage = now.Add(l.withJitter(l.observed.usageInterval(l.cfg.Intervals)))
}

// withJitter returns the interval, lengthened by up to a tenth.
func (l *Loop) withJitter(interval time.Duration) time.Duration {
	return interval + time.Duration(l.random.Int64N(int64(interval/10)+1))
}

// planObservations returns the observations of all VMs for a planning round.
func (l *Loop) planObservations(view *structs.View, wall time.Time) []planner.Observation {
	byID := make(map[string]infra.ListedVM, len(l.observed.listed))
	for _, vm := range l.observed.listed {
		byID[vm.ID] = vm
	}
	usageByID := make(map[string]infra.Usage, len(l.observed.usage))
	for _, u := range l.observed.usage {
		usageByID[u.VM] = u
	}
	observations := make([]planner.Observation, 0, len(view.VMs))
	for i := range view.VMs {
		vm := &view.VMs[i]
		o := planner.Observation{VM: vm.ID, Presence: wave.PresenceAbsent}
		if usage, ok := usageByID[vm.ID]; ok {
			o.InProgress = usage.Busy
			o.InProgressAt = wall.Add(-time.Since(l.observed.usageAt) - time.Duration(usage.LagMS)*time.Millisecond)
		}
		if listed, ok := byID[vm.ID]; ok {
			o.Presence = wave.Presence(listed.Presence)
			o.BootCount = listed.Boot
			o.Image = listed.Image
		}
		if probe, ok := l.observed.probes[vm.ID]; ok {
			o.ProbeOK = probe.ok
			o.ConsecutiveFailures = probe.failures
		}
		observations = append(observations, o)
	}
	return observations
}

// poolDemand sums the usage by pool.
func (o *observations) poolDemand(view *structs.View) []planner.PoolDemand {
	var demand []planner.PoolDemand
	index := make(map[string]int)
	for _, u := range o.usage {
		vm, ok := view.VMByID(u.VM)
		if !ok {
			continue
		}
		i, ok := index[vm.Pool]
		if !ok {
			i = len(demand)
			index[vm.Pool] = i
			demand = append(demand, planner.PoolDemand{Pool: vm.Pool, At: o.usageAt})
		}
		demand[i].BusySlots += float64(u.Busy)
		demand[i].QueuedSlots += float64(u.Waiting)
		demand[i].LagSeconds = max(demand[i].LagSeconds, float64(u.LagMS)/1000)
	}
	return demand
}
