package shard

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/expect"
	"wigeonwinch/jobs/spec"
)

// teachQueue lets the core learn that the tasks of queue q take a time, whatever
// they declare.
func teachQueue(c *Core, ms int64) {
	for range 40 {
		c.learner.Observe(c.now, expect.Step{Queue: "q", Count: 2, DeclaredMS: 500}, expect.Outcome{MeanMS: ms, LongestMS: ms})
	}
}

// finish reports the ends of runs at a time on their workers' clocks, in answers to
// polls that were sent just after the answers before.
func (h *harness) finish(starts []Start, clockMS int64) {
	for _, s := range starts {
		w := h.core.workers[s.Worker]
		w.listedAt = h.now
		end := ListedEnd{End: w.seenEnd + 1, RunRef: s.RunRef, Kind: EndDone}
		var running []ListedRun
		for id := range w.runs {
			if id.key != s.Key {
				running = append(running, ListedRun{RunRef: RunRef{id.key, id.number}, Percent: 100})
			}
		}
		h.core.HandlePollResponse(h.now, h.now, s.Target, PollResponse{ClockMS: clockMS, Incarnation: 1, Running: running, Ended: []ListedEnd{end}})
	}
}

// assertSums asserts that the sums of work are those of the jobs and the runs.
func assertSums(t *testing.T, c *Core) {
	total := int64(0)
	for _, id := range sortedKeys(c.jobs) {
		j, sum := c.jobs[id], int64(0)
		for _, o := range j.occurrences {
			for s := range o.steps {
				sum += int64(o.steps[s].openTasks) * j.stepWork(s)
			}
		}
		require.Equal(t, sum, j.remainingWork, id)
		total += sum
	}
	require.Equal(t, total, c.ensurePool("s").remainingWork)
	for _, w := range c.workers {
		sum := int64(0)
		for _, r := range w.runs {
			sum += r.work
		}
		require.Equal(t, sum, w.placedWork, w.info.ID)
	}
}

func TestLearnedRunTimesSetWorkAndDeadline(t *testing.T) {
	h := newHarness(t, 1)
	teachQueue(h.core, 100)
	h.submit(testJob(1, smallStep(2)))
	j := h.core.jobs[testJob(1).ID]
	assert.InEpsilon(t, 2*100*1000, j.remainingWork, 0.2)
	assert.InEpsilon(t, 600+160, j.deadline-j.firstSeenAt, 0.1)
	assertSums(t, h.core)
}

// The run times of a step's first tasks tell what its others take, and the longest
// one what the job's objective is.
func TestFinishedTasksCorrectTheExpectationOfTheirStep(t *testing.T) {
	h := newHarness(t, 1)
	o := h.submit(testJob(1, smallStep(4), spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 1_000}, EstimateMS: 500, After: []int{0}}))
	require.Len(t, o.Starts, 4)
	h.acceptStarts(o.Starts)
	h.step(1_900)
	j := h.core.jobs[testJob(1).ID]
	h.finish(o.Starts[:2], h.core.workers["w0"].estimateClock(h.now))
	assert.Greater(t, j.stepWork(0), int64(1_200*1_000), "two of four tasks took 1.9 s")
	assert.Equal(t, int64(500*1_000), j.stepWork(1))
	h.step(1)
	h.finish(o.Starts[2:], h.core.workers["w0"].estimateClock(h.now))
	slack := j.deadline - j.firstSeenAt
	assert.InDelta(t, 600+1.6*(1_900+500), slack, 20)
	assertSums(t, h.core)
}

// Runs that the owner sees late, on workers far from the data or after a stop tell
// nothing.
func TestOnlyUndisturbedRunsAreLearnedFrom(t *testing.T) {
	disturbances := map[string]func(h *harness, r *run){
		"seen late":    func(h *harness, r *run) { r.worker.listedAt = h.now - 500 },
		"far":          func(_ *harness, r *run) { r.job.spec.Steps[0].DataRack = "elsewhere" },
		"paced":        func(_ *harness, r *run) { r.pacePercent = 50 },
		"not seen":     func(_ *harness, r *run) { r.startClockMS = 0 },
		"undisturbed":  func(*harness, *run) {},
		"stop ordered": func(h *harness, r *run) { h.core.stopRun(r, "test") },
	}
	for name, disturb := range disturbances {
		h := newHarness(t, 1)
		o := h.submit(testJob(1, smallStep(1)))
		h.acceptStarts(o.Starts)
		h.step(300)
		w := h.core.workers["w0"]
		w.listedAt = h.now
		disturb(h, w.runs[runID{o.Starts[0].Key, 1}])
		end := ListedEnd{End: 1, RunRef: o.Starts[0].RunRef, Kind: EndDone}
		h.core.HandlePollResponse(h.now, h.now, o.Starts[0].Target, PollResponse{ClockMS: w.estimateClock(h.now), Incarnation: 1, Ended: []ListedEnd{end}})
		assert.Equal(t, name == "undisturbed", len(h.core.jobs[testJob(1).ID].finished) == 1, name)
	}
}

