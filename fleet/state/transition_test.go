package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

func TestPlannedStopPassesEveryState(t *testing.T) {
	b := newBench(t)
	b.drain("intake-01")
	require.Equal(t, []string(nil), b.vm("intake-01").Acks)
	b.ok("n1", b.step("intake-01", structs.VMRebooting))
	back := b.step("intake-01", structs.VMProbation)
	back.Transition.Image = "worker-2026-12"
	b.ok("n1", back)
	b.ok("n1", b.step("intake-01", structs.VMActive))
	vm := b.vm("intake-01")
	require.Equal(t, structs.VMActive, vm.State)
	require.Equal(t, "worker-2026-12", vm.Image)
	require.Equal(t, uint64(5), vm.Sequence)
}

func TestStepsThatAreNotAllowed(t *testing.T) {
	drained := func(b *bench) { b.drain("intake-01") }
	draining := func(b *bench) { b.ok("n1", b.step("intake-01", structs.VMDraining)) }
	failed := func(b *bench) { b.ok("n1", b.step("intake-01", structs.VMFailed)) }
	tests := []struct {
		name    string
		prepare func(*bench)
		to      structs.VMState
		want    structs.Void
	}{
		{"reboot while active", func(*bench) {}, structs.VMRebooting, structs.VoidNotDrained},
		{"reboot while draining", draining, structs.VMRebooting, structs.VoidNotDrained},
		{"reboot while failed", failed, structs.VMRebooting, structs.VoidNotDrained},
		{"drained without acknowledgement", draining, structs.VMDrained, structs.VoidNotDrained},
		{"drained at once", func(*bench) {}, structs.VMDrained, structs.VoidInvalid},
		{"active at once after a failure", failed, structs.VMActive, structs.VoidInvalid},
		{"failed twice", failed, structs.VMFailed, structs.VoidInvalid},
		{"draining again", drained, structs.VMDraining, structs.VoidInvalid},
		{"unknown state", drained, structs.VMState(99), structs.VoidInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			tt.prepare(b)
			b.void(tt.want, "n1", b.step("intake-01", tt.to))
		})
	}
}

func TestFailureIsAcceptedInEveryState(t *testing.T) {
	path := []structs.VMState{structs.VMRebooting, structs.VMProbation, structs.VMActive}
	for stop := 0; stop <= len(path); stop++ {
		b := newBench(t)
		b.drain("intake-01")
		for _, to := range path[:stop] {
			b.ok("n1", b.step("intake-01", to))
		}
		b.ok("n1", b.step("intake-01", structs.VMFailed))
		b.ok("n1", b.step("intake-01", structs.VMProbation))
		b.ok("n1", b.step("intake-01", structs.VMActive))
	}
}

func TestOnlyTheHolderActs(t *testing.T) {
	b := newBench(t)
	stale := b.step("intake-01", structs.VMDraining)
	b.void(structs.VoidNotHolder, "n2", stale)
	b.ok("n2", structs.Record{Lease: &structs.Lease{Scope: "fleet", Epoch: 2, Holder: "n2", TTLMS: 1}})
	b.void(structs.VoidStale, "n1", stale)
	stale.Transition.LeaseScope = "nobody"
	b.void(structs.VoidNotHolder, "n1", stale)
	b.epoch = 2
	b.ok("n2", b.step("intake-01", structs.VMDraining))
}

func TestRepeatedTransitionIsHarmless(t *testing.T) {
	b := newBench(t)
	rec := b.step("intake-01", structs.VMDraining)
	b.ok("n1", rec)
	b.void(structs.VoidStale, "n1", rec)
	b.ok("n1", b.step("intake-01", structs.VMActive))
	b.void(structs.VoidStale, "n1", rec)
	require.Equal(t, structs.VMActive, b.vm("intake-01").State)
}

