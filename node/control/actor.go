package control

import (
	"context"
	"time"

	"wigeonwinch/infra"
	"wigeonwinch/node/events"
)

// maxQueuedActions bounds the queue of actions.
const maxQueuedActions = 256

// actionRunner executes actions on workers one at a time. Before each action
// it checks again that this node holds the lease.
type actionRunner struct {
	loop  *Loop
	queue chan infra.Action
}

func newActionRunner(l *Loop) *actionRunner {
	return &actionRunner{loop: l, queue: make(chan infra.Action, maxQueuedActions)}
}

// enqueue adds an action to the queue. It drops the action when the queue is
// full; the planner requests it again in a later round.
func (a *actionRunner) enqueue(action infra.Action) {
	select {
	case a.queue <- action:
	default:
		a.loop.cfg.Events.Record(events.ActDropped, events.Fields{VM: action.VM, Detail: string(action.Kind)})
	}
}

func (a *actionRunner) run(ctx context.Context) {
	for {
		select {
		case action := <-a.queue:
			a.execute(ctx, action)
		case <-ctx.Done():
			return
		}
	}
}

func (a *actionRunner) execute(ctx context.Context, action infra.Action) {
	allowed := false
	a.loop.postAndWait(ctx, func() { allowed = a.loop.mayExecute(action, time.Now()) })
	if !allowed {
		a.loop.cfg.Events.Record(events.ActWithheld, events.Fields{VM: action.VM, Detail: string(action.Kind)})
		return
	}
	actCtx, cancel := context.WithTimeout(ctx, a.loop.cfg.Intervals.AppendTimeout)
	defer cancel()
	err := a.loop.cfg.Workers.Act(actCtx, action)
	fields := events.Fields{VM: action.VM, Detail: string(action.Kind), Err: err}
	switch {
	case err == nil:
		a.loop.cfg.Events.Record(events.ActDone, fields)
	case infra.KindOf(err) == infra.KindFenced:
		a.loop.cfg.Events.Record(events.ActFenced, fields)
		a.loop.post(ctx, func() { a.loop.planner.markFenced(action.Epoch) })
	default:
		a.loop.cfg.Events.Record(events.ActFailed, fields)
	}
}
