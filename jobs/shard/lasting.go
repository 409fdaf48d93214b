package shard

import "fmt"

// Cordon tells the core which of its workers are to be emptied: no new work is
// placed on them and lasting tasks leave within their budgets. A true value
// stops other tasks too. Workers that drain by themselves are emptied as well.
func (c *Core) Cordon(now int64, ids map[string]bool) {
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

// Empty says whether a cordoned worker certainly runs nothing.
func (c *Core) Empty(id string) bool {
	w := c.workers[id]
	return w != nil && w.cordoned && w.reached && w.failedPolls == 0 && len(w.runs) == 0 && len(w.strays) == 0
}

// evacuate stops lasting tasks on workers that are to be emptied, as many at
// a time as their step's budget allows.
func (c *Core) evacuate() {
	if c.now >= c.startsUntil || c.storeDown {
		return
	}
	for _, w := range c.sortedWorkers() {
		if !w.cordoned && !w.info.Draining || !w.reached || w.failedPolls > 0 {
			continue
		}
		if w.lasting == 0 && !w.evicting {
			continue
		}
		for _, r := range sortedRuns(w) {
			if r.phase != running {
				continue
			}
			lasting := r.step().Lasting
			if !lasting && !w.evicting {
				continue
			}
			if !lasting || w.info.Draining || c.mayStop(r) && c.hasOther(r) {
				c.stop(r, "evacuate")
			}
		}
	}
}

// hasOther says whether another worker has room for the run's task.
func (c *Core) hasOther(r *run) bool {
	o := r.job.occurrences[r.key.Occurrence]
	return o != nil && c.choose(r.job, o, r.key.Step, r.task(), c.openWorkers(r.job.service), "") != nil
}

// mayStop says whether the budget of the run's step lets it be away now.
func (c *Core) mayStop(r *run) bool {
	o := r.job.occurrences[r.key.Occurrence]
	if o == nil {
		return true
	}
	away := 0
	for t := range o.steps[r.key.Step].tasks {
		if t == r.key.Index {
			continue
		}
		other := o.steps[r.key.Step].tasks[t].current
		if other == nil || other.phase != running || other.percent < 100 || other.on.failedPolls > 0 {
			away++
		}
	}
	return away < max(r.step().MayMiss, 1)
}