// The pool intake must keep six VMs after the loss of any one zone. Its ten
// VMs are spread 3, 3, 2 and 2; intake-01 and intake-05 are in one large zone,
// intake-02 in the other, intake-03 in a small one.
func TestBudgetCountsPlannedAndUnplannedOutagesTogether(t *testing.T) {
	tests := []struct {
		name   string
		failed []string
		want   structs.Void
	}{
		{"all up: 9 less 3 are left", nil, structs.VoidNone},
		{"one failed in the other large zone: 8 less 2", []string{"intake-02"}, structs.VoidNone},
		{"one failed in the same zone: 8 less 3", []string{"intake-05"}, structs.VoidBudget},
		{"one failed in a small zone: 8 less 3", []string{"intake-03"}, structs.VoidBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			for _, id := range tt.failed {
				b.ok("n1", b.step(id, structs.VMFailed))
			}
			verdict := b.apply("n1", b.step("intake-01", structs.VMDraining))
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}

func TestBrokenBudgetStopsPlannedActsAndNotRepairs(t *testing.T) {
	b := newBench(t)
	for _, id := range []string{"intake-01", "intake-02", "intake-03", "intake-04", "intake-05"} {
		b.ok("n1", b.step(id, structs.VMFailed))
	}
	b.void(structs.VoidBudget, "n1", b.step("intake-06", structs.VMDraining))
	b.drain("intake-01")
	b.void(structs.VoidBudget, "n1", b.move("intake-01", "survey"))
	b.ok("n1", b.step("intake-01", structs.VMRebooting))
	b.ok("n1", b.step("intake-01", structs.VMProbation))
	b.ok("n1", b.step("intake-01", structs.VMActive))
}

func TestMoveTakesDrainedVMsOnly(t *testing.T) {
	b := newBench(t)
	b.void(structs.VoidNotDrained, "n1", b.move("billing-admin-01", "intake"))
	b.drain("billing-admin-01")
	b.void(structs.VoidUnknownItem, "n1", b.move("billing-admin-01", "nowhere"))
	b.void(structs.VoidInvalid, "n1", b.move("billing-admin-01", "billing-admin"))
	rec := b.move("billing-admin-01", "intake")
	b.void(structs.VoidNotHolder, "n2", rec)
	b.ok("n1", rec)
	b.void(structs.VoidStale, "n1", rec)
	b.ok("n1", b.step("billing-admin-01", structs.VMActive))
	vm := b.vm("billing-admin-01")
	require.Equal(t, "intake", vm.Pool)
	require.Equal(t, "billing-admin", vm.VM.Pool)
}

// The pool billing-admin, two VMs in each of four zones, is made short as no
// publish may: it is helped one VM at a time, and a move that makes a zone
// short is refused.
func TestMoveHelpsAPoolThatIsShortByTwo(t *testing.T) {
	tests := []struct {
		name    string
		budget  structs.Budget
		without []string
		want    structs.Void
	}{
		{"pool short by two", structs.Budget{MinAvailable: 10}, nil, structs.VoidNone},
		{"short by two after the loss of a VM", structs.Budget{MinAvailable: 9, Survive: structs.FailureDomainVM}, nil, structs.VoidNone},
		{"zones short by two", structs.Budget{MinAvailablePerZone: 4}, nil, structs.VoidNone},
		{"first VM of a zone that needs one", structs.Budget{MinAvailablePerZone: 1}, []string{"billing-admin-01", "billing-admin-05"}, structs.VoidNone},
		{"first VM of a zone that needs two", structs.Budget{MinAvailablePerZone: 2}, []string{"billing-admin-01", "billing-admin-05"}, structs.VoidBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			svc := b.s.View().Services["billing"]
			svc.Budget = tt.budget
			b.s.unsafe.budgets = true
			for _, id := range tt.without {
				b.ok("n1", b.step(id, structs.VMFailed))
				b.ok("pipeline", b.publish(drop(structs.ItemVM, id)))
			}
			b.ok("pipeline", b.publish(structs.Change{Kind: structs.ItemService, Name: "billing", Service: &svc}))
			b.s.unsafe.budgets = false
			b.drain("intake-01")
			verdict := b.apply("n1", b.move("intake-01", "billing-admin"))
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}
