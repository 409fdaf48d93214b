package planner

import (
	"maps"
	"slices"

	"wigeonwinch/fleet/buffer"
)

// reportBuffers adds to the plan a comparison of each pool's workers with the
// number that budgets and demand require.
func (r *round) reportBuffers() {
	r.plan.Buffers = r.p.sizer.Reports(r.bufferNeeds(), r.now)
}

// bufferNeeds returns the inputs for the buffer size of each pool, sorted by
// pool name.
func (r *round) bufferNeeds() []buffer.Need {
	slots := make(map[string]int, len(r.view.Pools))
	for i := range r.view.VMs {
		slots[r.view.VMs[i].Pool] += r.view.VMs[i].Slots
	}
	names := slices.Sorted(maps.Keys(r.view.Pools))
	needs := make([]buffer.Need, 0, len(names))
	for _, name := range names {
		demand, _ := r.p.estimator.Estimate(name)
		need := buffer.Need{
			Pool:          name,
			Total:         r.ledger.Total(name),
			Available:     r.ledger.Available(name),
			Required:      r.ledger.Required(name),
			RequiredBound: r.ledger.RequiredLowerBound(name, len(r.view.Zones)),
			Demand:        demand,
		}
		if need.Total > 0 {
			need.Slots = float64(slots[name]) / float64(need.Total)
		}
		needs = append(needs, need)
	}
	return needs
}
