package wave

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// Tracker remembers since when each VM is in its state. It is a cache: a new
// planner starts with an empty one and only waits a little longer.
type Tracker struct {
	options Options
	vms     map[string]*memory
	zones   map[string]*zoneMemory
	started bool
	// outDuration is the smoothed time from draining to active.
	outDuration time.Duration
	// drainDuration is the smoothed time of drains that did not straggle.
	drainDuration time.Duration
}

// memory is what the tracker knows of one VM.
type memory struct {
	state    structs.VMState
	sequence uint64
	since    time.Time // when the state was first seen
	outSince time.Time // when the VM was first seen out of service
	okSince  time.Time // start of the current run of good probes
	boot     uint64    // boot count when the state was first seen
	resumed  bool      // the state was entered before this tracker existed
	recalled int       // drains called back in a row
	retryAt  time.Time // no new drain before this time
}

// NewTracker returns an empty tracker.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options:       options.withDefaults(),
		vms:           make(map[string]*memory),
		zones:         make(map[string]*zoneMemory),
		outDuration:   defaultOutDuration,
		drainDuration: defaultDrainDuration,
	}
}

// Observe notes the state of every VM. Call it once a round before Next.
func (t *Tracker) Observe(view *structs.View, seen map[string]*Observation, now time.Time) {
	t.observeZones(view, now)
	for i := range view.VMs {
		t.observeVM(&view.VMs[i], seen[view.VMs[i].ID], now)
	}
	t.started = true
	if len(t.vms) > 2*len(view.VMs) {
		t.forget(view)
	}
}

func (t *Tracker) observeVM(vm *structs.VMStatus, seen *Observation, now time.Time) {
	m := t.vms[vm.ID]
	if m == nil {
		m = &memory{}
		t.vms[vm.ID] = m
	}
	if m.state != vm.State || m.sequence != vm.Sequence {
		t.enter(m, vm, seen, now)
	}
	if seen == nil || !seen.ProbeOK {
		m.okSince = time.Time{}
	} else if m.okSince.IsZero() {
		m.okSince = now
	}
}

func (t *Tracker) enter(m *memory, vm *structs.VMStatus, seen *Observation, now time.Time) {
	if m.state == structs.VMActive && vm.State != structs.VMActive {
		m.outSince = now
	}
	if m.state == structs.VMProbation && vm.State == structs.VMActive {
		t.learnOutDuration(m, now)
		m.recalled = 0
	}
	if m.state == structs.VMDraining && (vm.State == structs.VMDrained || vm.State == structs.VMRebooting) {
		t.learnDrainDuration(now.Sub(m.since))
	}
	m.state = vm.State
	m.sequence = vm.Sequence
	m.since = now
	m.okSince = time.Time{}
	m.resumed = !t.started
	m.boot = 0
	if seen != nil {
		m.boot = seen.Boot
	}
}

func (t *Tracker) learnOutDuration(m *memory, now time.Time) {
	if m.outSince.IsZero() {
		return
	}
	change := float64(now.Sub(m.outSince) - t.outDuration)
	t.outDuration += time.Duration(outDurationSmoothing * change)
	m.outSince = time.Time{}
}

func (t *Tracker) learnDrainDuration(took time.Duration) {
	if took > t.patience() {
		return
	}
	t.drainDuration += time.Duration(drainSmoothing * float64(took-t.drainDuration))
}

// patience is how long a drain may last before it straggles: some times what
// drains usually take.
func (t *Tracker) patience() time.Duration {
	return min(drainsPerPatience*t.drainDuration, t.options.Patience)
}

// forget drops the memory of VMs that no longer exist.
func (t *Tracker) forget(view *structs.View) {
	kept := make(map[string]*memory, len(view.VMs))
	for i := range view.VMs {
		id := view.VMs[i].ID
		kept[id] = t.vms[id]
	}
	t.vms = kept
}

// Ready says that a drain of the VM may be tried now.
func (t *Tracker) Ready(id string, now time.Time) bool {
	m := t.vms[id]
	return m == nil || !now.Before(m.retryAt)
}

// Straggling says that the VM has been draining for longer than the patience.
func (t *Tracker) Straggling(id string, now time.Time) bool {
	m := t.vms[id]
	return m != nil && m.state == structs.VMDraining && now.Sub(m.since) > t.patience()
}

// Recall notes that the VM's drain was called back. It is not drained again
// before a pause, which doubles each time.
func (t *Tracker) Recall(id string, now time.Time) {
	m := t.vms[id]
	if m == nil {
		return
	}
	pause := t.options.RetryMin << min(m.recalled, retryDoublingsAtMost)
	m.retryAt = now.Add(min(pause, t.options.RetryMax))
	m.recalled++
}

// OutDuration returns the smoothed time that a VM is out for maintenance.
func (t *Tracker) OutDuration() time.Duration { return t.outDuration }

// Recalls returns how often in a row a drain of the VM was called back.
func (t *Tracker) Recalls(id string) int {
	if m := t.vms[id]; m != nil {
		return m.recalled
	}
	return 0
}
