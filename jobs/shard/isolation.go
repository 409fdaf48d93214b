package shard

import (
	"cmp"
	"slices"

	"wigeonwinch/jobs/suspect"
)

const (
	// isolationPatienceMS is how long a task waits for a worker on which it may
	// run as isolated as it should; after that it runs less isolated.
	isolationPatienceMS = 6_000
	// maxHeldShare is the share of a pool's workers that may be emptied for tasks
	// that must run alone; one worker always may.
	maxHeldShare = 0.25
	// maxProbationShare is the share of a pool's workers that may be on probation
	// while other tasks wait; one worker always may.
	maxProbationShare = 0.5
)

// isolation returns how a task's next run is isolated. The members of a gang need
// a worker each at the same time, so they do not wait for empty ones.
func (c *Core) isolation(tk *task, gang bool) suspect.Isolation {
	i := tk.history.Isolation()
	if gang {
		i = min(i, suspect.Separate)
	}
	if c.now-tk.suspectedAt <= isolationPatienceMS {
		return i
	}
	if gang {
		return suspect.Unrestricted
	}
	return min(i, suspect.Separate)
}

// waitsForIsolation records that a task that found no worker is a suspect, and
// reports whether it is.
func (c *Core) waitsForIsolation(j *job, tk *task) bool {
	i := c.isolation(tk, false)
	if i == suspect.Unrestricted {
		return false
	}
	p := c.ensurePool(j.service)
	p.isolationWaiting++
	if i == suspect.Alone {
		p.aloneWaiting++
	}
	return true
}

// admits reports whether a task with the given isolation may be placed on the
// worker beside what is there.
func (w *worker) admits(i suspect.Isolation, now int64) bool {
	switch {
	case w.probation != nil:
		return false
	case i == suspect.Alone:
		return !w.hasYoungRuns(now)
	}
	return !w.held
}

// hasYoungRuns reports whether a run on the worker has not proved harmless.
func (w *worker) hasYoungRuns(now int64) bool {
	for _, r := range w.runs {
		if !r.harmless(now) {
			return true
		}
	}
	return false
}

// harmless reports whether the run has proved that its task does not crash workers.
func (r *run) harmless(now int64) bool {
	return r.phase == phaseRunning && r.ageMS(now) >= suspect.HarmlessAfterMS
}

// beginProbation keeps other starts off the run's worker until the run has
// proved harmless.
func (c *Core) beginProbation(r *run, i suspect.Isolation) {
	if i == suspect.Unrestricted {
		return
	}
	r.probationMS = suspect.ProbationMS(i)
	r.worker.probation = r
	r.worker.held = false
	c.ensurePool(r.job.service).probations++
}

// endProbations lifts the probation of the runs that have survived it. A crash
// closes the connection of the poll in flight, so that it is known at once.
func (c *Core) endProbations(p *pool, workers []*worker) {
	p.probations = 0
	for _, w := range workers {
		r := w.probation
		if r == nil {
			continue
		}
		if r.phase == phaseRunning && w.contactLostAt == 0 && r.ageMS(c.now) >= r.probationMS {
			w.probation = nil
			continue
		}
		p.probations++
	}
	p.maxProbations = len(workers)
	if p.crowded {
		p.maxProbations = max(1, int(maxProbationShare*float64(len(workers))))
	}
	p.crowded = false
}

// holdWorkers keeps starts off as many workers as needed by the tasks that wait
// for an empty one, those with the fewest runs.
func (c *Core) holdWorkers(p *pool, workers []*worker) {
	want := min(p.aloneWaiting, max(1, int(maxHeldShare*float64(len(workers)))))
	p.aloneWaiting, p.isolationWaiting = 0, 0
	if want == 0 && !p.holding {
		return
	}
	p.holding = want > 0
	candidates := slices.Clone(workers)
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		if a.held != b.held {
			if a.held {
				return -1
			}
			return 1
		}
		return cmp.Compare(len(a.runs), len(b.runs))
	})
	for i, w := range candidates {
		w.held = i < want
	}
}
