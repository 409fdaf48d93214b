package state

import (
	"maps"
	"slices"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// CheckStep returns every invariant violation of the step from one view to the
// next, between which the record was applied with the verdict. It uses only the
// views and does not rely on the counts that State maintains.
func CheckStep(before, after *structs.View, rec structs.Record, verdict structs.Verdict) []Violation {
	list := checkMonotonic(before, after)
	if verdict.Void != structs.VoidNone {
		return list
	}
	switch {
	case rec.Publish != nil:
		list = append(list, checkPublishStep(before, after, rec.Publish)...)
	case rec.Transition != nil:
		list = append(list, checkTransitionStep(before, after, rec.Transition)...)
	case rec.Move != nil:
		list = append(list, checkMoveStep(before, after, rec.Move)...)
	}
	return list
}

// checkMonotonic checks that offsets, generations and epochs have not
// decreased.
func checkMonotonic(before, after *structs.View) []Violation {
	var list []Violation
	if after.Offset < before.Offset {
		list = append(list, newViolation(RuleNoRevert, "offset decreased from %d to %d", before.Offset, after.Offset))
	}
	if after.Generation < before.Generation || after.PublishedAt < before.PublishedAt {
		list = append(list, newViolation(RuleNoRevert, "generation or publish offset decreased: generation changed from %d to %d", before.Generation, after.Generation))
	}
	for scope, lease := range before.Leases {
		if current, ok := after.Leases[scope]; !ok || current.Epoch < lease.Epoch {
			list = append(list, newViolation(RuleNoRevert, "epoch of lease %q decreased from %d", scope, lease.Epoch))
		}
	}
	for zone, entry := range before.EntryEpochs {
		if current, ok := after.EntryEpochs[zone]; !ok || current.Epoch < entry.Epoch {
			list = append(list, newViolation(RuleNoRevert, "entry epoch of zone %q decreased from %d", zone, entry.Epoch))
		}
	}
	return list
}

// checkPublishStep checks that an applied publish was based on the generation
// that it replaced, and that it moved no VM to another pool.
func checkPublishStep(before, after *structs.View, p *structs.Publish) []Violation {
	var list []Violation
	if p.Base != before.Generation || after.Generation != before.Generation+1 {
		list = append(list, newViolation(RuleNoRevert, "publish based on generation %d changed the generation from %d to %d", p.Base, before.Generation, after.Generation))
	}
	i := 0
	for j := range after.VMs {
		current := &after.VMs[j]
		for i < len(before.VMs) && before.VMs[i].ID < current.ID {
			i++
		}
		if i < len(before.VMs) && before.VMs[i].ID == current.ID && before.VMs[i].Pool != current.Pool {
			list = append(list, newViolation(RuleOnePool, "publish moved VM %s from pool %s to %s", current.ID, before.VMs[i].Pool, current.Pool))
		}
	}
	return list
}

// checkTransitionStep checks an applied transition.
func checkTransitionStep(before, after *structs.View, t *structs.Transition) []Violation {
	old, ok := before.VMByID(t.VM)
	if !ok {
		return []Violation{newViolation(RuleReferences, "transition was applied to VM %q, which did not exist", t.VM)}
	}
	var list []Violation
	if current, ok := after.VMByID(t.VM); ok && current.Sequence <= old.Sequence {
		list = append(list, newViolation(RuleNoRevert, "sequence of VM %s did not increase: from %d to %d", t.VM, old.Sequence, current.Sequence))
	}
	if t.To == structs.VMRebooting && old.State != structs.VMDrained {
		list = append(list, newViolation(RuleDrainedFirst, "VM %s was rebooted while it was %s", t.VM, old.State))
	}
	if t.To == structs.VMDrained && !allAcknowledged(before, old) {
		list = append(list, newViolation(RuleDrainedFirst, "VM %s became drained without all acknowledgements", t.VM))
	}
	if old.State.Available() && t.To != structs.VMFailed {
		list = append(list, checkPoolBudgets(after, old.Pool)...)
	}
	return list
}

// allAcknowledged reports whether every entry node in the VM's zone has
// acknowledged its drain. It is false for a zone without entry nodes.
func allAcknowledged(view *structs.View, vm structs.VMStatus) bool {
	acks := map[string]bool{}
	for _, node := range vm.Acks {
		acks[node] = true
	}
	members := view.EntryEpochs[vm.Zone].Members
	for _, m := range members {
		if !acks[m.Node] {
			return false
		}
	}
	return len(members) > 0
}

// checkMoveStep checks an applied move.
func checkMoveStep(before, after *structs.View, m *structs.Move) []Violation {
	old, ok := before.VMByID(m.VM)
	if !ok {
		return []Violation{newViolation(RuleReferences, "move was applied to VM %q, which did not exist", m.VM)}
	}
	var list []Violation
	if old.State != structs.VMDrained {
		list = append(list, newViolation(RuleDrainedFirst, "VM %s was moved while it was %s", m.VM, old.State))
	}
	current, ok := after.VMByID(m.VM)
	if !ok || current.Pool != m.To || current.Sequence <= old.Sequence {
		list = append(list, newViolation(RuleOnePool, "VM %s was not moved to pool %s", m.VM, m.To))
	}
	return append(list, checkPoolBudgets(after, old.Pool)...)
}

// checkPoolBudgets recounts a pool and checks the budgets of its services.
func checkPoolBudgets(view *structs.View, pool string) []Violation {
	tally := availability.NewTally()
	for i := range view.VMs {
		if vm := &view.VMs[i]; vm.Pool == pool {
			tally.Adjust(vm.Zone, vm.Rack, vmCount(vm))
		}
	}
	var list []Violation
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		svc := view.Services[name]
		if svc.Pool != pool {
			continue
		}
		if short := tally.Shortfall(svc.Budget, availability.Available); short != nil {
			list = append(list, newViolation(RuleBudget, "planned action left service %s on pool %s below its budget: %v", name, pool, short))
		}
	}
	return list
}
