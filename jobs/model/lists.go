package model

import "wigeonwinch/jobs/shard"

const (
	// oldListMS is how old a list of workers is that is not the current one.
	oldListMS       = 3_000
	maxSlowCommitMS = 1_500
	maxSlowAnswerMS = 500
)

// listAt is the list of workers at a time.
type listAt struct {
	at   int64
	list []shard.Worker
}

// readList returns the list of workers that a read brings.
func (w *World) readList() []shard.Worker {
	var list []shard.Worker
	for _, k := range w.workers {
		if k.up && w.now >= k.unlistedUntil && !k.cut.hidesEntry(w.now) {
			list = append(list, k.listEntry())
		}
	}
	if w.opts.StaleListShare == 0 {
		return list
	}
	w.lists = append(w.lists, listAt{w.now, list})
	for len(w.lists) > 1 && w.lists[1].at <= w.now-oldListMS {
		w.lists = w.lists[1:]
	}
	if w.faulty() && w.draw(w.opts.StaleListShare) {
		return w.lists[0].list
	}
	return list
}

// commitDelayMS returns how long the answer to an append takes.
func (w *World) commitDelayMS() int64 {
	if w.faulty() && w.draw(w.opts.SlowCommitShare) {
		return networkDelayMS + w.rng.Int64N(maxSlowCommitMS)
	}
	return networkDelayMS
}

// answerDelayMS returns how long the answer of a worker takes.
func (w *World) answerDelayMS() int64 {
	if w.faulty() && w.draw(w.opts.SlowAnswerShare) {
		return networkDelayMS + w.rng.Int64N(maxSlowAnswerMS)
	}
	return networkDelayMS
}
