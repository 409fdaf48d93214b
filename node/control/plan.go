package control

import (
	"context"
	"fmt"
	"time"

	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/node/events"
)

// planningState is what the owner goroutine keeps for planning.
type planningState struct {
	lease      leaseState
	planner    *planner.Planner
	holdsLease bool
	nextPlan   time.Time
	lastPlan   planner.Plan
}

func newPlanningState(cfg Config) planningState {
	return planningState{lease: newLeaseState(cfg), planner: planner.New(cfg.Planner)}
}

// markFenced ends planning under a lease epoch after the platform refused an
// action of that epoch as fenced.
func (p *planningState) markFenced(epoch structs.Epoch) { p.lease.fencedEpoch = epoch }

// planIfDue acquires or renews the planner's lease and runs a planning round
// if one is due.
func (l *Loop) planIfDue(ctx context.Context, now time.Time) {
	view := l.view.Load()
	if view == nil {
		return
	}
	l.updateHolding(now)
	if !l.mayPlan(view) {
		return
	}
	if rec, ok := l.nextLeaseRecord(view, now); ok {
		l.submit(rec)
	}
	if l.planner.holdsLease && !now.Before(l.planner.nextPlan) {
		l.planner.nextPlan = now.Add(l.cfg.Intervals.Plan)
		l.planRound(view, now)
	}
}

// mayPlan reports whether this node may plan. It must be able to read the log,
// its state must not have diverged from another node's, and it must be a
// member of its zone that is not leaving.
func (l *Loop) mayPlan(view *structs.View) bool {
	if l.leaving || l.diverged || !l.logIsCurrent() || view.Generation == 0 {
		return false
	}
	return l.isMember()
}

// logIsCurrent reports whether this node has reached the log's tail, can read
// the log, and finds in it everything that its state includes.
func (l *Loop) logIsCurrent() bool {
	return !l.log.unreachable && !l.log.behind && l.ready.tailApplied
}

func (l *Loop) updateHolding(now time.Time) {
	epoch, holding := l.heldEpoch(now)
	if holding == l.planner.holdsLease {
		return
	}
	l.planner.holdsLease = holding
	event := events.LeaseLost
	if holding {
		event = events.LeaseHeld
		l.planner.planner = planner.New(l.cfg.Planner)
		l.planner.nextPlan = now
	}
	l.cfg.Events.Record(event, events.Fields{Detail: fmt.Sprintf("%s epoch %d", l.cfg.Scope, epoch)})
}

// planRound runs one planning round, appends the resulting records and queues
// the resulting actions.
func (l *Loop) planRound(view *structs.View, now time.Time) {
	epoch, ok := l.heldEpoch(now)
	if !ok || !l.observed.listUsable(now, l.cfg.Intervals) {
		return
	}
	wall := l.cfg.WallClock()
	plan := l.planner.planner.Round(planner.Input{
		View:             view,
		Now:              wall,
		Scope:            l.cfg.Scope,
		Epoch:            epoch,
		Writer:           l.cfg.Node,
		Observations:     l.planObservations(view, wall),
		Demand:           l.observed.poolDemand(view),
		UnreachableZones: l.unreachableZones(view, now),
	})
	l.planner.lastPlan = plan
	for _, rec := range plan.Records {
		l.submit(rec)
	}
	for _, action := range plan.Actions {
		l.actions.enqueue(infra.Action{
			Kind:     infra.ActionKind(action.Kind),
			VM:       action.VM,
			Sequence: action.Sequence,
			Scope:    action.Scope,
			Epoch:    action.Epoch,
			Image:    action.Image,
		})
	}
}

// mayExecute reports, right before an action is executed, whether this node
// still holds the lease under which the action was planned and whether the VM
// is still at the action's sequence number.
func (l *Loop) mayExecute(action infra.Action, now time.Time) bool {
	epoch, ok := l.heldEpoch(now)
	if !ok || epoch != action.Epoch || l.log.unreachable {
		return false
	}
	vm, found := l.state.View().VMByID(action.VM)
	return found && vm.Sequence == action.Sequence
}

// acknowledgeDrains appends an acknowledgement for each draining VM of the
// zone to which this node sends no more requests.
func (l *Loop) acknowledgeDrains() {
	view := l.view.Load()
	if view == nil || l.cfg.Drainer == nil {
		return
	}
	for i := range view.VMs {
		vm := &view.VMs[i]
		if vm.Zone != l.cfg.Zone || vm.State != structs.VMDraining {
			continue
		}
		l.acknowledgeDrain(vm)
	}
}

func (l *Loop) acknowledgeDrain(vm *structs.VMStatus) {
	rec := structs.Record{
		Key: fmt.Sprintf("drain/%s/%d/%s/%d/%d", vm.ID, vm.Sequence, l.cfg.Node, l.cfg.Incarnation, l.membership.currentEpoch),
		DrainAck: &structs.DrainAck{
			VM: vm.ID, Sequence: vm.Sequence, Node: l.cfg.Node, Incarnation: l.cfg.Incarnation,
		},
	}
	if l.hasAcknowledged(vm) || !l.isMember() || l.appends.isPending(rec.Key) {
		return
	}
	if verdict, known := l.verdicts.get(rec.Key); known && verdict.Void != structs.VoidNotHolder {
		return
	}
	if l.cfg.Drainer.CanAcknowledgeDrain(vm.ID, vm.Sequence) {
		l.submit(rec)
	}
}

// hasAcknowledged reports whether this node's acknowledgement is in force. The
// state drops the acknowledgements of earlier incarnations.
func (l *Loop) hasAcknowledged(vm *structs.VMStatus) bool {
	for _, node := range vm.Acks {
		if node == l.cfg.Node {
			return true
		}
	}
	return false
}

func (l *Loop) isMember() bool {
	for _, m := range l.membership.entry.Members {
		if m.Node == l.cfg.Node && m.Incarnation == l.cfg.Incarnation {
			return true
		}
	}
	return false
}