// A successor expects of the accepted jobs what its predecessor did, and learns from
// the records of the finished ones.
func TestSuccessorKnowsWhatWasLearned(t *testing.T) {
	h := newHarness(t, 4)
	stored := map[string][]byte{}
	for i := range 20 {
		o := h.submit(testJob(i+1, smallStep(1)))
		h.acceptStarts(o.Starts)
		h.step(200)
		h.finish(o.Starts, h.core.workers[o.Starts[0].Worker].estimateClock(h.now))
		h.stepAndStore(1, stored)
		h.answerAcks()
	}
	var records []Record
	for _, key := range sortedKeys(stored) {
		records = append(records, Record{key, stored[key]})
	}
	require.Len(t, records, 20)
	h.submit(testJob(100, smallStep(2)))
	open := h.core.jobs[testJob(100).ID]
	rec, err := h.core.encodeJob(open)
	require.NoError(t, err)
	next := New(Config{Epoch: 6, MaxLeaseMS: 6_000}, h.now, h.now)
	for _, r := range append(records, rec) {
		require.NoError(t, next.Restore(r))
	}
	assert.Equal(t, open.times, next.jobs[open.spec.ID].times)
	assert.Equal(t, open.remainingWork, next.jobs[open.spec.ID].remainingWork)
	want, _ := h.core.learner.QueueStats("q")
	got, ok := next.learner.QueueStats("q")
	assert.True(t, ok)
	assert.InEpsilon(t, want.MeanMS, got.MeanMS, 0.1)
	assertSums(t, next)
}

func TestSumsOfWorkStayConsistent(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	h := newHarness(t, 3)
	var running []Start
	for i := range 120 {
		job := testJob(i+1, smallStep(1+r.IntN(4)), spec.Step{Count: 1 + r.IntN(3), Need: spec.Resources{MilliCPU: 500}, EstimateMS: 200, After: []int{0}})
		h.core.Submit(h.now, 1, job)
		h.step(20 + r.Int64N(400))
		for _, s := range h.core.TakeOrders().Starts {
			h.acceptStarts([]Start{s})
			running = append(running, s)
		}
		for range r.IntN(8) {
			if len(running) > 0 {
				n := r.IntN(len(running))
				h.finish(running[n:n+1], h.core.workers[running[n].Worker].estimateClock(h.now))
				running = append(running[:n], running[n+1:]...)
			}
		}
		if i%10 == 9 {
			h.core.Cancel(h.now, 2, testJob(i-r.IntN(9)).ID)
		}
		assertSums(t, h.core)
	}
	stats, ok := h.core.learner.QueueStats("q")
	assert.True(t, ok)
	assert.Positive(t, stats.Steps)
}

// The fleet controller compares the work that arrives in a peak with that of earlier
// peaks. As the owner learned that tasks are shorter than declared, later peaks looked
// lower and got too few VMs.
func TestArrivedWorkIsCountedAsDeclared(t *testing.T) {
	h := newHarness(t, 4)
	arrived := func() int64 { return h.core.PoolStats()[0].SubmittedWork }
	h.submit(testJob(1000, smallStep(1)))
	first := arrived()
	for i := range 20 {
		o := h.submit(testJob(i+1, smallStep(1)))
		h.acceptStarts(o.Starts)
		h.step(200)
		h.finish(o.Starts, h.core.workers[o.Starts[0].Worker].estimateClock(h.now))
		h.step(1)
		h.answerAcks()
	}
	_, learned := h.core.learner.QueueStats("q")
	require.True(t, learned)
	before := arrived()
	h.submit(testJob(1001, smallStep(1)))
	assert.Equal(t, first, arrived()-before)
}

// Sums of work overflowed: a job that declared a run time of years counted as none, went
// first and was admitted to a full pool.
func TestHugeEstimatesAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	s := smallStep(1000)
	s.EstimateMS = math.MaxInt64
	job := testJob(1, s, s)
	h.submit(job)
	assert.Equal(t, int64(math.MaxInt64), job.Steps[0].EstimateMS, "the caller's job is left as it is")
	stats := h.core.PoolStats()[0]
	assert.Equal(t, int64(2*1000*1_000)*maxEstimateMS, stats.SubmittedWork)
	j := h.core.jobs[job.ID]
	require.NotNil(t, j)
	assert.Equal(t, stats.SubmittedWork, j.work())
	assert.Greater(t, j.deadline, h.now)
}
