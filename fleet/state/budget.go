package state

import (
	"maps"
	"reflect"
	"slices"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// checkAvailableBudgets checks the budgets of all services on a pool against
// its available VMs.
func (s *State) checkAvailableBudgets(pool string) *Refusal {
	return s.checkBudgets(pool, availability.Available)
}

// repairTally recounts the VMs of a pool before a planned action. If the counts
// in the index differ, it records an invariant violation and replaces them.
func (s *State) repairTally(pool string) {
	fresh := availability.NewTally()
	for i := range s.vms.list {
		if vm := &s.vms.list[i]; vm.Pool == pool {
			fresh.Adjust(vm.Zone, vm.Rack, vmCount(vm))
		}
	}
	if reflect.DeepEqual(fresh, s.index.tally(pool)) {
		return
	}
	s.addViolation(newViolation(RuleCounts, "counts of pool %s were wrong at offset %d and have been replaced", pool, s.next-1))
	s.index.tallies[pool] = fresh
}

// checkDeclaredBudgets checks the budgets of all services on a pool against its
// declared VMs, as if all of them were available.
func (s *State) checkDeclaredBudgets(pool string) *Refusal {
	return s.checkBudgets(pool, availability.Declared)
}

// declaredMissing returns the number of VMs missing from the budget of each
// service on a pool, in order of the service names, as if all declared VMs of
// the pool were available.
func (s *State) declaredMissing(pool string) []availability.Missing {
	tally, ok := s.index.tallies[pool]
	if !ok {
		tally = availability.NewTally()
	}
	var list []availability.Missing
	for _, name := range slices.Sorted(maps.Keys(s.index.services[pool])) {
		svc, _ := s.services.get(name)
		list = append(list, tally.Missing(svc.Budget, availability.Declared))
	}
	return list
}

func (s *State) checkBudgets(pool string, measure availability.Measure) *Refusal {
	if s.skip.budgets {
		return nil
	}
	services := s.index.services[pool]
	if len(services) == 0 {
		return nil
	}
	tally, ok := s.index.tallies[pool]
	if !ok {
		tally = availability.NewTally()
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		svc, _ := s.services.get(name)
		if short := tally.Shortfall(svc.Budget, measure); short != nil {
			return refuse(structs.VoidBudget, "service %s on pool %s would fall below its budget (%v): %s", quoteText(name), quoteText(pool), short, budgetRemedy(measure))
		}
	}
	return nil
}

func budgetRemedy(measure availability.Measure) string {
	if measure == availability.Declared {
		return "add VMs or lower the budget"
	}
	return "wait until more VMs are available, or add VMs"
}
