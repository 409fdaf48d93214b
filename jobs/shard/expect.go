package shard

import (
	"fmt"
	"slices"

	"wigeonwinch/jobs/expect"
	"wigeonwinch/jobs/spec"
)

// RunTimes selects where the run times come from by which jobs are admitted,
// ordered and placed.
type RunTimes int

// The sources of run times.
const (
	// RunTimesLearned are learned from finished runs; declared ones are used
	// where too few have finished.
	RunTimesLearned RunTimes = iota
	// RunTimesDeclared are those that the jobs declare.
	RunTimesDeclared
)

const (
	// maxSightMS is how long a run may have ended before its worker's answer
	// for its run time to be known.
	maxSightMS = 100
	// minSeenShare of a step's tasks must have a known run time for the step to
	// be learned from.
	minSeenShare = 0.75
	// minDoneShare of a step's tasks must be done before their run times say
	// what to expect of the others: the shortest end first.
	minDoneShare = 0.5
	// declaredRuns is the number of runs that the expectation of a step counts
	// for beside the step's own finished runs.
	declaredRuns = 1
)

// stepTimes are the run times that are expected of a step's tasks. They stay the
// same but where the sums of work that contain them are corrected too.
type stepTimes struct {
	_ struct{} `cbor:",toarray"`
	// TaskMS is the expected run time of one task, LongestMS that of the
	// longest of all.
	TaskMS, LongestMS int64
}

// finishedStep is what was learned from a finished step of a job. Successors learn it
// from the job's record.
type finishedStep struct {
	_                 struct{} `cbor:",toarray"`
	Step, Count       int
	DeclaredMS        int64
	MeanMS, LongestMS int64
}

// seenRuns are the run times of a step's finished runs, as far as they are known.
type seenRuns struct {
	count          int
	sumMS, maxMS   int64
	timesCorrected bool
}

// expectJob sets the expected run times of a new job's steps, and its deadline.
func (c *Core) expectJob(j *job) {
	j.times = make([]stepTimes, len(j.spec.Steps))
	j.learned = true
	for s := range j.times {
		var learned bool
		j.times[s], learned = c.expectStep(j, s)
		j.learned = j.learned && learned
	}
	j.deadline += int64(j.stretch * float64(j.criticalPathMS(nil)))
}

// expectStep returns the run times to expect of a step that has not begun, and
// reports whether they are learned.
func (c *Core) expectStep(j *job, s int) (times stepTimes, learned bool) {
	st := &j.spec.Steps[s]
	if f := c.cfg.Policy.TrueTimes; f != nil {
		taskMS, longestMS := f(&j.spec, s)
		return stepTimes{TaskMS: taskMS, LongestMS: longestMS}, true
	}
	if c.cfg.Policy.RunTimes == RunTimesDeclared || !learnable(st) {
		return stepTimes{TaskMS: st.EstimateMS, LongestMS: st.EstimateMS}, false
	}
	e := c.learner.Expect(expectedStep(j, s))
	return stepTimes{TaskMS: e.TaskMS, LongestMS: e.LongestMS}, e.Source != expect.FromDeclared
}

func expectedStep(j *job, s int) expect.Step {
	st := &j.spec.Steps[s]
	return expect.Step{Queue: j.spec.Queue, Customer: j.spec.Customer, Image: st.Image, Count: st.Count, DeclaredMS: st.EstimateMS}
}

// learnable reports whether the run times of a step's tasks tell how long others
// take: they end by themselves and run at full speed.
func learnable(st *spec.Step) bool { return !st.Lasting && !st.Filler }

// taskMS returns the expected run time of one task of a step.
func (j *job) taskMS(s int) int64 {
	if s < len(j.times) {
		return j.times[s].TaskMS
	}
	return j.spec.Steps[s].EstimateMS
}

// longestMS returns the expected run time of a step's longest task.
func (j *job) longestMS(s int) int64 {
	if s < len(j.times) {
		return j.times[s].LongestMS
	}
	return j.spec.Steps[s].EstimateMS
}

// stepWork returns the expected work of one task of a step in milli-CPU
// milliseconds. Lasting and filler tasks count as 0.
func (j *job) stepWork(s int) int64 {
	st := &j.spec.Steps[s]
	if !learnable(st) {
		return 0
	}
	return int64(st.Need.MilliCPU) * j.taskMS(s)
}

// work returns the expected work of one occurrence.
func (j *job) work() int64 {
	total := int64(0)
	for s := range j.spec.Steps {
		total += j.stepWork(s) * int64(j.spec.Steps[s].Count)
	}
	return total
}

// criticalPathMS returns the longest chain of expected run times over the steps
// for which pending returns true; a nil pending selects all steps.
func (j *job) criticalPathMS(pending func(step int) bool) int64 {
	return j.spec.LongestChainMS(func(s int) int64 {
		if pending != nil && !pending(s) {
			return 0
		}
		return j.longestMS(s)
	})
}

// setStepTimes changes the expected run times of a step, and with them the sums of
// work and the deadline.
func (c *Core) setStepTimes(j *job, s int, t stepTimes) {
	if s >= len(j.times) || j.times[s] == t {
		return
	}
	path, work := j.criticalPathMS(nil), j.stepWork(s)
	j.times[s] = t
	if j.spec.Repeat == 0 {
		j.deadline += int64(j.stretch * float64(j.criticalPathMS(nil)-path))
	}
	delta := j.stepWork(s) - work
	for _, o := range j.occurrences {
		sum := int64(o.steps[s].openTasks) * delta
		j.remainingWork += sum
		c.ensurePool(j.service).remainingWork += sum
		for i := range o.steps[s].tasks {
			if r := o.steps[s].tasks[i].current; r != nil && !o.steps[s].tasks[i].done {
				r.work += delta
				r.worker.placedWork += delta
			}
		}
	}
}

