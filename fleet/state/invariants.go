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

// The invariants.
const (
	// RuleOnePool: a VM belongs to exactly one declared pool and is listed
	// once.
	RuleOnePool Rule = "one_pool"
	// RuleBudget: no planned act leaves a service below its budget.
	RuleBudget Rule = "budget"
	// RuleNoRevert: offset, generation, sequences and epochs never go back.
	RuleNoRevert Rule = "no_revert"
	// RuleDrainedFirst: no VM is rebooted, and none counts as drained, before
	// all entry nodes of its zone have acknowledged.
	RuleDrainedFirst Rule = "drained_first"
	// RuleReferences: every name refers to a declared item.
	RuleReferences Rule = "references"
	// RuleSameFold: two nodes at one offset have the same state.
	RuleSameFold Rule = "same_fold"
	// RuleCounts: the kept counts equal a fresh count.
	RuleCounts Rule = "counts"
)

// Violation is a broken invariant. It is an error.
type Violation struct {
	Rule Rule
	// Detail says where it was broken.
	Detail string
}

// Error names the rule and the place.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s is broken: %s: report this with the log from the last snapshot on", v.Rule, v.Detail)
}

func violated(rule Rule, format string, args ...any) Violation {
	return Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// maxViolations bounds the broken invariants that wait to be taken.
const maxViolations = 64

// report notes a broken invariant that the fold itself noticed.
func (s *State) report(v Violation) {
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, v)
	}
}

// TakeViolations returns the broken invariants that the fold itself noticed
// since the last call. The fold refuses or repairs what they concern.
func (s *State) TakeViolations() []Violation {
	list := s.violations
	s.violations = nil
	return list
}

// Check recounts the whole state and lists every broken invariant.
func (s *State) Check() []Violation {
	view := s.View()
	list := CheckView(view)
	if !reflect.DeepEqual(recount(view), s.index.tallies) {
		list = append(list, violated(RuleCounts, "the counts of VMs by pool are wrong at offset %d", s.next))
	}
	return list
}

// recount counts the VMs of each pool.
func recount(view *structs.View) map[string]*availability.Tally {
	fresh := newIndex()
	for i := range view.VMs {
		fresh.countVM(&view.VMs[i], 1)
	}
	return fresh.tallies
}

// CheckView lists every broken invariant that one view shows.
func CheckView(view *structs.View) []Violation {
	var list []Violation
	for i, vm := range view.VMs {
		if i > 0 && view.VMs[i-1].ID >= vm.ID {
			list = append(list, violated(RuleOnePool, "VM %s is listed twice or out of order", vm.ID))
		}
		if _, ok := view.Pools[vm.Pool]; !ok {
			list = append(list, violated(RuleOnePool, "VM %s is in pool %q, which is not declared", vm.ID, vm.Pool))
		}
		if _, ok := view.Zones[vm.Zone]; !ok {
			list = append(list, violated(RuleReferences, "VM %s is in zone %q, which is not declared", vm.ID, vm.Zone))
		}
		if vm.State < structs.VMActive || vm.State > structs.VMFailed {
			list = append(list, violated(RuleReferences, "VM %s has the unknown state %d", vm.ID, vm.State))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		svc := view.Services[name]
		if _, ok := view.Pools[svc.Pool]; !ok {
			list = append(list, violated(RuleReferences, "service %s names pool %q, which is not declared", name, svc.Pool))
		}
	}
	return list
}
