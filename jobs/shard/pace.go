package shard

// The bounds of pacing filler tasks beside serving ones.
const (
	// paceGapMS is the least time between two paces of one worker: a pace's
	// delay and the half second over which workers measure.
	paceGapMS = 700
	// paceStep is the share in percent by which fillers are sped up again.
	paceStep = 20
	// paceFloor is the share below which fillers are stopped altogether.
	paceFloor = 10
	// paceEasePercent of the target is where fillers are sped up again.
	paceEasePercent = 75
	fullShare       = 100
	// sharedPollWaitMS is the poll's wait where fillers run beside serving
	// tasks: about the half second over which workers measure.
	sharedPollWaitMS = 600
)

// pace slows the fillers on workers whose serving tasks are over their tail
// targets, and speeds them up again once those are well below.
func (c *Core) pace() {
	for _, w := range c.sortedWorkers() {
		if w.serving == 0 || w.fillers == 0 || !w.reached || w.failedPolls > 0 || c.now-w.pacedAt < paceGapMS || w.listedAt <= w.pacedAt {
			continue
		}
		c.paceWorker(w)
	}
}

func (c *Core) paceWorker(w *worker) {
	worst, fillers := w.sharing()
	if worst == 0 || len(fillers) == 0 {
		return
	}
	for _, r := range fillers {
		share := nextShare(r.share, worst)
		if share == r.share {
			continue
		}
		w.pacedAt = c.now
		c.out.Paces = append(c.out.Paces, Pace{c.target(w), RunRef{r.key, r.number}, share})
	}
}

// sharing returns the worst tail of the worker's serving tasks in percent of
// its target, and the running fillers.
func (w *worker) sharing() (int, []*run) {
	worst := 0
	var fillers []*run
	for _, r := range sortedRuns(w) {
		if r.phase != running {
			continue
		}
		st := r.step()
		if st.TailTargetMS > 0 {
			worst = max(worst, r.tailMS*100/st.TailTargetMS)
		}
		if st.Filler {
			fillers = append(fillers, r)
		}
	}
	return worst, fillers
}

func nextShare(share, worst int) int {
	switch {
	case worst > 100 && share <= paceFloor:
		return 0
	case worst > 100:
		return share / 2
	case worst < paceEasePercent:
		return min(share+paceStep, fullShare)
	default:
		return share
	}
}

// Paced hands in the outcome of a pace order.
func (c *Core) Paced(now int64, p Pace, taken bool) {
	c.now = now
	w := c.workers[p.Worker]
	if w == nil {
		return
	}
	r := w.runs[runID{p.Key, p.Number}]
	if r == nil || !taken {
		return
	}
	r.share = p.Percent
	c.event(Event{Name: EventPaced, Job: p.Key.Job, Run: p.RunRef, Worker: p.Worker, Outcome: "paced"})
}