// refreshExpectations corrects what is expected of the steps of waiting jobs that
// have not begun, so that jobs are compared by the same history.
func (c *Core) refreshExpectations(jobs []*job) {
	for _, j := range jobs {
		if j.state.Final() || j.spec.Repeat > 0 {
			continue
		}
		for s := range j.times {
			if o := j.occurrences[0]; o != nil && o.steps[s].openTasks == len(o.steps[s].tasks) {
				times, _ := c.expectStep(j, s)
				c.setStepTimes(j, s, times)
			}
		}
	}
}

// noteRunTime notes how long the run of a finished task took, if the worker's
// answers tell.
func (c *Core) noteRunTime(j *job, r *run, e ListedEnd) {
	o := j.occurrences[e.Key.Occurrence]
	if r == nil || o == nil || e.Kind != EndDone || !learnable(r.step()) || c.cfg.Policy.RunTimes == RunTimesDeclared || c.cfg.Policy.TrueTimes != nil {
		return
	}
	ranMS, ok := r.runTimeMS(c.now)
	if !ok {
		return
	}
	seen := &o.steps[e.Key.Step].seen
	seen.count++
	seen.sumMS += ranMS
	seen.maxMS = max(seen.maxMS, ranMS)
}

// runTimeMS returns how long a run took that has just been listed as done, by the
// worker's clock. It reports false if something else than the task may have made
// the run longer or shorter, or if the end was seen late.
func (r *run) runTimeMS(now int64) (int64, bool) {
	w, st := r.worker, r.step()
	if r.startClockMS == 0 || r.pacePercent != 100 || r.phase == phaseStopping || w.sightMS > maxSightMS {
		return 0, false
	}
	if st.OneRack || st.DataRack != "" && st.DataRack != w.info.Rack {
		return 0, false
	}
	ranMS := w.clockMS - r.startClockMS
	return ranMS, ranMS > 0 && ranMS <= now-r.startSentAt
}

// learnFrom corrects what is expected of a step after one of its tasks is done,
// and learns from the step when all are.
func (c *Core) learnFrom(j *job, so *step, s int) {
	seen, done := &so.seen, len(so.tasks)-so.openTasks
	if seen.count == 0 || s >= len(j.times) {
		return
	}
	meanMS := seen.sumMS / int64(seen.count)
	if so.openTasks > 0 {
		if done >= int(minDoneShare*float64(len(so.tasks))) && !seen.timesCorrected {
			seen.timesCorrected = true
			t := j.times[s]
			t.TaskMS = (t.TaskMS*declaredRuns + seen.sumMS) / int64(declaredRuns+seen.count)
			t.LongestMS = max(t.LongestMS, seen.maxMS)
			c.setStepTimes(j, s, t)
		}
		return
	}
	if float64(seen.count) < minSeenShare*float64(len(so.tasks)) && !j.spec.Steps[s].Gang {
		return
	}
	if c.learner.Observe(c.now, expectedStep(j, s), expect.Outcome{MeanMS: meanMS, LongestMS: seen.maxMS}) {
		c.event(Event{Name: EventLearned, Job: j.spec.ID, Detail: "queue=" + j.spec.Queue})
	}
	st := &j.spec.Steps[s]
	f := finishedStep{Step: s, Count: st.Count, DeclaredMS: st.EstimateMS, MeanMS: meanMS, LongestMS: seen.maxMS}
	j.finished = append(slices.DeleteFunc(j.finished, func(o finishedStep) bool { return o.Step == s }), f)
	c.setStepTimes(j, s, stepTimes{TaskMS: meanMS, LongestMS: seen.maxMS})
}

// learnFromRecord learns from the finished steps of a restored job. The images of
// jobs that are final are not in their records.
func (c *Core) learnFromRecord(j *job) {
	for _, f := range j.finished {
		step := expect.Step{Queue: j.spec.Queue, Customer: j.spec.Customer, Count: f.Count, DeclaredMS: f.DeclaredMS}
		if f.Step >= 0 && f.Step < len(j.spec.Steps) {
			step.Image = j.spec.Steps[f.Step].Image
		}
		c.learner.Observe(c.now, step, expect.Outcome{MeanMS: f.MeanMS, LongestMS: f.LongestMS})
	}
}

// RunTimes returns what has been learned of the queues' run times, and the number
// of histories.
func (c *Core) RunTimes() ([]expect.QueueStats, int) { return c.learner.Stats(), c.learner.Histories() }

// QueueRunTimes returns what has been learned of a queue; nil if the declared run
// times are used.
func (c *Core) QueueRunTimes(queue string) *expect.QueueStats {
	s, ok := c.learner.QueueStats(queue)
	if !ok {
		return nil
	}
	return &s
}

// runDetail describes a run's time for the event log.
func (r *run) runDetail(now int64) string {
	if r == nil {
		return ""
	}
	ranMS, ok := r.runTimeMS(now)
	if !ok {
		return ""
	}
	return fmt.Sprintf(" ran_ms=%d expected_ms=%d declared_ms=%d", ranMS, r.job.taskMS(r.key.Step), r.step().EstimateMS)
}
