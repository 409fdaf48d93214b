package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

func TestPlannedStopPassesEveryState(t *testing.T) {
	h := newHarness(t)
	h.drain("intake-01")
	require.Equal(t, []string(nil), h.vm("intake-01").Acks)
	h.requireApplied("n1", h.transition("intake-01", structs.VMRebooting))
	back := h.transition("intake-01", structs.VMProbation)
	back.Transition.Image = "worker-2026-12"
	h.requireApplied("n1", back)
	h.requireApplied("n1", h.transition("intake-01", structs.VMActive))
	vm := h.vm("intake-01")
	require.Equal(t, structs.VMActive, vm.State)
	require.Equal(t, "worker-2026-12", vm.Image)
	require.Equal(t, uint64(5), vm.Sequence)
}

func TestInvalidTransitionsAreVoid(t *testing.T) {
	drained := func(h *harness) { h.drain("intake-01") }
	draining := func(h *harness) { h.requireApplied("n1", h.transition("intake-01", structs.VMDraining)) }
	failed := func(h *harness) { h.requireApplied("n1", h.transition("intake-01", structs.VMFailed)) }
	tests := []struct {
		name    string
		prepare func(*harness)
		to      structs.VMState
		want    structs.VoidReason
	}{
		{"reboot while active", func(*harness) {}, structs.VMRebooting, structs.VoidNotDrained},
		{"reboot while draining", draining, structs.VMRebooting, structs.VoidNotDrained},
		{"reboot while failed", failed, structs.VMRebooting, structs.VoidNotDrained},
		{"drained without acknowledgement", draining, structs.VMDrained, structs.VoidNotDrained},
		{"drained without draining", func(*harness) {}, structs.VMDrained, structs.VoidInvalid},
		{"active without probation after a failure", failed, structs.VMActive, structs.VoidInvalid},
		{"failed twice", failed, structs.VMFailed, structs.VoidInvalid},
		{"draining again", drained, structs.VMDraining, structs.VoidInvalid},
		{"unknown state", drained, structs.VMState(99), structs.VoidInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			tt.prepare(h)
			h.requireVoid(tt.want, "n1", h.transition("intake-01", tt.to))
		})
	}
}

func TestFailureIsAcceptedInEveryState(t *testing.T) {
	path := []structs.VMState{structs.VMRebooting, structs.VMProbation, structs.VMActive}
	for stop := 0; stop <= len(path); stop++ {
		h := newHarness(t)
		h.drain("intake-01")
		for _, to := range path[:stop] {
			h.requireApplied("n1", h.transition("intake-01", to))
		}
		h.requireApplied("n1", h.transition("intake-01", structs.VMFailed))
		h.requireApplied("n1", h.transition("intake-01", structs.VMProbation))
		h.requireApplied("n1", h.transition("intake-01", structs.VMActive))
	}
}

func TestOnlyLeaseHolderMayTransitionVMs(t *testing.T) {
	h := newHarness(t)
	stale := h.transition("intake-01", structs.VMDraining)
	h.requireVoid(structs.VoidNotHolder, "n2", stale)
	h.requireApplied("n2", structs.Record{Lease: &structs.Lease{Scope: "fleet", Epoch: 2, Holder: "n2", TTLMS: 1}})
	h.requireVoid(structs.VoidStale, "n1", stale)
	stale.Transition.LeaseScope = "nobody"
	h.requireVoid(structs.VoidNotHolder, "n1", stale)
	h.epoch = 2
	h.requireApplied("n2", h.transition("intake-01", structs.VMDraining))
}

func TestRepeatedTransitionIsVoid(t *testing.T) {
	h := newHarness(t)
	rec := h.transition("intake-01", structs.VMDraining)
	h.requireApplied("n1", rec)
	h.requireVoid(structs.VoidStale, "n1", rec)
	h.requireApplied("n1", h.transition("intake-01", structs.VMActive))
	h.requireVoid(structs.VoidStale, "n1", rec)
	require.Equal(t, structs.VMActive, h.vm("intake-01").State)
}

