package planner

import (
	"sort"
	"time"

	"wigeonwinch/fleet/budget"
	"wigeonwinch/fleet/moves"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// mover decides which pools exchange VMs.
type mover interface {
	Decide(pools []moves.Pool, now time.Time, out time.Duration) []moves.Shift
}

// planMoves drains VMs that are to change pool.
func (r *round) planMoves() {
	r.shifts = r.p.mover.Decide(r.movePools(), r.now, r.p.tracker.OutDuration())
	for _, shift := range r.shifts {
		r.takeForMove(shift)
	}
}

// movePools gathers what a decision about moves needs, sorted by name.
func (r *round) movePools() []moves.Pool {
	coming, slots := r.countComing()
	next, sure := r.p.estimator.Next()
	var pools []moves.Pool
	for _, name := range r.p.estimator.Pools() {
		declared, found := r.view.Pools[name]
		total := r.ledger.Total(name)
		if !found || total == 0 {
			continue
		}
		demand, _ := r.p.estimator.Of(name)
		pools = append(pools, moves.Pool{
			Name:     name,
			Spare:    declared.Spare,
			Serving:  r.ledger.Available(name),
			Coming:   coming[name],
			Slots:    float64(slots[name]) / float64(total),
			Lendable: r.ledger.Lendable(name),
			Demand:   demand,
			Next:     sure && name == next,
		})
	}
	return pools
}

// countComing counts, by pool, the VMs that will come into service soon, and
// the slots of all its VMs. A VM that drains for a move counts for the pool it
// will join.
func (r *round) countComing() (coming, slots map[string]int) {
	coming = make(map[string]int, len(r.view.Pools))
	slots = make(map[string]int, len(r.view.Pools))
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		slots[vm.Pool] += vm.Slots
		made, proposed := r.p.proposed[vm.ID]
		switch {
		case vm.Removed || r.cut[vm.Zone] || vm.State == structs.VMFailed:
		case proposed && made.sequence == vm.Sequence:
			coming[made.destination(vm.Pool)]++
		case vm.State != structs.VMActive:
			coming[r.destination(vm)]++
		}
	}
	return coming, slots
}

// destination is the pool that a VM drained by this proposal will serve.
func (m proposal) destination(own string) string {
	if m.moveTo != "" {
		return m.moveTo
	}
	return own
}

// destination is the pool that a VM out of service will serve.
func (r *round) destination(vm *structs.VMStatus) string {
	before := vm.State == structs.VMDraining || vm.State == structs.VMDrained
	if !before || vm.Wave != "" {
		return vm.Pool
	}
	bound, known := r.p.moving[vm.ID]
	if known && bound.covers(vm) {
		return bound.to
	}
	return vm.Pool
}

// moving is a VM on its way to another pool. The drain has the sequence after
// the proposal's, the drained VM the one after that.
type moving struct {
	to       string
	sequence uint64
	// triedAt is when the move was first proposed to the log, or zero.
	triedAt time.Time
}

func (m moving) covers(vm *structs.VMStatus) bool {
	return vm.Sequence == m.sequence+1 || vm.Sequence == m.sequence+2
}

// forgetMoves drops what is remembered of moves that are over.
func (r *round) forgetMoves() {
	for id, bound := range r.p.moving {
		vm, found := r.view.VMByID(id)
		if !found || vm.Sequence > bound.sequence+2 {
			delete(r.p.moving, id)
		}
	}
}

// takeForMove drains the VMs of one shift, from the zones in which the pool
// has most VMs.
func (r *round) takeForMove(shift moves.Shift) {
	var candidates []wave.Candidate
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if vm.Pool != shift.From || vm.Removed || !r.takeable(vm) {
			continue
		}
		candidate := wave.Candidate{VM: vm, Recalls: r.p.tracker.Recalls(vm.ID)}
		if seen := r.seen[vm.ID]; seen != nil {
			candidate.InProgress = seen.InProgress
		}
		candidates = append(candidates, candidate)
	}
	wave.Order(r.ledger, candidates)
	r.preferZones(candidates, shift.To)
	left := shift.Count
	for _, c := range candidates {
		if left == 0 || r.full() {
			return
		}
		if r.ledger.Check(c.VM) == budget.Allowed {
			r.p.moving[c.VM.ID] = moving{to: shift.To, sequence: c.VM.Sequence}
			r.take(c.VM, "", shift.To)
			left--
		}
	}
}

// preferZones puts the VMs first that stand where the receiving pool has
// fewest workers.
func (r *round) preferZones(candidates []wave.Candidate, to string) {
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i].VM.Zone, candidates[j].VM.Zone
		return r.ledger.InZone(to, a) < r.ledger.InZone(to, b)
	})
}

// moveDrained proposes the move of a drained VM and says whether it did. A
// move that the log refused is not proposed for ever.
func (r *round) moveDrained(vm *structs.VMStatus) bool {
	to := r.destination(vm)
	if to == vm.Pool {
		return false
	}
	bound := r.p.moving[vm.ID]
	if bound.triedAt.IsZero() {
		bound.triedAt = r.now
		r.p.moving[vm.ID] = bound
	}
	if r.now.Sub(bound.triedAt) > r.p.options.ProposalTime {
		delete(r.p.moving, vm.ID)
		return false
	}
	r.plan.Records = append(r.plan.Records, structs.Record{
		Key:    r.key(vm.ID, vm.Sequence, "move"),
		Writer: r.in.Writer,
		Move: &structs.Move{
			VM:         vm.ID,
			Sequence:   vm.Sequence,
			To:         to,
			LeaseScope: r.in.Scope,
			LeaseEpoch: r.in.Epoch,
		},
	})
	return true
}

// recallMoves calls back drains for moves that straggle, or whose purpose is
// not known because another planner began them.
func (r *round) recallMoves() {
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if vm.State != structs.VMDraining || vm.Wave != "" || !r.recallable(vm) {
			continue
		}
		if r.destination(vm) == vm.Pool || r.p.tracker.Straggling(vm.ID, r.now) {
			r.recall(vm)
		}
	}
}
