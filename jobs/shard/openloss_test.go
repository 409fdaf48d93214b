package shard

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
	"wigeonwinch/jobs/suspect"
)

// cutOff closes the connections to a worker until its leases have expired.
func (h *harness) cutOff(target Target) {
	h.core.HandlePollError(h.now, h.now, target, PollConnectionClosed)
	h.step(7_000)
}

// loseWorker cuts one worker off until its leases have expired. All others that were not lost
// before answer meanwhile.
func (h *harness) loseWorker(target Target) {
	h.core.HandlePollError(h.now, h.now, target, PollConnectionClosed)
	for _, w := range h.core.sortedWorkers() {
		if w.failedPolls == 0 {
			h.core.HandlePollResponse(h.now+7_000, h.now+7_000, h.core.target(w), PollResponse{ClockMS: h.now + 7_000, Incarnation: 1})
		}
	}
	h.step(7_000)
}

// answer lets a worker answer a poll in the life in which it was reached.
func (h *harness) answer(target Target) {
	h.core.HandlePollResponse(h.now, h.now, target, PollResponse{ClockMS: h.now, Incarnation: target.Incarnation})
	h.step(1)
}

// laterLife lists a later worker on the VM of another one.
func laterLife(of Target, id string) Worker {
	w := testWorkers(1)[0]
	w.ID, w.VM, w.Incarnation = id, "vm-"+of.Worker, of.Incarnation+1
	return w
}

func (h *harness) firstTask(j spec.Job) *task {
	return &h.core.jobs[j.ID].occurrences[0].steps[0].tasks[0]
}

// A worker was cut off five times with closed connections, and ran on. Each time counted as a
// crash, and the job was given up (review/14).
func TestJobOnWorkerThatIsCutOffIsGivenUp(t *testing.T) {
	h := vmHarness(t, 1)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	for cuts := range 6 {
		require.Len(t, starts, 1, cuts)
		h.acceptStarts(starts)
		h.cutOff(starts[0].Target)
		require.Equal(t, spec.Running, h.core.JobStatus(j.ID).State, cuts)
		assert.Equal(t, 1, h.firstTask(j).history.Crashes, "it looks like a crash until the worker answers")
		h.answer(starts[0].Target)
		assert.Equal(t, suspect.History{}, h.firstTask(j).history)
		assert.Empty(t, h.firstTask(j).crashedOn)
		starts = h.core.TakeOrders().Starts
	}
}

// Five workers were cut off one after the other, and none was back when the last one was
// lost. Nobody had seen a crash.
func TestJobOnWorkersThatStayCutOffIsGivenUp(t *testing.T) {
	h := vmHarness(t, 7)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	for n := range 6 {
		require.Len(t, starts, 1, n)
		h.acceptStarts(starts)
		h.loseWorker(starts[0].Target)
		require.Equal(t, spec.Running, h.core.JobStatus(j.ID).State, n)
		starts = h.core.TakeOrders().Starts
	}
}

// None of the workers that a task crashed came back, so that no crash was ever proved, and the
// task was started without end.
func TestTaskWhoseWorkersStayAwayIsStartedWithoutEnd(t *testing.T) {
	h := vmHarness(t, 20)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	losses := 0
	for ; h.core.JobStatus(j.ID).State != spec.Failed; losses++ {
		require.Less(t, losses, 12)
		require.Len(t, starts, 1)
		h.acceptStarts(starts)
		h.loseWorker(starts[0].Target)
		starts = h.core.TakeOrders().Starts
	}
	assert.Greater(t, losses, 5, "the first losses may be cuts")
}

// A worker was cut off for more than a minute, and its loss counted against the task for good.
func TestLossOfWorkerThatIsCutOffForLongCannotBeRefuted(t *testing.T) {
	h := vmHarness(t, 1)
	j := testJob(1, smallStep(1))
	start := h.submit(j).Starts[0]
	h.acceptStarts([]Start{start})
	h.cutOff(start.Target)
	assert.Equal(t, 1, h.core.jobs[j.ID].unproved(start.Key, h.now).Crashes)
	h.step(presumedLostMS)
	assert.Zero(t, h.core.jobs[j.ID].unproved(start.Key, h.now), "it is presumed lost")
	h.answer(start.Target)
	assert.Equal(t, suspect.History{}, h.firstTask(j).history)
}

// An answer to a poll that was sent before the loss says nothing about it.
func TestLateAnswerRefutesCrash(t *testing.T) {
	h := vmHarness(t, 1)
	j := testJob(1, smallStep(1))
	start := h.submit(j).Starts[0]
	h.acceptStarts([]Start{start})
	sentAt := h.now
	h.cutOff(start.Target)
	h.core.HandlePollResponse(h.now, sentAt, start.Target, PollResponse{ClockMS: h.now, Incarnation: 1})
	assert.Equal(t, 1, h.firstTask(j).history.Crashes)
}

