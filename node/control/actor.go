package control

import (
	"context"
	"time"

	"wigeonwinch/infra"
	"wigeonwinch/node/events"
)

// maxActs bounds the acts that wait to be carried out.
const maxActs = 256

// actor carries out acts on workers, one at a time. Before each it checks
// again that the lease holds.
type actor struct {
	loop  *Loop
	queue chan infra.Action
}

func newActor(l *Loop) *actor {
	return &actor{loop: l, queue: make(chan infra.Action, maxActs)}
}

// add queues an act. A full queue drops it: the planner asks again.
func (a *actor) add(action infra.Action) {
	select {
	case a.queue <- action:
	default:
		a.loop.cfg.Events.Record(events.ActDropped, events.Fields{VM: action.VM, Detail: string(action.Kind)})
	}
}

func (a *actor) run(ctx context.Context) {
	for {
		select {
		case action := <-a.queue:
			a.act(ctx, action)
		case <-ctx.Done():
			return
		}
	}
}

func (a *actor) act(ctx context.Context, action infra.Action) {
	allowed := false
	a.loop.ask(ctx, func() { allowed = a.loop.mayAct(action, time.Now()) })
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
		a.loop.post(ctx, func() { a.loop.planner.loseLease(action.Epoch) })
	default:
		a.loop.cfg.Events.Record(events.ActFailed, fields)
	}
}
