package model

// The platform's bounds on cancelled jobs.
const (
	// maxStartAfterCancelMS is the time between a cancel and the last start of the
	// job's tasks.
	maxStartAfterCancelMS = 3_000
	// maxRunAfterCancelMS is the time without faults after which nothing of a
	// cancelled job runs.
	maxRunAfterCancelMS = maxStartAfterCancelMS + stopGraceMS
	// contactMS is the time after which the start of a run by a late order counts
	// like a cancel.
	contactMS = 3_000
)

// faulty reports whether faults are injected now.
func (w *World) faulty() bool {
	if w.now >= w.opts.FaultsUntilMS {
		return false
	}
	return w.opts.CalmMS == 0 || w.now%(w.opts.BurstMS+w.opts.CalmMS) < w.opts.BurstMS
}

// noteFault records a disruption that lasts until the given time.
func (w *World) noteFault(until int64) { w.lastFaultAt = max(w.lastFaultAt, until) }

// checkStartAfterCancel checks that a job's tasks are not started long after its
// cancel was acknowledged. Orders that were carried out late do not count.
func (w *World) checkStartAfterCancel(t *groundTruth, r *run) {
	if t.cancelledAt == 0 || w.now <= t.cancelledAt+maxStartAfterCancelMS {
		return
	}
	if r.startedLate != 0 {
		w.LateStartsAfterCancel++
		return
	}
	w.addViolation("task %+v started %d ms after its cancel", r.ref.Key, w.now-t.cancelledAt)
}

// checkCancelledRuns checks that the runs of cancelled jobs are stopped.
func (w *World) checkCancelledRuns() {
	for _, k := range w.workers {
		if !k.up {
			continue
		}
		for _, r := range k.running {
			w.checkCancelledRun(k, r)
		}
	}
}

func (w *World) checkCancelledRun(k *worker, r *run) {
	t := w.groundTruth[r.ref.Key.Job]
	if t.cancelledAt == 0 || r.reported {
		return
	}
	since := max(t.cancelledAt, w.lastFaultAt)
	if r.startedLate != 0 {
		since = max(since, r.startedLate+contactMS)
	}
	if w.now <= since+maxRunAfterCancelMS {
		return
	}
	r.reported = true
	w.addViolation("run %+v on %s runs on %d ms after its job's cancel and %d ms after the last fault", r.ref, k.id, w.now-t.cancelledAt, w.now-w.lastFaultAt)
}

// RunsOfCancelledJobs counts the runs of jobs whose cancel was acknowledged.
func (w *World) RunsOfCancelledJobs() int {
	n := 0
	for _, k := range w.workers {
		for _, r := range k.running {
			if k.up && w.groundTruth[r.ref.Key.Job].cancelledAt != 0 {
				n++
			}
		}
	}
	return n
}

// unlistWorker removes the entry of a random worker from the list of workers for
// some seconds, while the worker runs on.
func (w *World) unlistWorker() {
	k := w.workers[w.rng.IntN(len(w.workers))]
	k.unlistedUntil = w.now + 1_000 + w.rng.Int64N(5_000)
	w.noteFault(k.unlistedUntil + listIntervalMS)
}
