// Package suspect finds the tasks that crash the workers that start them. It
// decides who is suspected after a crash, how suspects are kept apart from
// other tasks until they have proved harmless, and when a task is given up.
//
// A crash says which runs were on the worker, not which of them caused it. A
// task that crashes workers does so soon after its start, so the runs started
// last are suspected first. A task is given up only after repeated crashes of
// which the last one has no other explanation, and enough of these losses
// must be certain: a worker that is cut off looks like one that has crashed, until
// it answers again or a later life of it is known.
package suspect

// The bounds of an assessment.
const (
	// HarmlessAfterMS is the age at which a run has proved that its task does
	// not crash the workers that start it.
	HarmlessAfterMS = 10_000
	// immediateMS and promptMS are the ages up to which a crash counts as
	// immediate or prompt.
	immediateMS = 100
	promptMS    = 500
	// cohortMS is added to twice the age of the youngest run: the spread of the
	// starts of one placement pass. If the youngest run is older than
	// maxYoungestMS, no start explains the crash.
	cohortMS      = 100
	maxYoungestMS = 500
	// A task is given up after maxImmediate or maxPrompt crashes of these kinds,
	// the last one beside no other young run, and after maxCrashes if minCertain of
	// them are beyond doubt. The platform allows two more starts after the third
	// crash, and to give a task up after the second one.
	maxImmediate, maxPrompt, maxCrashes, minCertain = 3, 4, 5, 2
	// separateProbationMS and aloneProbationMS are how long a run has to survive
	// until other tasks may be started beside it.
	separateProbationMS = 250
	aloneProbationMS    = 1_000
)

// History is a task's part in crashes of workers.
type History struct {
	// Crashes counts the workers that crashed, or were lost without a witness,
	// soon after they were told to start the task.
	Crashes int
	// Prompt counts those that certainly crashed within promptMS, Suspicions those
	// on which the task was among the last ones started, and Immediate those of
	// the latter that crashed within immediateMS.
	Prompt, Suspicions, Immediate int
}

// afterCrash returns the history after one more crash. suspected reports whether
// the task was among the last ones started.
func (h History) afterCrash(ageMS int64, certain, suspected bool) History {
	h.Crashes++
	if certain && ageMS <= promptMS {
		h.Prompt++
	}
	if suspected {
		h.Suspicions++
		if ageMS <= immediateMS {
			h.Immediate++
		}
	}
	return h
}

// Without returns the history without a part of it.
func (h History) Without(part History) History {
	return History{
		Crashes: max(h.Crashes-part.Crashes, 0), Prompt: max(h.Prompt-part.Prompt, 0),
		Suspicions: max(h.Suspicions-part.Suspicions, 0), Immediate: max(h.Immediate-part.Immediate, 0),
	}
}

// With returns the history with another part.
func (h History) With(part History) History {
	return History{
		Crashes: h.Crashes + part.Crashes, Prompt: h.Prompt + part.Prompt,
		Suspicions: h.Suspicions + part.Suspicions, Immediate: h.Immediate + part.Immediate,
	}
}

// Isolation is how far a task is kept apart from others.
type Isolation int

// The degrees of isolation.
const (
	// Unrestricted tasks run anywhere.
	Unrestricted Isolation = iota
	// Separate tasks run on workers without another suspect. Nothing else is
	// started there during their probation.
	Separate
	// Alone tasks run on workers without other young runs.
	Alone
)

// Isolation returns how the task's next run is isolated.
func (h History) Isolation() Isolation {
	switch {
	case h.Suspicions >= maxImmediate-1, h.Prompt >= maxPrompt-1, h.Crashes >= maxCrashes-1:
		return Alone
	case h.Suspicions > 0, h.Crashes > 1:
		return Separate
	}
	return Unrestricted
}

// ProbationMS returns how long a run with the given isolation has to survive
// until other tasks may be started beside it.
func ProbationMS(i Isolation) int64 {
	switch i {
	case Separate:
		return separateProbationMS
	case Alone:
		return aloneProbationMS
	}
	return 0
}

// Run is one run that was on a worker when the worker was lost.
type Run struct {
	History History
	// Unproved is the part of the history that comes from losses that are not certain.
	Unproved History
	// AgeMS is the time from its start order to the loss of the worker.
	AgeMS int64
}

// Loss is the loss of a worker and its runs.
type Loss struct {
	// Crashed reports whether the worker was seen to end, by a closed connection. Else
	// nobody saw how it was lost, and the ages of its runs are not known.
	Crashed bool
	// Refutable reports whether the worker may still turn out to be alive, because no
	// later life of it is known.
	Refutable bool
	Runs      []Run
}

// Verdict is what follows from a loss for one run's task.
type Verdict struct {
	History History
	// Alone reports whether the worker crashed beside no other young run.
	Alone  bool
	GiveUp bool
}

// Assess returns a verdict for each run of a loss, in the order of the runs.
func Assess(l Loss) []Verdict {
	threshold := l.cohortThreshold()
	explained, young := false, 0
	for _, r := range l.Runs {
		explained = explained || r.AgeMS <= threshold && r.History.Suspicions > 0
		if r.AgeMS < HarmlessAfterMS {
			young++
		}
	}
	verdicts := make([]Verdict, len(l.Runs))
	for i, r := range l.Runs {
		v := Verdict{History: r.History, Alone: l.Crashed && young == 1}
		switch {
		case r.AgeMS >= HarmlessAfterMS:
			v.History = History{}
		case r.AgeMS <= threshold:
			v.History = r.History.afterCrash(r.AgeMS, true, true)
		case !explained:
			v.History = r.History.afterCrash(r.AgeMS, l.Crashed, false)
		}
		if added := v.History.Without(r.History); added.Crashes > 0 {
			unproved := r.Unproved
			if l.Refutable {
				unproved = unproved.With(added)
			}
			v.GiveUp = v.History.GivenUp(unproved, v.Alone && !l.Refutable)
		}
		verdicts[i] = v
	}
	return verdicts
}

// GivenUp reports whether a task is given up after a crash. unproved is the part of its
// history that comes from losses that are not certain, alone reports whether the worker certainly crashed beside no
// other young run.
func (h History) GivenUp(unproved History, alone bool) bool {
	certain := h.Without(unproved)
	if h.Crashes >= maxCrashes && certain.Crashes >= minCertain {
		return true
	}
	return alone && (certain.Immediate >= maxImmediate || certain.Prompt >= maxPrompt)
}

// cohortThreshold returns the age up to which runs count as the ones started
// last; -1 if no start explains the loss.
func (l Loss) cohortThreshold() int64 {
	youngest := int64(HarmlessAfterMS)
	for _, r := range l.Runs {
		youngest = min(youngest, r.AgeMS)
	}
	if !l.Crashed || youngest > maxYoungestMS {
		return -1
	}
	return 2*youngest + cohortMS
}
