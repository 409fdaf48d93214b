package state

import (
	"maps"
	"slices"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// budgetsHold checks the budgets of all services on a pool against the VMs
// that serve now.
func (s *State) budgetsHold(pool string) *refusal {
	return s.checkBudgets(pool, availability.Available)
}

// budgetsPossible checks the budgets of all services on a pool against its
// declared VMs, as if all were up.
func (s *State) budgetsPossible(pool string) *refusal {
	return s.checkBudgets(pool, availability.Declared)
}

func (s *State) checkBudgets(pool string, measure availability.Measure) *refusal {
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
			return refuse(structs.VoidBudget, "service %s on pool %s would be short (%v): wait until more VMs serve, or add some", shown(name), shown(pool), short)
		}
	}
	return nil
}
