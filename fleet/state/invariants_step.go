package state

import (
	"maps"
	"slices"

	"wigeonwinch/fleet/availability"
	"wigeonwinch/fleet/structs"
)

// CheckStep lists every invariant that the step from one view to the next
// broke. The record and its verdict say what was folded between them. It works
// from the views alone and shares no count with the fold.
func CheckStep(before, after *structs.View, rec structs.Record, verdict structs.Verdict) []Violation {
	list := checkForward(before, after)
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

// checkForward checks that nothing that only grows went back.
func checkForward(before, after *structs.View) []Violation {
	var list []Violation
	if after.Offset < before.Offset {
		list = append(list, violated(RuleNoRevert, "the offset fell from %d to %d", before.Offset, after.Offset))
	}
	if after.Generation < before.Generation || after.PublishedAt < before.PublishedAt {
		list = append(list, violated(RuleNoRevert, "the generation fell from %d to %d", before.Generation, after.Generation))
	}
	for scope, lease := range before.Leases {
		if now, ok := after.Leases[scope]; !ok || now.Epoch < lease.Epoch {
			list = append(list, violated(RuleNoRevert, "the epoch of lease %q fell from %d", scope, lease.Epoch))
		}
	}
	for zone, entry := range before.Entry {
		if now, ok := after.Entry[zone]; !ok || now.Epoch < entry.Epoch {
			list = append(list, violated(RuleNoRevert, "the entry epoch of zone %q fell from %d", zone, entry.Epoch))
		}
	}
	return list
}

// checkPublishStep checks that one applied publish was based on the generation
// it replaced, and that no pool was given a VM of another.
func checkPublishStep(before, after *structs.View, p *structs.Publish) []Violation {
	var list []Violation
	if p.Base != before.Generation || after.Generation != before.Generation+1 {
		list = append(list, violated(RuleNoRevert, "a publish based on generation %d led from %d to %d", p.Base, before.Generation, after.Generation))
	}
	i := 0
	for j := range after.VMs {
		now := &after.VMs[j]
		for i < len(before.VMs) && before.VMs[i].ID < now.ID {
			i++
		}
		if i < len(before.VMs) && before.VMs[i].ID == now.ID && before.VMs[i].Pool != now.Pool {
			list = append(list, violated(RuleOnePool, "a publish took VM %s from pool %s to %s", now.ID, before.VMs[i].Pool, now.Pool))
		}
	}
	return list
}

// checkTransitionStep checks one applied transition.
func checkTransitionStep(before, after *structs.View, t *structs.Transition) []Violation {
	old, ok := before.VMByID(t.VM)
	if !ok {
		return []Violation{violated(RuleReferences, "a transition was applied to VM %q, which did not exist", t.VM)}
	}
	var list []Violation
	if now, ok := after.VMByID(t.VM); ok && now.Sequence <= old.Sequence {
		list = append(list, violated(RuleNoRevert, "the sequence of VM %s went from %d to %d", t.VM, old.Sequence, now.Sequence))
	}
	if t.To == structs.VMRebooting && old.State != structs.VMDrained {
		list = append(list, violated(RuleDrainedFirst, "VM %s was rebooted while %s", t.VM, old.State))
	}
	if t.To == structs.VMDrained && !acknowledged(before, old) {
		list = append(list, violated(RuleDrainedFirst, "VM %s counts as drained without all acknowledgements", t.VM))
	}
	if old.State.Available() && t.To != structs.VMFailed {
		list = append(list, checkPoolBudgets(after, old.Pool)...)
	}
	return list
}

// acknowledged says whether each entry node of a VM's zone has acknowledged
// its drain.
func acknowledged(view *structs.View, vm structs.VMStatus) bool {
	acks := map[string]bool{}
	for _, node := range vm.Acks {
		acks[node] = true
	}
	members := view.Entry[vm.Zone].Members
	for _, m := range members {
		if !acks[m.Node] {
			return false
		}
	}
	return len(members) > 0
}

// checkMoveStep checks one applied move.
func checkMoveStep(before, after *structs.View, m *structs.Move) []Violation {
	old, ok := before.VMByID(m.VM)
	if !ok {
		return []Violation{violated(RuleReferences, "a move was applied to VM %q, which did not exist", m.VM)}
	}
	var list []Violation
	if old.State != structs.VMDrained {
		list = append(list, violated(RuleDrainedFirst, "VM %s was moved while %s", m.VM, old.State))
	}
	now, ok := after.VMByID(m.VM)
	if !ok || now.Pool != m.To || now.Sequence <= old.Sequence {
		list = append(list, violated(RuleOnePool, "VM %s did not arrive in pool %s", m.VM, m.To))
	}
	return append(list, checkPoolBudgets(after, old.Pool)...)
}

// checkPoolBudgets counts a pool anew and checks the budgets of its services.
func checkPoolBudgets(view *structs.View, pool string) []Violation {
	tally := availability.NewTally()
	for i := range view.VMs {
		if vm := &view.VMs[i]; vm.Pool == pool {
			tally.Change(vm.Zone, vm.Rack, countOf(vm))
		}
	}
	var list []Violation
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		svc := view.Services[name]
		if svc.Pool != pool {
			continue
		}
		if short := tally.Shortfall(svc.Budget, availability.Available); short != nil {
			list = append(list, violated(RuleBudget, "a planned act left service %s on pool %s short: %v", name, pool, short))
		}
	}
	return list
}