// A worker that crashes and comes back only after its leases have expired must count in the end,
// or a task that crashes such workers is started without end.
func TestCrashesOfWorkersThatComeBackLateAreForgotten(t *testing.T) {
	h := vmHarness(t, 8)
	j := testJob(1, smallStep(1))
	starts := h.submit(j).Starts
	crashes := 0
	for ; h.core.JobStatus(j.ID).State != spec.Failed; crashes++ {
		require.Less(t, crashes, 5)
		require.Len(t, starts, 1)
		h.acceptStarts(starts)
		h.now += 10
		h.core.HandlePollError(h.now, h.now, starts[0].Target, PollConnectionClosed)
		var list []Worker
		for _, w := range h.core.sortedWorkers() {
			if w.failedPolls == 0 {
				h.core.HandlePollResponse(h.now+7_000, h.now+7_000, h.core.target(w), PollResponse{ClockMS: h.now + 7_000, Incarnation: w.incarnation})
				list = append(list, w.info)
			}
		}
		h.step(7_000)
		h.core.SetWorkers(h.now, append(list, laterLife(starts[0].Target, fmt.Sprintf("later-%d", crashes))))
		h.step(1)
		starts = h.core.TakeOrders().Starts
	}
	assert.Equal(t, 3, crashes, "three crashes right after the start, beside no other run")
}

// Crashes were proved when a VM was back at last. By then the task had been at work for long
// enough to show that it does not crash its workers.
func TestLateProofEndsTaskThatIsAtWork(t *testing.T) {
	h := vmHarness(t, 2)
	j := testJob(1, smallStep(1))
	start := h.submit(j).Starts[0]
	h.acceptStarts([]Start{start})
	h.now += 10
	h.core.HandlePollError(h.now, h.now, start.Target, PollConnectionClosed)
	other := h.core.workers["w1"]
	if start.Worker == "w1" {
		other = h.core.workers["w0"]
	}
	h.core.HandlePollResponse(h.now+7_000, h.now+7_000, h.core.target(other), PollResponse{ClockMS: h.now + 7_000, Incarnation: 1})
	h.step(7_000)
	again := h.core.TakeOrders().Starts
	require.Len(t, again, 1)
	h.acceptStarts(again)
	h.firstTask(j).history = suspect.History{Crashes: 3, Prompt: 3, Suspicions: 3, Immediate: 3}
	h.now += suspect.HarmlessAfterMS
	h.core.HandlePollResponse(h.now, h.now, again[0].Target, PollResponse{ClockMS: h.now, Incarnation: 1, Running: listedRuns(again)})
	h.core.SetWorkers(h.now, []Worker{other.info, laterLife(start.Target, "later")})
	h.step(1)
	assert.Equal(t, spec.Running, h.core.JobStatus(j.ID).State)
}

// A new owner did not know which crashes of its predecessor's were doubtful, and could neither
// prove nor refute them.
func TestOpenLossesAreForgottenInTakeover(t *testing.T) {
	for name, refuted := range map[string]bool{"refuted": true, "proved": false} {
		h := vmHarness(t, 2)
		j := testJob(1, smallStep(1))
		start := h.submit(j).Starts[0]
		h.acceptStarts([]Start{start})
		h.cutOff(start.Target)
		rec, err := h.core.encodeJob(h.core.jobs[j.ID])
		require.NoError(t, err)

		h.now += 1_000
		h.core = New(Config{Epoch: 6, MaxLeaseMS: 6_000}, h.now, h.now)
		h.core.SetOwnershipDeadlines(forever, forever)
		require.NoError(t, h.core.Restore(rec))
		require.Equal(t, 1, h.core.jobs[j.ID].unproved(start.Key, h.now).Crashes)
		if refuted {
			h.core.SetWorkers(h.now, testWorkers(2))
			h.answer(Target{Worker: start.Worker, Incarnation: start.Incarnation, Epoch: 6})
			assert.Equal(t, suspect.History{}, h.firstTask(j).history, name)
		} else {
			h.core.SetWorkers(h.now, []Worker{laterLife(start.Target, "later")})
			assert.Equal(t, 1, h.firstTask(j).history.Crashes, name)
		}
		assert.Zero(t, h.core.jobs[j.ID].unproved(start.Key, h.now), name)
		assert.Empty(t, h.core.openLosses, name)
	}
}

// The open losses of a large job made its record too long for the store.
func TestOpenLossesOfLargeJobHaveNoBound(t *testing.T) {
	h := vmHarness(t, 1)
	j := testJob(1, smallStep(spec.MaxTasks))
	h.submit(j)
	for i := range spec.MaxTasks {
		h.core.jobs[j.ID].occurrences[0].steps[0].tasks[i].history.Crashes = 1
		l := h.core.openLossOf(lossID{fmt.Sprintf("w%d", i), 1}, "")
		h.core.addLossPart(h.core.jobs[j.ID], lossPart{loss: l, key: Key{Job: j.ID, Index: i}, added: suspect.History{Crashes: 1}})
	}
	records := encodeLosses(h.core.jobs[j.ID])
	require.Len(t, records, maxOpenParts)
	assert.Equal(t, fmt.Sprintf("w%d", spec.MaxTasks-1), records[maxOpenParts-1].Worker, "the oldest ones count as refuted")
	crashes := 0
	for _, tk := range h.core.jobs[j.ID].occurrences[0].steps[0].tasks {
		crashes += tk.history.Crashes
	}
	assert.Equal(t, maxOpenParts, crashes)
	assert.Len(t, h.core.openLosses, maxOpenParts)
	h.core.Cancel(h.now, 2, j.ID)
	h.step(1)
	assert.Empty(t, h.core.openLosses, "the job is final")
}
