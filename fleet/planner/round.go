package planner

import (
	"fmt"
	"sort"
	"time"

	"wigeonwinch/fleet/budget"
	"wigeonwinch/fleet/moves"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// round is the working state of one planning round.
type round struct {
	p                 *Planner
	in                Input
	view              *structs.View
	now               time.Time
	observations      map[string]*Observation
	unreachableZones  map[string]bool
	ledger            *budget.Ledger
	waves             []string          // wave names, sorted
	waveByPool        map[string]string // wave that applies to each pool
	minRefusedCancels map[string]int    // by pool, fewest canceled drains among the candidates refused by the budgets
	changed           map[string]bool   // VMs with a record in this plan
	shifts            []moves.Shift
	plan              Plan
}

func newRound(p *Planner, in Input) *round {
	r := &round{
		p:                 p,
		in:                in,
		view:              in.View,
		now:               in.Now,
		observations:      make(map[string]*Observation, len(in.Observations)),
		unreachableZones:  make(map[string]bool, len(in.UnreachableZones)),
		minRefusedCancels: make(map[string]int),
		changed:           make(map[string]bool),
	}
	for i := range in.Observations {
		r.observations[in.Observations[i].VM] = &in.Observations[i]
	}
	for _, zone := range in.UnreachableZones {
		r.unreachableZones[zone] = true
	}
	r.ledger = budget.New(in.View, r.unavailable)
	r.assignWaves()
	return r
}

// unavailable reports whether a VM that the control state counts as active
// cannot serve: its zone is unreachable, or it is not listed as live or fails
// its probes.
func (r *round) unavailable(vm *structs.VMStatus) bool {
	if r.unreachableZones[vm.Zone] {
		return true
	}
	observation := r.observations[vm.ID]
	return observation != nil && (observation.Presence != wave.PresenceLive || observation.ConsecutiveFailures > 0)
}

// available reports whether the VM counts as available.
func (r *round) available(vm *structs.VMStatus) bool {
	return vm.State.Available() && !r.unavailable(vm)
}

// full reports whether the plan has reached the record limit of a round.
func (r *round) full() bool { return len(r.plan.Records) >= r.p.options.MaxRecords }

// addTransition adds a record that moves the VM to another state.
func (r *round) addTransition(vm *structs.VMStatus, t structs.Transition) {
	t.VM = vm.ID
	t.Sequence = vm.Sequence
	t.LeaseScope = r.in.Scope
	t.LeaseEpoch = r.in.Epoch
	r.changed[vm.ID] = true
	r.plan.Records = append(r.plan.Records, structs.Record{
		Key:        r.recordKey(vm.ID, vm.Sequence, t.To.String()),
		Writer:     r.in.Writer,
		Transition: &t,
	})
}

// recordKey returns the key of a record, derived from the decision that the
// record holds.
func (r *round) recordKey(subject string, sequence uint64, kind string) string {
	return fmt.Sprintf("%s/%d/%s/%d/%s", r.in.Scope, r.in.Epoch, subject, sequence, kind)
}

// requestAction requests an action, unless the same action was requested
// within the repeat interval.
func (r *round) requestAction(kind ActionKind, vm *structs.VMStatus, image string) {
	last := r.p.requestedActions[vm.ID]
	same := last.kind == kind && last.sequence == vm.Sequence && last.epoch == r.in.Epoch
	if same && r.now.Sub(last.requestedAt) < r.p.options.ActionRepeatInterval {
		return
	}
	r.p.requestedActions[vm.ID] = actionRequest{sequence: vm.Sequence, kind: kind, epoch: r.in.Epoch, requestedAt: r.now}
	r.plan.Actions = append(r.plan.Actions, Action{
		Kind:     kind,
		VM:       vm.ID,
		Sequence: vm.Sequence,
		Epoch:    r.in.Epoch,
		Scope:    r.in.Scope,
		Image:    image,
	})
}

// countProposedDrains counts drains that were proposed recently and that the
// view does not show yet, and adds their records to the plan again.
func (r *round) countProposedDrains() {
	ids := make([]string, 0, len(r.p.proposedDrains))
	for id := range r.p.proposedDrains {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		r.countProposedDrain(id, r.p.proposedDrains[id])
	}
}

func (r *round) countProposedDrain(id string, proposal drainProposal) {
	vm, found := r.view.VMByID(id)
	timedOut := r.now.Sub(proposal.proposedAt) > r.p.options.ProposalTimeout
	if !found || vm.Sequence != proposal.sequence || timedOut {
		delete(r.p.proposedDrains, id)
		return
	}
	if !r.available(&vm) {
		return
	}
	r.ledger.MarkUnavailable(&vm)
	r.addTransition(&vm, structs.Transition{To: structs.VMDraining, Wave: proposal.wave})
}

// planDrain plans the drain of a VM that the ledger allows to be drained.
func (r *round) planDrain(vm *structs.VMStatus, waveName, moveTo string) {
	r.ledger.MarkUnavailable(vm)
	r.p.proposedDrains[vm.ID] = drainProposal{sequence: vm.Sequence, proposedAt: r.now, wave: waveName, moveTo: moveTo}
	r.addTransition(vm, structs.Transition{To: structs.VMDraining, Wave: waveName})
}

// drainable reports whether the VM can be considered for a planned drain.
func (r *round) drainable(vm *structs.VMStatus) bool {
	return r.available(vm) && !r.changed[vm.ID] && r.p.tracker.MayDrain(vm.ID, r.now)
}
