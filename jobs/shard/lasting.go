package shard

import "fmt"

// SetCordons replaces the set of cordoned workers. No new work is placed on
// them and their lasting tasks are stopped within the steps' budgets. A true
// value stops their other tasks too. Lasting tasks also leave workers that the
// platform lists as draining.
func (c *Core) SetCordons(now int64, ids map[string]bool) {
	c.now = now
	for id, w := range c.workers {
		evict, cordon := ids[id]
		w.evicting = evict
		if w.cordoned != cordon {
			w.cordoned = cordon
			c.event(Event{Name: EventWorker, Worker: id, Outcome: "cordon", Detail: fmt.Sprintf("cordoned=%v runs=%d", w.cordoned, len(w.runs))})
		}
	}
}

// Drained reports whether a cordoned worker certainly runs nothing and all its
// ends are stored: once its VM is moved, nobody can ask it for them again.
func (c *Core) Drained(id string) bool {
	w := c.workers[id]
	return w != nil && w.cordoned && w.reached && w.failedPolls == 0 && len(w.runs) == 0 && len(w.strays) == 0 && w.seenEnd <= w.ackedEnd
}

// evacuate stops tasks on cordoned and draining workers. On cordoned workers,
// lasting tasks stop only as fast as the budget of their step allows and while
// another worker has capacity; other tasks stop only if the worker is being
// evicted.
func (c *Core) evacuate() {
	if c.now >= c.startsUntil || c.storeDown {
		return
	}
	for _, w := range c.sortedWorkers() {
		if !w.cordoned && !w.info.Draining || !w.reached || w.failedPolls > 0 {
			continue
		}
		if w.lastingRuns == 0 && !w.evicting {
			continue
		}
		for _, r := range sortedRuns(w) {
			if r.phase != phaseRunning {
				continue
			}
			lasting := r.step().Lasting
			if !lasting && !w.evicting {
				continue
			}
			if !lasting || w.info.Draining || c.withinBudget(r) && c.canMove(r) {
				c.stopRun(r, "evacuate")
			}
		}
	}
}

// canMove reports whether another worker has capacity for the run's task.
func (c *Core) canMove(r *run) bool {
	o := r.job.occurrences[r.key.Occurrence]
	return o != nil && c.chooseWorker(r.job, o, r.key.Step, r.task(), c.schedulableWorkers(r.job.service), "") != nil
}

// withinBudget reports whether the budget of the run's step allows it to be
// unavailable now.
func (c *Core) withinBudget(r *run) bool {
	o := r.job.occurrences[r.key.Occurrence]
	if o == nil {
		return true
	}
	unavailable := 0
	for t := range o.steps[r.key.Step].tasks {
		if t == r.key.Index {
			continue
		}
		other := o.steps[r.key.Step].tasks[t].current
		if other == nil || other.phase != phaseRunning || other.percent < 100 || other.worker.failedPolls > 0 {
			unavailable++
		}
	}
	return unavailable < max(r.step().MaxUnavailable, 1)
}
