package model

import "wigeonwinch/jobs/shard"

// checkStart checks the invariants of a start.
func (k *worker) checkStart(s shard.Start, t *groundTruth, r *run) {
	w := k.world
	used := r.need
	for _, other := range k.running {
		used = used.Add(other.need)
	}
	if !used.Fits(k.room) {
		w.addViolation("worker %s exceeds its capacity %+v: %+v", k.id, k.room, used)
	}
	w.checkCap(t.job.Customer, r.need)
	w.checkCrashes(t, s.Key)
	for _, other := range w.workers {
		if other.up && other.running[s.Key] != nil {
			w.addViolation("task %+v runs concurrently on %s and %s", s.Key, other.id, k.id)
		}
	}
	if t.acked[s.Key] {
		w.addViolation("task %+v started after its end was acknowledged", s.Key)
	}
	if t.ackedFailures[s.Key] >= w.opts.MaxAttempts {
		w.addViolation("task %+v started after %d failures", s.Key, t.ackedFailures[s.Key])
	}
	for _, d := range t.job.Steps[s.Key.Step].After {
		for i := range t.job.Steps[d].Count {
			if !t.done[shard.Key{Job: s.Key.Job, Occurrence: s.Key.Occurrence, Step: d, Index: i}] {
				w.addViolation("task %+v started before step %d was done", s.Key, d)
				return
			}
		}
	}
	w.checkStartAfterCancel(t, r)
}

// startFailures are the outcomes of starts without an answer.
var startFailures = map[shard.PollError]shard.StartOutcome{
	shard.PollUnanswered: shard.StartUnanswered, shard.PollConnectionRejected: shard.StartNotSent,
	shard.PollReplaced: shard.StartReplaced, shard.PollRefused: shard.StartNotSent,
}
