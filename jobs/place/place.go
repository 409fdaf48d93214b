// Package place rates the workers that have room for a task.
package place

// Candidate is what is known of one worker that could take the task.
type Candidate struct {
	FreeMilliCPU, NeedMilliCPU int
	// NearData says that the task runs at full speed there.
	NearData bool
	// Avoid says that the task's last run failed there, Failing that the
	// worker's last run of any task failed.
	Avoid, Failing bool
	// Lasting tasks go where others of their kind are already (HasLasting), so
	// that the other VMs stay free to move and to be maintained.
	Lasting, HasLasting bool
	// Filler says that the task takes only what others leave.
	Filler bool
	// Serving and Fillers count the tasks of each kind on the worker.
	Serving, Fillers int
	// MinTarget is the tail target of the task in ms; 0 if it serves nobody.
	MinTarget int
}

// Score orders candidates; each part decides only between equals so far.
type Score struct {
	faults   int
	disturbs int
	fit      int
}

// Better says whether s is to be preferred to o.
func (s Score) Better(o Score) bool {
	if s.faults != o.faults {
		return s.faults < o.faults
	}
	if s.disturbs != o.disturbs {
		return s.disturbs < o.disturbs
	}
	return s.fit < o.fit
}

// Rate returns the score of a candidate: sound workers near the data first,
// then those where fewest tasks disturb each other, then the tightest fit.
// Lasting tasks share the VMs that have some, the emptiest of them first.
func Rate(c Candidate) Score {
	s := Score{fit: c.FreeMilliCPU - c.NeedMilliCPU}
	if !c.NearData {
		s.faults++
	}
	if c.Avoid {
		s.faults += 4
	}
	if c.Failing {
		s.faults += 2
	}
	if c.Filler {
		s.disturbs = c.Serving*8 + c.Fillers
	} else if c.MinTarget > 0 {
		s.disturbs = c.Fillers * 8
	}
	if c.Lasting && !c.HasLasting {
		s.disturbs++
	}
	if c.Lasting && c.HasLasting {
		s.fit = -s.fit
	}
	return s
}
