package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
)

// FleetOptions tunes a Fleet.
type FleetOptions struct {
	// ListLag is how far the VM list is behind.
	ListLag time.Duration
	// UsageLag is how far the usage figures are behind.
	UsageLag time.Duration
	// RebootTime is how long a reboot takes.
	RebootTime time.Duration
}

// Machine is what the Fleet does to one worker's backend server.
type Machine interface {
	// Drain makes the backend refuse new work.
	Drain()
	// Reboot stops the backend at once; work in progress is cut.
	Reboot()
	// Boot starts the backend again.
	Boot()
	// Busy returns the number of requests in progress.
	Busy() int
	// Task checkpoints, throttles or stops one request in progress.
	Task(kind infra.ActionKind, task string)
}

// Fleet stands in for the platform's VM list and worker control.
type Fleet struct {
	opts FleetOptions

	mu      sync.Mutex
	down    bool
	vms     map[string]*standinVM
	listed  []listedAt
	epochs  map[string]structs.Epoch
	reboots int
	fenced  int
}

type standinVM struct {
	listed  infra.ListedVM
	machine Machine
	// done holds the highest sequence of each act, by kind and task.
	done map[actKey]uint64
}

type actKey struct {
	kind infra.ActionKind
	task string
}

type listedAt struct {
	at  time.Time
	vms []infra.ListedVM
}

// NewFleet returns a fleet without VMs.
func NewFleet(opts FleetOptions) *Fleet {
	return &Fleet{opts: opts, vms: map[string]*standinVM{}, epochs: map[string]structs.Epoch{}}
}

// Add adds a VM. The machine may be nil for an entry VM.
func (f *Fleet) Add(vm infra.ListedVM, machine Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.Presence = infra.PresenceLive
	f.vms[vm.ID] = &standinVM{listed: vm, machine: machine, done: map[actKey]uint64{}}
	f.remember()
}

// SetPresence changes what the list says of a VM.
func (f *Fleet) SetPresence(id string, presence infra.Presence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if vm, ok := f.vms[id]; ok {
		vm.listed.Presence = presence
	}
	f.remember()
}

// SetDown makes every call fail until it is unset.
func (f *Fleet) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Reboots returns the number of reboots done.
func (f *Fleet) Reboots() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reboots
}

// List implements infra.VMList: the list as it was ListLag ago.
func (f *Fleet) List(context.Context) ([]infra.ListedVM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errDown("list")
	}
	limit := time.Now().Add(-f.opts.ListLag)
	last := sort.Search(len(f.listed), func(i int) bool { return f.listed[i].at.After(limit) })
	if last == 0 {
		return nil, nil
	}
	f.listed = f.listed[last-1:]
	return f.listed[0].vms, nil
}

// Act implements infra.Workers.
func (f *Fleet) Act(_ context.Context, action infra.Action) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown("act")
	}
	if action.Epoch < f.epochs[action.Scope] {
		f.fenced++
		return &infra.Error{Kind: infra.KindFenced, Op: "act", Remedy: "the lease has a newer holder; stop planning"}
	}
	f.epochs[action.Scope] = action.Epoch
	vm, ok := f.vms[action.VM]
	if !ok || vm.machine == nil {
		return &infra.Error{Kind: infra.KindRefused, Op: "act", Remedy: "there is no such worker; check the manifest"}
	}
	key := actKey{kind: action.Kind, task: action.Task}
	if action.Sequence <= vm.done[key] {
		return nil
	}
	vm.done[key] = action.Sequence
	f.apply(vm, action)
	return nil
}

func (f *Fleet) apply(vm *standinVM, action infra.Action) {
	switch action.Kind {
	case infra.ActionDrain:
		vm.machine.Drain()
	case infra.ActionReboot:
		f.reboots++
		vm.machine.Reboot()
		time.AfterFunc(f.opts.RebootTime, func() { f.booted(vm, action.Image) })
	default:
		vm.machine.Task(action.Kind, action.Task)
	}
}

func (f *Fleet) booted(vm *standinVM, image string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.machine.Boot()
	vm.listed.Boot++
	vm.listed.Image = image
	f.remember()
}

// Usage implements infra.Workers.
func (f *Fleet) Usage(context.Context) ([]infra.Usage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, errDown("usage")
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

// remember stores the list as of now, for readers that see it late.
func (f *Fleet) remember() {
	vms := make([]infra.ListedVM, 0, len(f.vms))
	for _, vm := range f.vms {
		vms = append(vms, vm.listed)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	f.listed = append(f.listed, listedAt{at: time.Now(), vms: vms})
}
