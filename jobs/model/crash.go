package model

import (
	"slices"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// crashWorker stops a random worker, which restarts later as a new
// incarnation.
func (w *World) crashWorker() {
	k := w.workers[w.rng.IntN(len(w.workers))]
	k.crash()
}

// crash ends the worker's process. Its host stays up: connections are closed,
// and new ones rejected until the worker is back.
func (k *worker) crash() {
	if !k.up {
		return
	}
	k.up = false
	k.world.noteFault(k.world.now)
	for key := range k.running {
		k.world.groundTruth[key.Job].lost[key]++
	}
	for _, e := range k.ended {
		if e.End > k.reportedEnd {
			k.world.groundTruth[e.Key.Job].lost[e.Key]++
		}
	}
	k.loseRuns()
	polls := k.waitingPolls
	k.waitingPolls = nil
	for _, p := range polls {
		p.fail()
	}
	k.world.after(minRestartMS+k.world.rng.Int64N(8_000), k.boot)
}

// loseRuns ends the runs of a worker whose process has ended.
func (k *worker) loseRuns() {
	lost := k.sortedRuns()
	k.running = map[shard.Key]*run{}
	for _, r := range lost {
		k.world.breakGang(r, shard.EndBroken)
	}
}

// darkMS is how long a worker that loses its power is dark.
const darkMS = 400

// restartDark cuts the power of a random worker for a moment. Its connections stay
// open and silent; later ones reach its next incarnation.
func (w *World) restartDark() {
	k := w.workers[w.rng.IntN(len(w.workers))]
	if !k.up {
		return
	}
	k.up = false
	w.noteFault(w.now + darkMS + listIntervalMS)
	k.loseRuns()
	polls := k.waitingPolls
	k.waitingPolls = nil
	for _, p := range polls {
		p.silence()
	}
	w.after(darkMS, k.boot)
}

// delayPoll holds a poll back (long poll) unless the worker crashes meanwhile.
func (w *World) delayPoll(o *owner, k *worker, p shard.Poll, sent int64) {
	wait := &waitingPoll{}
	wait.fail = func() {
		wait.settled = true
		w.after(networkDelayMS, func() {
			if !o.stopped {
				o.core.HandlePollError(w.now, sent, p.Target, shard.PollConnectionClosed)
			}
		})
	}
	wait.silence = func() {
		wait.settled = true
		w.after(p.WaitMS+pollMarginMS, func() {
			if !o.stopped {
				o.core.HandlePollError(w.now, sent, p.Target, shard.PollUnanswered)
			}
		})
	}
	wait.answer = func() {
		wait.settled = true
		w.deliverPoll(o, p, sent)
	}
	k.waitingPolls = append(k.waitingPolls, wait)
	hold := p.WaitMS
	if !w.opts.LongPolls {
		hold = min(hold, longPollMS)
	}
	w.after(hold, func() {
		if wait.settled {
			return
		}
		k.waitingPolls = slices.DeleteFunc(k.waitingPolls, func(other *waitingPoll) bool { return other == wait })
		wait.answer()
	})
}

// scheduleCrash lets a run crash its worker.
func (k *worker) scheduleCrash(t *groundTruth, r *run) {
	w := k.world
	w.after(max(w.opts.DeadlyAfterMS, 1), func() {
		if k.up && k.running[r.ref.Key] == r {
			t.crashes[r.ref.Key]++
			k.crash()
		}
	})
}

// maxStartsAfterCrashes is how often a task may be started after it has crashed
// crashesUntilLimit workers.
const (
	crashesUntilLimit     = 3
	maxStartsAfterCrashes = 2
)

// checkCrashes checks the bound on the starts of a task that crashes its
// workers.
func (w *World) checkCrashes(t *groundTruth, key shard.Key) {
	if t.crashes[key] < crashesUntilLimit {
		return
	}
	t.startsAfterCrashes[key]++
	if t.startsAfterCrashes[key] > maxStartsAfterCrashes {
		w.addViolation("task %+v started %d times after %d workers had crashed under it", key, t.startsAfterCrashes[key], crashesUntilLimit)
	}
}

// resizeWorker gives a random worker another capacity: a part of its full one,
// or all of it.
func (w *World) resizeWorker() {
	k := w.workers[w.rng.IntN(len(w.workers))]
	percent := 40 + 20*w.rng.IntN(4)
	k.capacity = spec.Resources{MilliCPU: w.opts.MilliCPU * percent / 100, MemoryMB: w.opts.MemoryMB * percent / 100}
	k.room = spec.Resources{MilliCPU: max(k.room.MilliCPU, k.capacity.MilliCPU), MemoryMB: max(k.room.MemoryMB, k.capacity.MemoryMB)}
	now := k.capacity
	w.after(resizeNoticeMS, func() {
		if k.capacity == now {
			k.room = now
		}
	})
}

// resizeNoticeMS is how long after it has shrunk a worker's room counts: two
// intervals of the list of workers.
const resizeNoticeMS = 1_000

// waitingPoll is a poll whose answer the worker delays.
type waitingPoll struct {
	settled bool
	// answer ends the poll with the worker's lists, fail with a closed connection, silence
	// with a time-out.
	answer, fail, silence func()
}
