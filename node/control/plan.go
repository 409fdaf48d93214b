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

// plannerFacts is what the owner goroutine keeps about planning.
type plannerFacts struct {
	lease    leaseKeeper
	planner  *planner.Planner
	holding  bool
	nextPlan time.Time
	last     planner.Plan
}

func newPlannerFacts(cfg Config) plannerFacts {
	return plannerFacts{lease: newLeaseKeeper(cfg), planner: planner.New(cfg.Planner)}
}

// loseLease ends planning after the platform refused an act as fenced.
func (p *plannerFacts) loseLease(epoch structs.Epoch) { p.lease.fenced = epoch }

// planDue keeps the lease and plans a round when one is due.
func (l *Loop) planDue(ctx context.Context, now time.Time) {
	view := l.view.Load()
	if view == nil {
		return
	}
	l.noteHolding(now)
	if !l.mayPlan(view) {
		return
	}
	if rec, ok := l.leaseDue(view, now); ok {
		l.submit(rec)
	}
	if l.planner.holding && !now.Before(l.planner.nextPlan) {
		l.planner.nextPlan = now.Add(l.cfg.Intervals.Plan)
		l.planRound(view, now)
	}
}

// mayPlan says that this node is fit to plan: it reads the log, agrees with
// the other nodes' folds, is a member of its zone and does not leave.
func (l *Loop) mayPlan(view *structs.View) bool {
	if l.leaving || l.diverged || !l.readsLog() || view.Generation == 0 {
		return false
	}
	return l.isMember()
}

// readsLog says that this node knows the log's tail and that the log knows
// what this node has folded.
func (l *Loop) readsLog() bool {
	return !l.log.lost && !l.log.behind && l.ready.sawTail
}

func (l *Loop) noteHolding(now time.Time) {
	epoch, holding := l.leaseHeld(now)
	if holding == l.planner.holding {
		return
	}
	l.planner.holding = holding
	number := events.LeaseLost
	if holding {
		number = events.LeaseHeld
		l.planner.planner = planner.New(l.cfg.Planner)
		l.planner.nextPlan = now
	}
	l.cfg.Events.Record(number, events.Fields{Detail: fmt.Sprintf("%s epoch %d", l.cfg.Scope, epoch)})
}

// planRound makes one round of planning and hands its results on.
func (l *Loop) planRound(view *structs.View, now time.Time) {
	epoch, ok := l.leaseHeld(now)
	if !ok || !l.observed.complete(now, l.cfg.Intervals) {
		return
	}
	wall := l.cfg.Wall()
	plan := l.planner.planner.Round(planner.Input{
		View:     view,
		Now:      wall,
		Scope:    l.cfg.Scope,
		Epoch:    epoch,
		Writer:   l.cfg.Node,
		Observed: l.observations(view, wall),
		Demand:   l.observed.demand(view),
		CutZones: l.cutZones(view, now),
	})
	l.planner.last = plan
	for _, rec := range plan.Records {
		l.submit(rec)
	}
	for _, action := range plan.Actions {
		l.acts.add(infra.Action{
			Kind:     infra.ActionKind(action.Kind),
			VM:       action.VM,
			Sequence: action.Sequence,
			Scope:    action.Scope,
			Epoch:    action.Epoch,
			Image:    action.Image,
		})
	}
}

// mayAct checks again, right before an act, that the lease holds and that the
// act still belongs to the VM's present step.
func (l *Loop) mayAct(action infra.Action, now time.Time) bool {
	epoch, ok := l.leaseHeld(now)
	if !ok || epoch != action.Epoch || l.log.lost {
		return false
	}
	vm, found := l.fold.View().VMByID(action.VM)
	return found && vm.Sequence == action.Sequence
}

// acknowledgeDrains appends the acknowledgement of each draining VM of the
// zone that this node sends nothing more to.
func (l *Loop) acknowledgeDrains() {
	view := l.view.Load()
	if view == nil || l.cfg.Forward == nil {
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
		Key: fmt.Sprintf("drain/%s/%d/%s/%d/%d", vm.ID, vm.Sequence, l.cfg.Node, l.cfg.Incarnation, l.member.current),
		DrainAck: &structs.DrainAck{
			VM: vm.ID, Sequence: vm.Sequence, Node: l.cfg.Node, Incarnation: l.cfg.Incarnation,
		},
	}
	if l.acknowledged(vm) || !l.isMember() || l.appends.isWaiting(rec.Key) {
		return
	}
	if verdict, known := l.outcomes.get(rec.Key); known && verdict.Void != structs.VoidNotHolder {
		return
	}
	if l.cfg.Forward.Acknowledge(vm.ID, vm.Sequence) {
		l.submit(rec)
	}
}

// acknowledged says that this node's acknowledgement is in force. The fold
// forgets the acknowledgements of older runs.
func (l *Loop) acknowledged(vm *structs.VMStatus) bool {
	for _, node := range vm.Acks {
		if node == l.cfg.Node {
			return true
		}
	}
	return false
}

func (l *Loop) isMember() bool {
	for _, m := range l.member.entry.Members {
		if m.Node == l.cfg.Node && m.Incarnation == l.cfg.Incarnation {
			return true
		}
	}
	return false
}
