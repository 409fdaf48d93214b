package planner

import (
	"sort"
	"time"

	"wigeonwinch/fleet/budget"
	"wigeonwinch/fleet/moves"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

// mover decides which pools exchange VMs, and how many.
type mover interface {
	Decide(pools []moves.Pool, now time.Time, downtime time.Duration) []moves.Shift
}

// planMoves drains VMs that are to move to another pool.
func (r *round) planMoves() {
	r.shifts = r.p.mover.Decide(r.poolsForMoves(), r.now, r.p.tracker.Downtime())
	for _, shift := range r.shifts {
		r.drainForMove(shift)
	}
}

// poolsForMoves returns the state of each pool that the mover needs, sorted by
// pool name.
func (r *round) poolsForMoves() []moves.Pool {
	incoming, slots := r.countIncoming()
	nextPool, predictable := r.p.estimator.NextBurst()
	var pools []moves.Pool
	for _, name := range r.p.estimator.Pools() {
		declared, found := r.view.Pools[name]
		total := r.ledger.Total(name)
		if !found || total == 0 {
			continue
		}
		demand, _ := r.p.estimator.Estimate(name)
		pools = append(pools, moves.Pool{
			Name:          name,
			Spare:         declared.Spare,
			Serving:       r.ledger.Available(name),
			Incoming:      incoming[name],
			Slots:         float64(slots[name]) / float64(total),
			Removable:     r.ledger.Removable(name),
			Demand:        demand,
			BurstExpected: predictable && name == nextPool,
		})
	}
	return pools
}

// countIncoming returns, by pool, the number of VMs expected to enter service
// soon and the total slots of all its VMs. A VM drained for a move counts as
// incoming for its destination pool.
func (r *round) countIncoming() (incoming, slots map[string]int) {
	incoming = make(map[string]int, len(r.view.Pools))
	slots = make(map[string]int, len(r.view.Pools))
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		slots[vm.Pool] += vm.Slots
		proposal, proposed := r.p.proposedDrains[vm.ID]
		switch {
		case vm.Removed || r.unreachableZones[vm.Zone] || vm.State == structs.VMFailed:
		case proposed && proposal.sequence == vm.Sequence:
			incoming[proposal.destination(vm.Pool)]++
		case vm.State != structs.VMActive:
			incoming[r.destination(vm)]++
		}
	}
	return incoming, slots
}

// destination returns the pool that the VM will serve after the proposed
// drain.
func (m drainProposal) destination(currentPool string) string {
	if m.moveTo != "" {
		return m.moveTo
	}
	return currentPool
}

// destination returns the pool that a VM out of service will serve.
func (r *round) destination(vm *structs.VMStatus) string {
	beforeReboot := vm.State == structs.VMDraining || vm.State == structs.VMDrained
	if !beforeReboot || vm.Wave != "" {
		return vm.Pool
	}
	move, known := r.p.plannedMoves[vm.ID]
	if known && move.matches(vm) {
		return move.to
	}
	return vm.Pool
}

// plannedMove is the planned move of a VM to another pool. sequence is the
// VM's sequence number when the drain was proposed; the draining VM has the
// next number, and the drained VM the one after that.
type plannedMove struct {
	to       string
	sequence uint64
	// firstProposedAt is when the move record was first proposed to the log,
	// or zero.
	firstProposedAt time.Time
}

func (m plannedMove) matches(vm *structs.VMStatus) bool {
	return vm.Sequence == m.sequence+1 || vm.Sequence == m.sequence+2
}

// pruneMoves deletes the planned moves that are complete or whose VM no longer
// exists.
func (r *round) pruneMoves() {
	for id, move := range r.p.plannedMoves {
		vm, found := r.view.VMByID(id)
		if !found || vm.Sequence > move.sequence+2 {
			delete(r.p.plannedMoves, id)
		}
	}
}

// drainForMove drains the VMs of one shift. It prefers zones in which the
// destination pool has the fewest workers, then zones in which the source pool
// has the most VMs.
func (r *round) drainForMove(shift moves.Shift) {
	var candidates []wave.Candidate
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if vm.Pool != shift.From || vm.Removed || !r.drainable(vm) {
			continue
		}
		candidate := wave.Candidate{VM: vm, CanceledDrains: r.p.tracker.CanceledDrains(vm.ID)}
		if observation := r.observations[vm.ID]; observation != nil {
			candidate.InProgress = observation.InProgress
		}
		candidates = append(candidates, candidate)
	}
	wave.Order(r.ledger, candidates)
	r.preferSparseZones(candidates, shift.To)
	remaining := shift.Count
	for _, c := range candidates {
		if remaining == 0 || r.full() {
			return
		}
		if r.ledger.Check(c.VM) == budget.Allowed {
			r.p.plannedMoves[c.VM.ID] = plannedMove{to: shift.To, sequence: c.VM.Sequence}
			r.planDrain(c.VM, "", shift.To)
			remaining--
		}
	}
}

// preferSparseZones sorts the VMs in zones where the destination pool has the
// fewest workers to the front.
func (r *round) preferSparseZones(candidates []wave.Candidate, to string) {
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i].VM.Zone, candidates[j].VM.Zone
		return r.ledger.AvailableInZone(to, a) < r.ledger.AvailableInZone(to, b)
	})
}

// proposeMove proposes the move of a drained VM and reports whether it did. It
// gives up after the proposal timeout, so that a move refused by the log is
// not proposed forever.
func (r *round) proposeMove(vm *structs.VMStatus) bool {
	to := r.destination(vm)
	if to == vm.Pool {
		return false
	}
	move := r.p.plannedMoves[vm.ID]
	if move.firstProposedAt.IsZero() {
		move.firstProposedAt = r.now
		r.p.plannedMoves[vm.ID] = move
	}
	if r.now.Sub(move.firstProposedAt) > r.p.options.ProposalTimeout {
		delete(r.p.plannedMoves, vm.ID)
		return false
	}
	r.plan.Records = append(r.plan.Records, structs.Record{
		Key:    r.recordKey(vm.ID, vm.Sequence, "move"),
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

// cancelMoveDrains cancels drains for moves that take too long, and drains
// whose purpose is unknown because another planner started them.
func (r *round) cancelMoveDrains() {
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if vm.State != structs.VMDraining || vm.Wave != "" || !r.drainCancelable(vm) {
			continue
		}
		if r.destination(vm) == vm.Pool || r.p.tracker.Straggling(vm.ID, r.now) {
			r.cancelDrain(vm)
		}
	}
}
