package model

// refusesStart draws whether the worker refuses a start although it seems healthy.
func (k *worker) refusesStart() bool {
	w := k.world
	return w.opts.RefusedStartShare > 0 && w.faulty() && w.rng.Float64() < w.opts.RefusedStartShare
}

// waitingJobs counts the accepted jobs of which no worker has begun a task.
func (w *World) waitingJobs() int {
	n := 0
	for id, t := range w.groundTruth {
		if t.accepted && !t.begun && !t.cancelSent && !w.owner.core.JobStatus(id).State.Final() {
			n++
		}
	}
	return n
}

// checkWaiting checks that the owner leaves out no waiting job when it counts them. Only
// the first violation is kept.
func (w *World) checkWaiting() {
	if w.waitingMiscounted {
		return
	}
	if told, waiting := w.owner.core.WaitingJobs(Queue), w.waitingJobs(); told < waiting {
		w.waitingMiscounted = true
		w.addViolation("owner %d counts %d waiting jobs, but %d accepted jobs have not begun", w.owner.epoch, told, waiting)
	}
}
