package state

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// Rule names an invariant of the fleet.
type Rule string

// The invariants that CheckView, CheckStep and State check.
const (
	// RuleOnePool requires that a VM is listed once and belongs to exactly one
	// declared pool.
	RuleOnePool Rule = "one_pool"
	// RuleBudget requires that no planned action leaves a service below its
	// budget.
	RuleBudget Rule = "budget"
	// RuleNoRevert requires that the offset, generation, sequences and epochs
	// never decrease.
	RuleNoRevert Rule = "no_revert"
	// RuleDrainedFirst requires that no VM becomes drained, or is rebooted,
	// before all entry nodes of its zone have acknowledged its drain.
	RuleDrainedFirst Rule = "drained_first"
	// RuleReferences requires that every name refers to a declared item.
	RuleReferences Rule = "references"
	// RuleSameState requires that all nodes have the same state at an offset.
	RuleSameState Rule = "same_fold"
	// RuleCounts requires that the maintained counts equal a recount.
	RuleCounts Rule = "counts"
)

// Violation is an error that reports a violated invariant.
type Violation struct {
	Rule Rule
	// Detail describes where the invariant was violated.
	Detail string
}

// Error returns the rule and the detail.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s is violated: %s: report this with the log since the last snapshot", v.Rule, v.Detail)
}

func newViolation(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// maxPendingViolations limits the number of violations kept until the next call
// of TakeViolations.
const maxPendingViolations = 64

// addViolation records a violation found while applying a record.
func (s *State) addViolation(v Violation) {
	if len(s.violations) < maxPendingViolations {
		s.violations = append(s.violations, v)
	}
}

// TakeViolations returns the violations found while applying records since the
// last call, and clears them. Apply has repaired the state they concern, or
// refused the record.
func (s *State) TakeViolations() []Violation {
	list := s.violations
	s.violations = nil
	return list
}

// CheckInvariants recounts the whole state and returns every invariant
// violation.
func (s *State) CheckInvariants() []Violation {
	view := s.View()
	list := CheckView(view)
	if !reflect.DeepEqual(recountTallies(view), s.index.tallies) {
		list = append(list, newViolation(RuleCounts, "VM counts by pool are wrong at offset %d", s.next))
	}
	return list
}

// recountTallies returns the VM counts of each pool, computed from a view.
func recountTallies(view *structs.View) map[string]*availability.Tally {
	fresh := newIndex()
	for i := range view.VMs {
		fresh.countVM(&view.VMs[i], 1)
	}
	return fresh.tallies
}

// CheckView returns every invariant violation in one view.
func CheckView(view *structs.View) []Violation {
	var list []Violation
	for i, vm := range view.VMs {
		if i > 0 && view.VMs[i-1].ID >= vm.ID {
			list = append(list, newViolation(RuleOnePool, "VM %s is listed twice or out of order", vm.ID))
		}
		if _, ok := view.Pools[vm.Pool]; !ok {
			list = append(list, newViolation(RuleOnePool, "VM %s is in pool %q, which is not declared", vm.ID, vm.Pool))
		}
		if _, ok := view.Zones[vm.Zone]; !ok {
			list = append(list, newViolation(RuleReferences, "VM %s is in zone %q, which is not declared", vm.ID, vm.Zone))
		}
		if vm.State < structs.VMActive || vm.State > structs.VMFailed {
			list = append(list, newViolation(RuleReferences, "VM %s has unknown state %d", vm.ID, vm.State))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		svc := view.Services[name]
		if _, ok := view.Pools[svc.Pool]; !ok {
			list = append(list, newViolation(RuleReferences, "service %s references pool %q, which is not declared", name, svc.Pool))
		}
	}
	return list
}
