package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// maxPasses bounds the rounds in which a wave must end.
const maxPasses = 60

// mishap is something that goes wrong inside a wave.
type mishap struct {
	name   string
	strike func(b *bench)
}

const (
	struckVM = "intake-01"
	wavePool = "intake"
)

var mishaps = []mishap{
	{"another node takes the lease", func(b *bench) { b.takeLease() }},
	{"an entry node is replaced", func(b *bench) { b.members(struckZone(b), nextIncarnation(b)-1, "n2", "n3") }},
	{"an entry node is started again", func(b *bench) { b.members(struckZone(b), nextIncarnation(b), "n1", "n2") }},
	{"the VM fails", func(b *bench) { b.failAll(func(vm structs.VMStatus) bool { return vm.ID == struckVM }) }},
	{"its rack fails", func(b *bench) {
		rack := rackOf(b)
		b.failAll(func(vm structs.VMStatus) bool { return vm.Rack == rack })
	}},
	{"its zone fails", func(b *bench) {
		zone := struckZone(b)
		b.failAll(func(vm structs.VMStatus) bool { return vm.Zone == zone })
	}},
	{"the manifest drops the VM and lowers the budget", func(b *bench) {
		if vm, ok := b.s.View().VMByID(struckVM); ok && !vm.Removed {
			lower := editedService(b, "drawing-intake", func(s *structs.Service) { s.Budget.MinAvailable-- })
			b.ok("pipeline", b.publish(drop(structs.ItemVM, struckVM), lower))
		}
	}},
	{"the drain is called back", func(b *bench) {
		if vm, ok := b.s.View().VMByID(struckVM); ok && vm.State == structs.VMDraining && !vm.Removed {
			b.ok(b.holder(), b.act(struckVM, structs.VMActive))
		}
	}},
	{"another VM restarts on the new image", func(b *bench) {
		b.failAll(func(vm structs.VMStatus) bool { return vm.ID == "intake-06" })
		b.ok(b.holder(), b.act("intake-06", structs.VMProbation))
	}},
	{"a reader starts from a snapshot", func(b *bench) {
		parts, err := b.s.SnapshotRecords("pair", "n1")
		require.NoError(b.t, err)
		b.s, err = Restore(parts)
		require.NoError(b.t, err)
	}},
}

// TestAnyTwoMishapsInsideAWave lets each two mishaps strike while a VM drains
// for a wave, in both orders, and expects that the wave still reaches every VM
// that the manifest lists.
func TestAnyTwoMishapsInsideAWave(t *testing.T) {
	for _, first := range mishaps {
		for _, second := range mishaps {
			t.Run(first.name+", "+second.name, func(t *testing.T) {
				b := newBench(t)
				b.ok("pipeline", b.publish(editedWave(b, func(w *structs.Wave) { w.Pools = []string{wavePool} })))
				b.ok("n1", b.takeForWave(struckVM))
				b.ok("n1", b.ack(struckVM, "n1", 1))
				first.strike(b)
				second.strike(b)
				b.finishWave()
			})
		}
	}
}

func struckZone(b *bench) string {
	return b.declared(struckVM).Zone
}

func rackOf(b *bench) string {
	return b.declared(struckVM).Rack
}

// declared returns a VM, or its neighbour in zone and rack when it was dropped.
func (b *bench) declared(id string) structs.VMStatus {
	if vm, ok := b.s.View().VMByID(id); ok {
		return vm
	}
	return b.vm("intake-05")
}

func nextIncarnation(b *bench) uint64 {
	highest := uint64(0)
	for _, m := range b.s.View().Entry[struckZone(b)].Members {
		highest = max(highest, m.Incarnation)
	}
	return highest + 1
}

func (b *bench) holder() string {
	return b.s.View().Leases[fleetScope].Holder
}

// takeLease gives the lease to the node that does not hold it.
func (b *bench) takeLease() {
	taker := "n2"
	if b.holder() == taker {
		taker = "n1"
	}
	now := b.s.View().Leases[fleetScope]
	b.ok(taker, structs.Record{Lease: &structs.Lease{
		Scope: fleetScope, Epoch: now.Epoch + 1, Sequence: 1, Seen: now.Sequence, Holder: taker, TTLMS: 1,
	}})
}

// act is a transition under the present lease, on the new image.
func (b *bench) act(id string, to structs.VMState) structs.Record {
	rec := b.step(id, to)
	rec.Transition.LeaseEpoch = b.s.View().Leases[fleetScope].Epoch
	if to == structs.VMProbation {
		rec.Transition.Image = newImage
	}
	return rec
}

// failAll reports the failure of some VMs.
func (b *bench) failAll(hit func(structs.VMStatus) bool) {
	for _, vm := range b.s.View().VMs {
		if hit(vm) && vm.State != structs.VMFailed {
			b.ok(b.holder(), b.act(vm.ID, structs.VMFailed))
		}
	}
}

// finishWave plays a plain planner until the wave has reached every VM.
func (b *bench) finishWave() {
	for range maxPasses {
		done := true
		for _, vm := range b.s.View().VMs {
			if vm.State == structs.VMActive && (vm.Pool != wavePool || vm.Image == newImage) && !vm.Removed {
				continue
			}
			done = false
			b.advance(vm)
		}
		if done {
			return
		}
	}
	for _, vm := range b.s.View().VMs {
		if vm.Pool == wavePool {
			b.t.Logf("%s in %s: %s, image %q", vm.ID, vm.Zone, vm.State, vm.Image)
		}
	}
	b.t.Fatal("the wave did not end")
}

// advance leads a VM one step on. A step that must wait is refused.
func (b *bench) advance(vm structs.VMStatus) {
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
		for _, m := range b.s.View().Entry[vm.Zone].Members {
			b.ok(m.Node, b.ack(vm.ID, m.Node, m.Incarnation))
		}
	}
	rec := b.act(vm.ID, next)
	if vm.State == structs.VMActive && !vm.Removed {
		rec.Transition.Wave = waveName
	}
	verdict := b.apply(b.holder(), rec)
	if verdict.Void != structs.VoidNone {
		require.Equal(b.t, structs.VoidBudget, verdict.Void, verdict.Detail)
	}
}
