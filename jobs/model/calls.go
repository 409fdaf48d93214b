package model

import "wigeonwinch/jobs/shard"

// callWorker delivers one order to a worker. do runs on the worker and returns
// the function that handles the answer; lost is called with the reason if there
// is no answer. anyLife tells whether a later incarnation may carry out a delayed order.
func (w *World) callWorker(o *owner, t shard.Target, anyLife bool, do func(k *worker) func(), lost func(shard.PollError)) {
	unanswered := func() { lost(shard.PollUnanswered) }
	k := w.findWorker(t)
	if k == nil {
		w.after(networkDelayMS, func() { lost(shard.PollRefused) })
		return
	}
	if o.isCutOff(k) {
		w.after(answerTimeoutMS, unanswered)
		return
	}
	if k.cut.holds(o, w.now) {
		k.cut.fail(w, lost)
		return
	}
	roll := w.rng.Float64()
	faulty := w.faulty()
	switch {
	case faulty && roll < w.opts.LostRequestShare:
		w.noteFault(w.now)
		w.after(answerTimeoutMS, unanswered)
	case faulty && roll < w.opts.LostRequestShare+w.opts.DelayedShare:
		w.noteFault(w.now)
		w.after(2_000+w.rng.Int64N(10_000), func() {
			if k.isTarget(t) && (anyLife || k.incarnation == t.Incarnation) {
				k.carryingOutLate = true
				do(k)
				k.carryingOutLate = false
			}
		})
		w.after(answerTimeoutMS, unanswered)
	case faulty && roll < w.opts.LostRequestShare+w.opts.DelayedShare+w.opts.LostAnswerShare:
		w.noteFault(w.now)
		w.after(networkDelayMS, func() {
			if k.isTarget(t) {
				do(k)
			}
		})
		w.after(answerTimeoutMS, unanswered)
	default:
		w.after(networkDelayMS, func() {
			switch {
			case !k.up:
				lost(shard.PollConnectionRejected)
				return
			case !k.isTarget(t):
				lost(shard.PollReplaced)
				return
			}
			answer := do(k)
			w.after(w.answerDelayMS(), answer)
		})
	}
}
