package state

import (
	"maps"
	"reflect"
	"slices"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// budgetsHold checks the budgets of all services on a pool against the VMs
// that serve now.
func (s *State) budgetsHold(pool string) *Refusal {
	return s.checkBudgets(pool, availability.Available)
}

// repairTally counts a pool anew before a planned act. Counts that differ from
// the kept ones are a broken invariant; the new ones replace them.
func (s *State) repairTally(pool string) {
	fresh := availability.NewTally()
	for i := range s.vms.list {
		if vm := &s.vms.list[i]; vm.Pool == pool {
			fresh.Change(vm.Zone, vm.Rack, countOf(vm))
		}
	}
	if reflect.DeepEqual(fresh, s.index.tally(pool)) {
		return
	}
	s.report(violated(RuleCounts, "the counts of pool %s were wrong at offset %d and were replaced", pool, s.next-1))
	s.index.tallies[pool] = fresh
}

// budgetsPossible checks the budgets of all services on a pool against its
// declared VMs, as if all were up.
func (s *State) budgetsPossible(pool string) *Refusal {
	return s.checkBudgets(pool, availability.Declared)
}

// missing returns what is missing from the budget of each service on a pool,
// by name, as if all its declared VMs were up.
func (s *State) missing(pool string) []availability.Missing {
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
	if s.unsafe.budgets {
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
			return refuse(structs.VoidBudget, "service %s on pool %s would be short (%v): %s", shown(name), shown(pool), short, budgetRemedy(measure))
		}
	}
	return nil
}

func budgetRemedy(measure availability.Measure) string {
	if measure == availability.Declared {
		return "add VMs or lower the budget"
	}
	return "wait until more VMs serve, or add some"
}
