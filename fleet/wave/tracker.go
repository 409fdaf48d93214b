package wave

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// Tracker records since when each VM has been in its state. The data is not
// persisted: a new planner starts with an empty tracker, which only makes it
// wait a little longer.
type Tracker struct {
	options      Options
	vms          map[string]*vmHistory
	zones        map[string]*zoneHistory
	observedOnce bool // Observe has completed at least once
	// downtime is the smoothed time from draining to active again.
	downtime time.Duration
	// drainDuration is the smoothed duration of drains, stragglers excluded.
	drainDuration time.Duration
}

// vmHistory is the tracked data of one VM.
type vmHistory struct {
	state           structs.VMState
	sequence        uint64
	since           time.Time // when the state was first observed
	downSince       time.Time // when the VM was first observed out of service
	healthySince    time.Time // start of the current run of successful probes
	bootCount       uint64    // boot count when the state was first observed
	predatesTracker bool      // the state was entered before the tracker's first round
	canceledDrains  int       // drains canceled in a row
	retryAt         time.Time // the VM is not drained again before this time
}

// NewTracker returns an empty tracker.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options:       options.withDefaults(),
		vms:           make(map[string]*vmHistory),
		zones:         make(map[string]*zoneHistory),
		downtime:      defaultDowntime,
		drainDuration: defaultDrainDuration,
	}
}

// Observe records the state of every VM. It must be called once per round,
// before Next.
func (t *Tracker) Observe(view *structs.View, observations map[string]*Observation, now time.Time) {
	t.observeZones(view, now)
	for i := range view.VMs {
		t.observeVM(&view.VMs[i], observations[view.VMs[i].ID], now)
	}
	t.observedOnce = true
	if len(t.vms) > 2*len(view.VMs) {
		t.prune(view)
	}
}

func (t *Tracker) observeVM(vm *structs.VMStatus, obs *Observation, now time.Time) {
	h := t.vms[vm.ID]
	if h == nil {
		h = &vmHistory{}
		t.vms[vm.ID] = h
	}
	if h.state != vm.State || h.sequence != vm.Sequence {
		t.enterState(h, vm, obs, now)
	}
	if obs == nil || !obs.ProbeOK {
		h.healthySince = time.Time{}
	} else if h.healthySince.IsZero() {
		h.healthySince = now
	}
}

func (t *Tracker) enterState(h *vmHistory, vm *structs.VMStatus, obs *Observation, now time.Time) {
	if h.state == structs.VMActive && vm.State != structs.VMActive {
		h.downSince = now
	}
	if h.state == structs.VMProbation && vm.State == structs.VMActive {
		t.updateDowntime(h, now)
		h.canceledDrains = 0
	}
	if h.state == structs.VMDraining && (vm.State == structs.VMDrained || vm.State == structs.VMRebooting) {
		t.updateDrainDuration(now.Sub(h.since))
	}
	h.state = vm.State
	h.sequence = vm.Sequence
	h.since = now
	h.healthySince = time.Time{}
	h.predatesTracker = !t.observedOnce
	h.bootCount = 0
	if obs != nil {
		h.bootCount = obs.BootCount
	}
}

func (t *Tracker) updateDowntime(h *vmHistory, now time.Time) {
	if h.downSince.IsZero() {
		return
	}
	change := float64(now.Sub(h.downSince) - t.downtime)
	t.downtime += time.Duration(downtimeSmoothing * change)
	h.downSince = time.Time{}
}

func (t *Tracker) updateDrainDuration(duration time.Duration) {
	if duration > t.stragglerThreshold() {
		return
	}
	t.drainDuration += time.Duration(drainSmoothing * float64(duration-t.drainDuration))
}

// stragglerThreshold returns the duration after which a drain counts as a
// straggler: a multiple of the usual drain duration, limited by the options.
func (t *Tracker) stragglerThreshold() time.Duration {
	return min(stragglerFactor*t.drainDuration, t.options.StragglerTimeout)
}

// prune drops the data of VMs that no longer exist.
func (t *Tracker) prune(view *structs.View) {
	remaining := make(map[string]*vmHistory, len(view.VMs))
	for i := range view.VMs {
		id := view.VMs[i].ID
		remaining[id] = t.vms[id]
	}
	t.vms = remaining
}

// MayDrain reports whether the VM may be drained now, that is, whether the
// retry delay of its last canceled drain is over.
func (t *Tracker) MayDrain(id string, now time.Time) bool {
	h := t.vms[id]
	return h == nil || !now.Before(h.retryAt)
}

// Straggling reports whether the VM has been draining for longer than the
// straggler threshold.
func (t *Tracker) Straggling(id string, now time.Time) bool {
	h := t.vms[id]
	return h != nil && h.state == structs.VMDraining && now.Sub(h.since) > t.stragglerThreshold()
}

// RecordCanceledDrain records that the VM's drain was canceled. The VM is not
// drained again before a retry delay, which doubles with each cancellation.
func (t *Tracker) RecordCanceledDrain(id string, now time.Time) {
	h := t.vms[id]
	if h == nil {
		return
	}
	delay := t.options.MinRetryDelay << min(h.canceledDrains, maxRetryDoublings)
	h.retryAt = now.Add(min(delay, t.options.MaxRetryDelay))
	h.canceledDrains++
}

// Downtime returns the smoothed time that a VM is out of service for
// maintenance.
func (t *Tracker) Downtime() time.Duration { return t.downtime }

// CanceledDrains returns how many drains of the VM were canceled in a row.
func (t *Tracker) CanceledDrains(id string) int {
	if h := t.vms[id]; h != nil {
		return h.canceledDrains
	}
	return 0
}
