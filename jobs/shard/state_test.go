package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/spec"
)

// Load pattern: valid jobs of the largest kind come at once. They are refused at once when
// they fill half of their room, ordinary ones are still accepted, and the room comes back
// when the jobs are forgotten, also at a successor.
func TestJobsBeyondTheOwnersMemoryAreRefused(t *testing.T) {
	h := newHarness(t, 4)
	// The jobs have hardly any work, so that the pool would take them all.
	short := smallStep(spec.MaxTasksPerStep)
	short.EstimateMS = 0
	large := testJob(1, short, short)
	h.core.SetStateRoom(5 * stateBytes(&large))
	outcomes := map[Outcome]int{}
	submit := func(j spec.Job) {
		h.core.Submit(h.now, 1, j)
	}
	records := map[string][]byte{}
	for id := range 8 {
		j := large
		j.ID = testJob(id + 1).ID
		submit(j)
	}
	submit(testJob(100, spec.Step{Count: 1, Need: short.Need}))
	h.stepAndStore(1, records)
	for _, r := range h.core.TakeOrders().Replies {
		outcomes[r.Outcome]++
		if r.Outcome == Refused {
			assert.Equal(t, "owner_memory_full", r.Reason)
			assert.Positive(t, r.RetryAfterMS)
		}
	}
	assert.Equal(t, map[Outcome]int{Accepted: 3, Refused: 6}, outcomes, "first come, first served takes all 9")
	held := h.core.StateBytes()
	require.Positive(t, held)
	h.takeOver(records)
	assert.Equal(t, held, h.core.StateBytes(), "a successor counts what it restores")
	for id := range 2 {
		h.core.Cancel(h.now, 2, testJob(id+1).ID)
	}
	h.stepAndStore(1, records)
	h.stepAndStore(1_000+finalKeepMarginMS+1, records)
	assert.Less(t, h.core.StateBytes(), held-2*stateBytes(&large)+1)
}

// Load pattern: small jobs are handed in and cancelled at once. Each took up its whole room
// until its state could not be asked for any more, so that nobody could hand in a job for
// minutes.
func TestCancelledJobsMakeRoom(t *testing.T) {
	const rounds = 20
	h := newHarness(t, 1)
	records := map[string][]byte{}
	h.core.SetStateRoom(8 * stateBytes(ptr(testJob(1, smallStep(2)))))
	for id := range rounds {
		j := testJob(id+1, smallStep(2))
		j.Customer = "red"
		starts := h.submit(j).Starts
		h.core.Cancel(h.now, 2, j.ID)
		h.stepAndStore(1, records)
		assert.Greater(t, h.core.StateBytes(), int64(id*settledStateBytes+jobStateBytes), "its runs are being stopped")
		h.endRuns(starts, EndStopped)
		h.stepAndStore(1, records)
		require.Equal(t, int64((id+1)*settledStateBytes), h.core.StateBytes())
		h.answerAcks()
	}
	for range 2 {
		for id := range rounds {
			h.core.TakeOrders()
			j := testJob(id+1, smallStep(2))
			assert.Equal(t, JobStatus{State: spec.Cancelled, Known: true}, h.core.JobStatus(j.ID))
			assert.False(t, h.core.MayAccess(customer.Caller{Customer: "blue", Queue: "q"}, j.ID))
			j.Customer = "blue"
			h.core.Submit(h.now, 3, j)
			j.Customer = "red"
			h.core.Submit(h.now, 4, j)
			h.core.Cancel(h.now, 5, j.ID)
			h.core.Yield(h.now, 6, j.ID)
			outcomes := map[uint64]Outcome{}
			for _, r := range h.core.TakeOrders().Replies {
				outcomes[r.Ticket] = r.Outcome
			}
			assert.Equal(t, map[uint64]Outcome{3: Taken, 4: Accepted, 5: Accepted, 6: Accepted}, outcomes)
		}
		assert.Len(t, h.core.Jobs("q", rounds+1), rounds)
		h.takeOver(records)
		assert.Equal(t, int64(rounds*settledStateBytes), h.core.StateBytes(), "at a successor")
	}
	h.step(1_000 + finalKeepMarginMS + 1)
	assert.Zero(t, h.core.StateBytes())
	assert.False(t, h.core.JobStatus(testJob(1).ID).Known)
}

