package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
	"wigeonwinch/jobs/suspect"
)

// startedJobs submits jobs and returns which of them have started a task by the given
// time. Workers answer all starts and polls.
func startedJobs(h *harness, ms int64, jobs ...spec.Job) map[string]int {
	for i, j := range jobs {
		h.core.Submit(h.now, uint64(i+1), j)
	}
	started := map[string]int{}
	for end := h.now + ms; h.now < end; {
		h.step(50)
		o := h.core.TakeOrders()
		for _, s := range o.Starts {
			started[s.Key.Job]++
		}
		h.acceptStarts(o.Starts)
		for _, p := range o.Polls {
			var runs []ListedRun
			for _, r := range sortedRuns(h.core.workers[p.Worker]) {
				if r.phase == phaseRunning {
					runs = append(runs, ListedRun{RunRef: RunRef{r.key, r.number}, Percent: 100})
				}
			}
			h.core.HandlePollResponse(h.now, h.now, p.Target, PollResponse{ClockMS: h.now, Incarnation: p.Incarnation, Running: runs})
		}
	}
	return started
}

// A lasting job with more tasks than its max_per_worker leaves room for ended each
// placement pass, and no lasting job after it was ever started (review/4).
func TestHopelessLastingJobStarvesLaterOnes(t *testing.T) {
	h := newHarness(t, 8)
	lasting := func(id, count int) spec.Job {
		st := smallStep(count)
		st.Need.MilliCPU, st.Lasting, st.MaxPerWorker = 200, true, 1
		return testJob(id, st)
	}
	started := startedJobs(h, 1_000, lasting(1, 60), lasting(2, 5), lasting(3, 5))
	assert.Equal(t, 8, started[testJob(1).ID], "as many as it may")
	assert.Equal(t, 5, started[testJob(2).ID])
	assert.Equal(t, 5, started[testJob(3).ID])
}

// Jobs that find no worker for different reasons, more than a pass tries in a row,
// kept the jobs after them from starting on idle workers.
func TestHopelessJobsStarveLaterOnes(t *testing.T) {
	labelled := smallStep(3)
	labelled.Label = "absent"
	crowded := smallStep(30)
	crowded.MaxPerWorker = 1
	crowded.Need.MilliCPU = 10
	large := smallStep(3)
	large.Need.MilliCPU = 3_500
	for name, st := range map[string]spec.Step{"no worker has its label": labelled, "one task a worker": crowded, "no worker is as large any more": large} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 8)
			h.core.cfg.Policy.AdmitAll = true
			list := testWorkers(8)
			list[0].Labels = []string{"absent"}
			h.core.SetWorkers(h.now, list)
			list = testWorkers(8)
			for i := range list {
				list[i].Capacity.MilliCPU = 3_000
			}
			h.core.SetWorkers(h.now, list)
			st.EstimateMS = 20_000
			var jobs []spec.Job
			for i := range 12 {
				jobs = append(jobs, testJob(i+1, st))
			}
			last := smallStep(2)
			last.EstimateMS = 600_000
			jobs = append(jobs, testJob(99, last))
			assert.Equal(t, 2, startedJobs(h, 2_000, jobs...)[testJob(99).ID])
		})
	}
}

// A gang that fits on no set of workers ended the passes like single tasks.
func TestHopelessGangStarvesLaterJobs(t *testing.T) {
	h := newHarness(t, 4)
	h.core.cfg.Policy.AdmitAll = true
	gang := smallStep(40)
	gang.Gang, gang.MaxPerWorker, gang.EstimateMS = true, 1, 20_000
	gang.Need.MilliCPU = 10
	last := smallStep(2)
	last.EstimateMS = 600_000
	assert.Equal(t, 2, startedJobs(h, 2_000, testJob(1, gang), testJob(2, last))[testJob(2).ID])
}

// A worker that is held for a task that must run alone has no room for others. The
// task must find it although the others of its size find none.
func TestHeldWorkerIsFoundInAFullPool(t *testing.T) {
	h := newHarness(t, 2)
	h.core.cfg.Policy.AdmitAll = true
	require.Len(t, h.submit(testJob(1, smallStep(4))).Starts, 4)
	h.core.workers["w1"].held = true
	h.core.ensurePool("s").holding = true
	h.core.Submit(h.now, 2, testJob(2, smallStep(2)))
	h.core.Submit(h.now, 3, testJob(3, smallStep(3)))
	tk := &h.core.jobs[testJob(3).ID].occurrences[0].steps[0].tasks[0]
	tk.history, tk.suspectedAt = suspect.History{Crashes: 2, Suspicions: 2}, h.now
	h.step(1)
	starts := h.core.TakeOrders().Starts
	require.Len(t, starts, 1)
	assert.Equal(t, testJob(3).ID, starts[0].Key.Job)
	assert.Equal(t, "w1", starts[0].Worker)
}

// A pass over a full pool must not search all workers for each of the waiting tasks.
func TestFullPoolIsSearchedOncePerSize(t *testing.T) {
	h := newHarness(t, 2)
	h.core.cfg.Policy.AdmitAll = true
	require.Len(t, h.submit(testJob(1, smallStep(8))).Starts, 8)
	p := h.core.ensurePool("s")
	for i := range 200 {
		st := smallStep(4)
		st.Need.MilliCPU = 1_000 + i
		h.core.Submit(h.now, uint64(i+2), testJob(i+2, st))
	}
	p.fullPassAt = 0
	h.core.schedulePool(p)
	assert.Len(t, p.queue, 200)
	assert.Len(t, p.noRoom[""], 1)
}
