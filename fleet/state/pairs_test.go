package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// maxRounds is the number of planning rounds within which a wave must complete.
const maxRounds = 60

// fault is a fault or change that occurs during a wave.
type fault struct {
	name   string
	inject func(h *harness)
}

const (
	targetVM = "intake-01"
	wavePool = "intake"
)

var faults = []fault{
	{"another node acquires the lease", func(h *harness) { h.acquireLease() }},
	{"an entry node is replaced", func(h *harness) { h.setMembers(targetZone(h), nextIncarnation(h)-1, "n2", "n3") }},
	{"an entry node restarts", func(h *harness) { h.setMembers(targetZone(h), nextIncarnation(h), "n1", "n2") }},
	{"the VM fails", func(h *harness) { h.failMatching(func(vm structs.VMStatus) bool { return vm.ID == targetVM }) }},
	{"its rack fails", func(h *harness) {
		rack := targetRack(h)
		h.failMatching(func(vm structs.VMStatus) bool { return vm.Rack == rack })
	}},
	{"its zone fails", func(h *harness) {
		zone := targetZone(h)
		h.failMatching(func(vm structs.VMStatus) bool { return vm.Zone == zone })
	}},
	{"the manifest deletes the VM and lowers the budget", func(h *harness) {
		if vm, ok := h.s.View().VMByID(targetVM); ok && !vm.Removed {
			lower := editedService(h, "drawing-intake", func(s *structs.Service) { s.Budget.MinAvailable-- })
			h.requireApplied("pipeline", h.publish(deletion(structs.ItemVM, targetVM), lower))
		}
	}},
	{"the drain is canceled", func(h *harness) {
		if vm, ok := h.s.View().VMByID(targetVM); ok && vm.State == structs.VMDraining && !vm.Removed {
			h.requireApplied(h.holder(), h.currentTransition(targetVM, structs.VMActive))
		}
	}},
	{"another VM restarts on the new image", func(h *harness) {
		h.failMatching(func(vm structs.VMStatus) bool { return vm.ID == "intake-06" })
		h.requireApplied(h.holder(), h.currentTransition("intake-06", structs.VMProbation))
	}},
	{"a node restores a snapshot", func(h *harness) {
		parts, err := h.s.SnapshotRecords("pair", "n1")
		require.NoError(h.t, err)
		h.s, err = Restore(parts)
		require.NoError(h.t, err)
	}},
}

// TestWaveCompletesAfterAnyTwoFaults injects every ordered pair of faults while
// a VM drains for a wave and requires that the wave still completes on every VM
// that the manifest lists.
func TestWaveCompletesAfterAnyTwoFaults(t *testing.T) {
	for _, first := range faults {
		for _, second := range faults {
			t.Run(first.name+", "+second.name, func(t *testing.T) {
				h := newHarness(t)
				h.requireApplied("pipeline", h.publish(editedWave(h, func(w *structs.Wave) { w.Pools = []string{wavePool} })))
				h.requireApplied("n1", h.drainForWave(targetVM))
				h.requireApplied("n1", h.ack(targetVM, "n1", 1))
				first.inject(h)
				second.inject(h)
				h.finishWave()
			})
		}
	}
}

func targetZone(h *harness) string {
	return h.vmOrNeighbour(targetVM).Zone
}

func targetRack(h *harness) string {
	return h.vmOrNeighbour(targetVM).Rack
}

// vmOrNeighbour returns a VM, or, if it has been deleted, intake-05, which is
// in the same zone and rack.
func (h *harness) vmOrNeighbour(id string) structs.VMStatus {
	if vm, ok := h.s.View().VMByID(id); ok {
		return vm
	}
	return h.vm("intake-05")
}

func nextIncarnation(h *harness) uint64 {
	highest := uint64(0)
	for _, m := range h.s.View().EntryEpochs[targetZone(h)].Members {
		highest = max(highest, m.Incarnation)
	}
	return highest + 1
}

func (h *harness) holder() string {
	return h.s.View().Leases[fleetScope].Holder
}

// acquireLease lets the node that does not hold the lease acquire it.
func (h *harness) acquireLease() {
	acquirer := "n2"
	if h.holder() == acquirer {
		acquirer = "n1"
	}
	current := h.s.View().Leases[fleetScope]
	h.requireApplied(acquirer, structs.Record{Lease: &structs.Lease{
		Scope: fleetScope, Epoch: current.Epoch + 1, Sequence: 1, ObservedSequence: current.Sequence, Holder: acquirer, TTLMS: 1,
	}})
}

// currentTransition returns a transition with the current lease epoch. A VM
// enters probation with the new image.
func (h *harness) currentTransition(id string, to structs.VMState) structs.Record {
	rec := h.transition(id, to)
	rec.Transition.LeaseEpoch = h.s.View().Leases[fleetScope].Epoch
	if to == structs.VMProbation {
		rec.Transition.Image = newImage
	}
	return rec
}

// failMatching fails all VMs that match.
func (h *harness) failMatching(match func(structs.VMStatus) bool) {
	for _, vm := range h.s.View().VMs {
		if match(vm) && vm.State != structs.VMFailed {
			h.requireApplied(h.holder(), h.currentTransition(vm.ID, structs.VMFailed))
		}
	}
}

// finishWave acts as a simple planner until the wave has completed on every VM.
func (h *harness) finishWave() {
	for range maxRounds {
		done := true
		for _, vm := range h.s.View().VMs {
			if vm.State == structs.VMActive && (vm.Pool != wavePool || vm.Image == newImage) && !vm.Removed {
				continue
			}
			done = false
			h.advance(vm)
		}
		if done {
			return
		}
	}
	for _, vm := range h.s.View().VMs {
		if vm.Pool == wavePool {
			h.t.Logf("%s in %s: %s, image %q", vm.ID, vm.Zone, vm.State, vm.Image)
		}
	}
	h.t.Fatal("the wave did not complete")
}

// advance applies the next transition of a VM. The transition may be void only
// if it would breach a budget.
func (h *harness) advance(vm structs.VMStatus) {
	next := map[structs.VMState]structs.VMState{
		structs.VMActive:    structs.VMDraining,
		structs.VMDraining:  structs.VMDrained,
		structs.VMDrained:   structs.VMRebooting,
		structs.VMRebooting: structs.VMProbation,
		structs.VMProbation: structs.VMActive,
		structs.VMFailed:    structs.VMProbation,
	}[vm.State]
	if vm.State == structs.VMProbation && vm.Removed {
		next = structs.VMDraining
	}
	if vm.State == structs.VMDraining {
		for _, m := range h.s.View().EntryEpochs[vm.Zone].Members {
			h.requireApplied(m.Node, h.ack(vm.ID, m.Node, m.Incarnation))
		}
	}
	rec := h.currentTransition(vm.ID, next)
	if vm.State == structs.VMActive && !vm.Removed {
		rec.Transition.Wave = waveName
	}
	verdict := h.apply(h.holder(), rec)
	if verdict.Void != structs.VoidNone {
		require.Equal(h.t, structs.VoidBudget, verdict.Void, verdict.Detail)
	}
}
