package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
)

// FleetOptions configures a Fleet.
type FleetOptions struct {
	// ListLag is the delay before a change appears in the VM list.
	ListLag time.Duration
	// UsageLag is the age that the usage values claim to have.
	UsageLag time.Duration
	// RebootTime is the duration of a reboot.
	RebootTime time.Duration
}

// Machine is the interface through which the Fleet controls one worker's
// backend server.
type Machine interface {
	// Drain makes the backend refuse new work.
	Drain()
	// Reboot stops the backend immediately and interrupts requests in progress.
	Reboot()
	// Boot starts the backend again.
	Boot()
	// Busy returns the number of requests in progress.
	Busy() int
	// ActOnTask checkpoints, throttles or stops one request in progress,
	// identified by its request ID.
	ActOnTask(kind infra.ActionKind, task string)
}

// Fleet is an in-memory infra.VMList and infra.Workers.
type Fleet struct {
	opts FleetOptions

	mu           sync.Mutex
	down         bool
	vms          map[string]*fleetVM
	history      []listSnapshot
	highestEpoch map[string]structs.Epoch
	reboots      int
	fenced       int
}

type fleetVM struct {
	listed  infra.ListedVM
	machine Machine
	// lastSequence is the highest sequence number executed, by kind of action
	// and task.
	lastSequence map[actionKey]uint64
}

type actionKey struct {
	kind infra.ActionKind
	task string
}

type listSnapshot struct {
	at  time.Time
	vms []infra.ListedVM
}

// NewFleet returns a fleet without VMs.
func NewFleet(opts FleetOptions) *Fleet {
	return &Fleet{opts: opts, vms: map[string]*fleetVM{}, highestEpoch: map[string]structs.Epoch{}}
}

// Add adds a VM. For an entry VM, machine may be nil.
func (f *Fleet) Add(vm infra.ListedVM, machine Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.Presence = infra.PresenceLive
	f.vms[vm.ID] = &fleetVM{listed: vm, machine: machine, lastSequence: map[actionKey]uint64{}}
	f.recordList()
}

// SetPresence changes the presence of a VM in the list.
func (f *Fleet) SetPresence(id string, presence infra.Presence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if vm, ok := f.vms[id]; ok {
		vm.listed.Presence = presence
	}
	f.recordList()
}

// SetDown sets whether every call fails with KindUnavailable.
func (f *Fleet) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Reboots returns the number of reboots started.
func (f *Fleet) Reboots() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reboots
}

// List implements infra.VMList. It returns the list as it was ListLag ago.
func (f *Fleet) List(context.Context) ([]infra.ListedVM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, unavailableError("list")
	}
	limit := time.Now().Add(-f.opts.ListLag)
	last := sort.Search(len(f.history), func(i int) bool { return f.history[i].at.After(limit) })
	if last == 0 {
		return nil, nil
	}
	f.history = f.history[last-1:]
	return f.history[0].vms, nil
}

// Act implements infra.Workers.
func (f *Fleet) Act(_ context.Context, action infra.Action) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return unavailableError("act")
	}
	if action.Epoch < f.highestEpoch[action.Scope] {
		f.fenced++
		return &infra.Error{Kind: infra.KindFenced, Op: "act", Remedy: "the lease has a newer holder; stop planning"}
	}
	f.highestEpoch[action.Scope] = action.Epoch
	vm, ok := f.vms[action.VM]
	if !ok || vm.machine == nil {
		return &infra.Error{Kind: infra.KindRefused, Op: "act", Remedy: "there is no such worker; check the manifest"}
	}
	key := actionKey{kind: action.Kind, task: action.Task}
	if action.Sequence <= vm.lastSequence[key] {
		return nil
	}
	vm.lastSequence[key] = action.Sequence
	f.execute(vm, action)
	return nil
}

func (f *Fleet) execute(vm *fleetVM, action infra.Action) {
	switch action.Kind {
	case infra.ActionDrain:
		vm.machine.Drain()
	case infra.ActionReboot:
		f.reboots++
		vm.machine.Reboot()
		time.AfterFunc(f.opts.RebootTime, func() { f.finishReboot(vm, action.Image) })
	default:
		vm.machine.ActOnTask(action.Kind, action.Task)
	}
}

func (f *Fleet) finishReboot(vm *fleetVM, image string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.machine.Boot()
	vm.listed.Boot++
	vm.listed.Image = image
	f.recordList()
}

// Usage implements infra.Workers.
func (f *Fleet) Usage(context.Context) ([]infra.Usage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, unavailableError("usage")
	}
	var usage []infra.Usage
	for id, vm := range f.vms {
		if vm.machine == nil {
			continue
		}
		usage = append(usage, infra.Usage{VM: id, Busy: vm.machine.Busy(), LagMS: f.opts.UsageLag.Milliseconds()})
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].VM < usage[j].VM })
	return usage, nil
}

// recordList appends the current list to the history, from which List serves it
// after ListLag.
func (f *Fleet) recordList() {
	vms := make([]infra.ListedVM, 0, len(f.vms))
	for _, vm := range f.vms {
		vms = append(vms, vm.listed)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	f.history = append(f.history, listSnapshot{at: time.Now(), vms: vms})
}