// The pool intake must keep six available VMs after the loss of any one zone.
// Its ten VMs are spread over four zones as 3, 3, 2 and 2: intake-01 and
// intake-05 are in one of the large zones, intake-02 in the other, and
// intake-03 in a small one.
func TestBudgetCountsPlannedAndUnplannedOutagesTogether(t *testing.T) {
	tests := []struct {
		name   string
		failed []string
		want   structs.VoidReason
	}{
		{"all available: 9 less 3 remain", nil, structs.VoidNone},
		{"one failed in the other large zone: 8 less 2", []string{"intake-02"}, structs.VoidNone},
		{"one failed in the same zone: 8 less 3", []string{"intake-05"}, structs.VoidBudget},
		{"one failed in a small zone: 8 less 3", []string{"intake-03"}, structs.VoidBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			for _, id := range tt.failed {
				h.requireApplied("n1", h.transition(id, structs.VMFailed))
			}
			verdict := h.apply("n1", h.transition("intake-01", structs.VMDraining))
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}

func TestBreachedBudgetBlocksDrainsButNotRepairs(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"intake-01", "intake-02", "intake-03", "intake-04", "intake-05"} {
		h.requireApplied("n1", h.transition(id, structs.VMFailed))
	}
	h.requireVoid(structs.VoidBudget, "n1", h.transition("intake-06", structs.VMDraining))
	h.drain("intake-01")
	h.requireVoid(structs.VoidBudget, "n1", h.move("intake-01", "survey"))
	h.requireApplied("n1", h.transition("intake-01", structs.VMRebooting))
	h.requireApplied("n1", h.transition("intake-01", structs.VMProbation))
	h.requireApplied("n1", h.transition("intake-01", structs.VMActive))
}

func TestMoveRequiresDrainedVM(t *testing.T) {
	h := newHarness(t)
	h.requireVoid(structs.VoidNotDrained, "n1", h.move("billing-admin-01", "intake"))
	h.drain("billing-admin-01")
	h.requireVoid(structs.VoidUnknownItem, "n1", h.move("billing-admin-01", "nowhere"))
	h.requireVoid(structs.VoidInvalid, "n1", h.move("billing-admin-01", "billing-admin"))
	rec := h.move("billing-admin-01", "intake")
	h.requireVoid(structs.VoidNotHolder, "n2", rec)
	h.requireApplied("n1", rec)
	h.requireVoid(structs.VoidStale, "n1", rec)
	h.requireApplied("n1", h.transition("billing-admin-01", structs.VMActive))
	vm := h.vm("billing-admin-01")
	require.Equal(t, "intake", vm.Pool)
	require.Equal(t, "billing-admin", vm.VM.Pool)
}

// The pool billing-admin has two VMs in each of four zones. The test puts it
// below its budget, which needs the budget check disabled because a publish
// can't do it. The pool must still be able to receive one VM at a time, and a
// move must be refused if it leaves more VMs missing in a zone than before.
func TestMoveToPoolThatIsShortByTwo(t *testing.T) {
	tests := []struct {
		name    string
		budget  structs.Budget
		without []string
		want    structs.VoidReason
	}{
		{"pool short by two", structs.Budget{MinAvailable: 10}, nil, structs.VoidNone},
		{"short by two after the loss of a VM", structs.Budget{MinAvailable: 9, Survive: structs.FailureDomainVM}, nil, structs.VoidNone},
		{"zones short by two", structs.Budget{MinAvailablePerZone: 4}, nil, structs.VoidNone},
		{"first VM of a zone that needs one", structs.Budget{MinAvailablePerZone: 1}, []string{"billing-admin-01", "billing-admin-05"}, structs.VoidNone},
		{"first VM of a zone that needs two", structs.Budget{MinAvailablePerZone: 2}, []string{"billing-admin-01", "billing-admin-05"}, structs.VoidBudget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			svc := h.s.View().Services["billing"]
			svc.Budget = tt.budget
			h.s.skip.budgets = true
			for _, id := range tt.without {
				h.requireApplied("n1", h.transition(id, structs.VMFailed))
				h.requireApplied("pipeline", h.publish(deletion(structs.ItemVM, id)))
			}
			h.requireApplied("pipeline", h.publish(structs.Change{Kind: structs.ItemService, Name: "billing", Service: &svc}))
			h.s.skip.budgets = false
			h.drain("intake-01")
			verdict := h.apply("n1", h.move("intake-01", "billing-admin"))
			require.Equal(t, tt.want, verdict.Void, verdict.Detail)
		})
	}
}
