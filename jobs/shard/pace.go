package shard

// The parameters that pace filler tasks on workers that also run serving
// tasks.
const (
	// minPaceIntervalMS is the minimum time between two pace changes on one
	// worker: the delay of a pace order plus the half second over which
	// workers measure.
	minPaceIntervalMS = 700
	// paceIncreasePercent is the step by which the pace of fillers is raised
	// again.
	paceIncreasePercent = 20
	// minPacePercent is the pace at or below which fillers get pace 0 instead
	// of half their pace.
	minPacePercent = 10
	// paceIncreaseBelowPercent of the target is the tail latency below which
	// the pace of fillers is raised.
	paceIncreaseBelowPercent = 75
	fullPacePercent          = 100
	// sharedPollWaitMS is the poll wait for workers that run fillers beside
	// serving tasks: about the half second over which workers measure.
	sharedPollWaitMS = 600
)

// paceFillers slows the fillers on workers whose serving tasks exceed their
// tail latency targets, and speeds them up once the latencies are well below
// the targets.
func (c *Core) paceFillers() {
	for _, w := range c.sortedWorkers() {
		if w.servingRuns == 0 || w.fillerRuns == 0 || !w.reached || w.failedPolls > 0 || c.now-w.pacedAt < minPaceIntervalMS || w.listedAt <= w.pacedAt {
			continue
		}
		c.paceWorker(w)
	}
}

func (c *Core) paceWorker(w *worker) {
	worstTail, fillers := w.worstTailAndFillers()
	if worstTail == 0 || len(fillers) == 0 {
		return
	}
	for _, r := range fillers {
		percent := nextPacePercent(r.pacePercent, worstTail)
		if percent == r.pacePercent {
			continue
		}
		w.pacedAt = c.now
		c.orders.Paces = append(c.orders.Paces, Pace{c.target(w), RunRef{r.key, r.number}, percent})
	}
}

// worstTailAndFillers returns the worst tail latency of the worker's serving
// tasks in percent of its target, and the running fillers.
func (w *worker) worstTailAndFillers() (int, []*run) {
	worstTail := 0
	var fillers []*run
	for _, r := range sortedRuns(w) {
		if r.phase != phaseRunning {
			continue
		}
		st := r.step()
		if st.TailTargetMS > 0 {
			worstTail = max(worstTail, r.tailMS*100/st.TailTargetMS)
		}
		if st.Filler {
			fillers = append(fillers, r)
		}
	}
	return worstTail, fillers
}

func nextPacePercent(percent, worstTail int) int {
	switch {
	case worstTail > 100 && percent <= minPacePercent:
		return 0
	case worstTail > 100:
		return percent / 2
	case worstTail < paceIncreaseBelowPercent:
		return min(percent+paceIncreasePercent, fullPacePercent)
	default:
		return percent
	}
}

// HandlePaceResult applies the result of a pace order.
func (c *Core) HandlePaceResult(now int64, p Pace, accepted bool) {
	c.now = now
	w := c.workers[p.Worker]
	if w == nil {
		return
	}
	r := w.runs[runID{p.Key, p.Number}]
	if r == nil || !accepted {
		return
	}
	r.pacePercent = p.Percent
	c.event(Event{Name: EventPaced, Job: p.Key.Job, Run: p.RunRef, Worker: p.Worker, Outcome: "paced"})
}