// Load pattern: jobs that are due a million times at once. Each had as many occurrences open
// as its record could hold, and was counted with one.
func TestOpenOccurrencesAreBoundedByTheOwnersMemory(t *testing.T) {
	h := newHarness(t, 1)
	const jobs = 20
	first := overdueJob(1, 1_000_000, smallStep(1))
	room := 4 * jobs * (stateBytes(&first) + 10*furtherOccurrenceBytes(&first))
	h.core.SetStateRoom(room)
	records := map[string][]byte{}
	for id := range jobs {
		h.core.Submit(h.now, 1, overdueJob(id+1, 1_000_000, smallStep(1)))
		h.stepAndStore(1, records)
	}
	open := func() (n int) {
		for id := range jobs {
			occurrences := len(h.core.jobs[testJob(id+1).ID].occurrences)
			assert.Positive(t, occurrences)
			n += occurrences
		}
		return n
	}
	assert.LessOrEqual(t, int64(open()-jobs)*furtherOccurrenceBytes(&first), room/4)
	assert.Greater(t, open(), 2*jobs, "the room is used")
	held := h.core.StateBytes()
	assert.LessOrEqual(t, held, room/4+jobs*stateBytes(&first))
	h.takeOver(records)
	assert.Equal(t, held, h.core.StateBytes(), "a successor counts what it restores")
	h.core.Submit(h.now, 2, testJob(100, smallStep(1)))
	h.stepAndStore(1, records)
	assert.Contains(t, h.core.TakeOrders().Replies, Reply{Ticket: 2, Outcome: Accepted})
}

// A job that is refused for want of the room that the state of final ones takes up may
// come back when so many of these are forgotten.
func TestRefusalTellsWhenRoomComesBack(t *testing.T) {
	h := newHarness(t, 1)
	j := testJob(1, smallStep(1))
	h.core.SetStateRoom(stateBytes(&j) + settledStateBytes/2)
	starts := h.submit(j).Starts
	h.core.Cancel(h.now, 2, j.ID)
	finalAt := h.now
	h.step(1)
	h.endRuns(starts, EndStopped)
	h.step(1)
	h.core.TakeOrders()
	replies := h.submit(testJob(2, smallStep(1))).Replies
	require.Len(t, replies, 1)
	require.Equal(t, Refused, replies[0].Outcome)
	h.now += replies[0].RetryAfterMS
	assert.Greater(t, h.now, finalAt+h.core.cfg.StatusKeepMS)
	h.step(1)
	assert.Equal(t, Accepted, h.submit(testJob(2, smallStep(1))).Replies[0].Outcome)
}

// Load pattern: more small jobs come and go than a successor could read the records of.
// Cancelled ones are forgotten before their time, ended ones are kept for it, and whoever
// hands in a job meanwhile waits for a second, not for minutes.
func TestSettledJobsAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	h.core.cfg.StatusKeepMS = 120_000
	settle := func(id int, state spec.State) {
		j := h.core.newJob(testJob(id, smallStep(1)), h.core.queues["q"], h.now)
		j.state, j.storedState, j.stored, j.finalAt = state, state, true, h.now
		h.core.settle(j)
	}
	const many = maxSettledJobs/2 + 1
	for id := range many {
		settle(id, []spec.State{spec.Completed, spec.Cancelled}[id%2])
	}
	// Far more are handed in than can be kept.
	id, began := many, h.now
	queue := h.core.queues["q"]
	refused := func() (Reply, bool) {
		j := h.core.newJob(testJob(id, smallStep(1)), queue, h.now)
		j.spec.Steps[0].EstimateMS = 0
		return h.core.checkAdmission(j, queue)
	}
	for range 3 * h.core.keepFinalMS() / 1_000 {
		h.step(1_000)
		h.core.TakeOrders()
		for range 1_000 {
			if _, refused := refused(); refused {
				break
			}
			settle(id, spec.Completed)
			id++
		}
		require.LessOrEqual(t, len(h.core.settled.jobs), maxSettledJobs+1_000)
		if refusal, refused := refused(); refused {
			assert.LessOrEqual(t, refusal.RetryAfterMS, int64(1_000))
			assert.Equal(t, "too_many_final_jobs", refusal.Reason)
		}
		if age := h.now - began; age > minCancelledKeepMS && age < h.core.keepFinalMS() {
			require.False(t, h.core.JobStatus(testJob(1).ID).Known, "a cancelled job")
			require.True(t, h.core.JobStatus(testJob(0).ID).Known, "a completed job")
		}
	}
	assert.Greater(t, id, 2*many, "jobs are accepted all the while")
}

func ptr[T any](v T) *T { return &v }

// endRuns lets the workers list the ends of all runs.
func (h *harness) endRuns(starts []Start, kind EndKind) {
	for _, s := range starts {
		w := h.core.workers[s.Worker]
		var running []ListedRun
		for id := range w.runs {
			if id.key != s.Key {
				running = append(running, ListedRun{RunRef: RunRef{id.key, id.number}})
			}
		}
		end := ListedEnd{End: w.seenEnd + 1, RunRef: s.RunRef, Kind: kind}
		h.core.HandlePollResponse(h.now, h.now, s.Target, PollResponse{ClockMS: w.estimateClock(h.now), Incarnation: 1, Running: running, Ended: []ListedEnd{end}})
	}
}
