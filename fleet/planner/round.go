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
	p       *Planner
	in      Input
	view    *structs.View
	now     time.Time
	seen    map[string]*Observation
	cut     map[string]bool
	ledger  *budget.Ledger
	waves   []string          // names of the waves, sorted
	byPool  map[string]string // the wave that concerns each pool
	waiting map[string]int    // least recalls among the candidates a pool had to refuse
	changed map[string]bool   // VMs with a record in this plan
	shifts  []moves.Shift
	plan    Plan
}

func newRound(p *Planner, in Input) *round {
	r := &round{
		p:       p,
		in:      in,
		view:    in.View,
		now:     in.Now,
		seen:    make(map[string]*Observation, len(in.Observed)),
		cut:     make(map[string]bool, len(in.CutZones)),
		waiting: make(map[string]int),
		changed: make(map[string]bool),
	}
	for i := range in.Observed {
		r.seen[in.Observed[i].VM] = &in.Observed[i]
	}
	for _, zone := range in.CutZones {
		r.cut[zone] = true
	}
	r.ledger = budget.New(in.View, r.out)
	r.chooseWaves()
	return r
}

// out says that an active VM is of no use: its zone can't be heard, or it is
// gone, leaving or failing its probes.
func (r *round) out(vm *structs.VMStatus) bool {
	if r.cut[vm.Zone] {
		return true
	}
	seen := r.seen[vm.ID]
	return seen != nil && (seen.Present != wave.PresenceLive || seen.Failures > 0)
}

// usable says that an active VM counts as available.
func (r *round) usable(vm *structs.VMStatus) bool {
	return vm.State.Available() && !r.out(vm)
}

// full says that the plan holds as many records as a round may append.
func (r *round) full() bool { return len(r.plan.Records) >= r.p.options.MaxRecords }

// transition adds a record that moves the VM to another state.
func (r *round) transition(vm *structs.VMStatus, t structs.Transition) {
	t.VM = vm.ID
	t.Sequence = vm.Sequence
	t.LeaseScope = r.in.Scope
	t.LeaseEpoch = r.in.Epoch
	r.changed[vm.ID] = true
	r.plan.Records = append(r.plan.Records, structs.Record{
		Key:        r.key(vm.ID, vm.Sequence, t.To.String()),
		Writer:     r.in.Writer,
		Transition: &t,
	})
}

// key names a record by what it decides.
func (r *round) key(subject string, sequence uint64, kind string) string {
	return fmt.Sprintf("%s/%d/%s/%d/%s", r.in.Scope, r.in.Epoch, subject, sequence, kind)
}

// act asks for an act, unless the same one was asked for a short while ago.
func (r *round) act(kind ActionKind, vm *structs.VMStatus, image string) {
	last := r.p.asked[vm.ID]
	same := last.kind == kind && last.sequence == vm.Sequence && last.epoch == r.in.Epoch
	if same && r.now.Sub(last.at) < r.p.options.ActionRepeat {
		return
	}
	r.p.asked[vm.ID] = asked{sequence: vm.Sequence, kind: kind, epoch: r.in.Epoch, at: r.now}
	r.plan.Actions = append(r.plan.Actions, Action{
		Kind:     kind,
		VM:       vm.ID,
		Sequence: vm.Sequence,
		Epoch:    r.in.Epoch,
		Scope:    r.in.Scope,
		Image:    image,
	})
}

// countProposals counts drains that were proposed a short while ago and that
// the view does not show yet as taken.
func (r *round) countProposals() {
	ids := make([]string, 0, len(r.p.proposed))
	for id := range r.p.proposed {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		r.countProposal(id, r.p.proposed[id])
	}
}

func (r *round) countProposal(id string, made proposal) {
	vm, found := r.view.VMByID(id)
	overdue := r.now.Sub(made.at) > r.p.options.ProposalTime
	if !found || vm.Sequence != made.sequence || overdue {
		delete(r.p.proposed, id)
		return
	}
	if !r.usable(&vm) {
		return
	}
	r.ledger.Take(&vm)
	r.transition(&vm, structs.Transition{To: structs.VMDraining, Wave: made.wave})
}

// take plans the drain of a VM that the ledger allows.
func (r *round) take(vm *structs.VMStatus, waveName, moveTo string) {
	r.ledger.Take(vm)
	r.p.proposed[vm.ID] = proposal{sequence: vm.Sequence, at: r.now, wave: waveName, moveTo: moveTo}
	r.transition(vm, structs.Transition{To: structs.VMDraining, Wave: waveName})
}

// takeable says that the VM may be considered for a planned drain.
func (r *round) takeable(vm *structs.VMStatus) bool {
	return r.usable(vm) && !r.changed[vm.ID] && r.p.tracker.Ready(vm.ID, r.now)
}
