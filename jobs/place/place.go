// Package place scores the workers that have capacity for a task.
package place

// Candidate describes a worker that could run the task.
type Candidate struct {
	FreeMilliCPU, NeedMilliCPU int
	// DataLocal reports whether the task runs at full speed on the worker,
	// because the worker is near the task's data.
	DataLocal bool
	// FailedHere reports whether the task's last run failed on the worker,
	// WorkerFailing whether the worker's last run of any task failed.
	FailedHere, WorkerFailing bool
	// Lasting tasks are packed onto workers that already run lasting tasks
	// (HasLastingTasks), so that other VMs stay free for moves and
	// maintenance.
	Lasting, HasLastingTasks bool
	// Filler tasks use only CPU time that other tasks leave unused.
	Filler bool
	// ServingTasks and FillerTasks count the worker's tasks of each kind.
	ServingTasks, FillerTasks int
	// TailTargetMS is the tail latency target of the task; 0 if the task
	// serves no requests.
	TailTargetMS int
	// Isolated tasks may crash the worker: they go where they would take the
	// fewest Runs with them.
	Isolated bool
	Runs     int
}

// Score orders candidates. Its fields are compared in order; each decides only
// if the fields before it are equal. Lower is better.
type Score struct {
	penalty      int
	interference int
	leftover     int
}

// Better reports whether s is preferred to o.
func (s Score) Better(o Score) bool {
	if s.penalty != o.penalty {
		return s.penalty < o.penalty
	}
	if s.interference != o.interference {
		return s.interference < o.interference
	}
	return s.leftover < o.leftover
}

// runInterference weighs a run that an isolated task may take with it above all
// other interference.
const runInterference = 1_000

// ScoreCandidate returns the score of a candidate. It prefers healthy workers
// near the data, then workers on which tasks interfere least with each other,
// then the tightest fit. Lasting tasks share the workers that already have
// some, the emptiest of those first.
func ScoreCandidate(c Candidate) Score {
	s := Score{leftover: c.FreeMilliCPU - c.NeedMilliCPU}
	if !c.DataLocal {
		s.penalty++
	}
	if c.FailedHere {
		s.penalty += 4
	}
	if c.WorkerFailing {
		s.penalty += 2
	}
	if c.Filler {
		s.interference = c.ServingTasks*8 + c.FillerTasks
	} else if c.TailTargetMS > 0 {
		s.interference = c.FillerTasks * 8
	}
	if c.Isolated {
		s.interference += c.Runs * runInterference
	}
	if c.Lasting && !c.HasLastingTasks {
		s.interference++
	}
	if c.Lasting && c.HasLastingTasks {
		s.leftover = -s.leftover
	}
	return s
}
