package shard

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

const forever = 1 << 60

// bench drives one core by hand.
type bench struct {
	t    *testing.T
	core *Core
	now  int64
}

func newBench(t *testing.T, workers int) *bench {
	b := &bench{t: t, now: 1_000}
	b.core = New(Config{Epoch: 5, MaxLeaseMS: 6_000, StatusKeepMS: 1_000}, b.now, b.now)
	b.core.SetRight(forever, forever)
	b.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
	b.core.SetWorkers(b.now, workersOf(workers))
	b.step(1)
	for _, p := range b.core.Take().Polls {
		b.core.Polled(b.now, b.now, p.Target, Lists{ClockMS: 100, Born: 1})
	}
	return b
}

func workersOf(n int) []Worker {
	var list []Worker
	for i := range n {
		list = append(list, Worker{ID: fmt.Sprintf("w%d", i), Address: "a", Rack: "r", Service: "s", Capacity: spec.Resources{MilliCPU: 4_000, MemoryMB: 8_000}, Born: 1})
	}
	return list
}

// step lets time pass and stores what waits.
func (b *bench) step(ms int64) {
	b.now += ms
	b.core.Advance(b.now, b.now)
	for {
		batch, ok := b.core.NextBatch()
		if !ok {
			return
		}
		b.core.Committed(b.now, batch)
		b.core.Advance(b.now, b.now)
	}
}

func jobOf(id int, steps ...spec.Step) spec.Job {
	return spec.Job{ID: fmt.Sprintf("%016x", id), Queue: "q", Steps: steps}
}

func small(count int) spec.Step {
	return spec.Step{Count: count, Need: spec.Resources{MilliCPU: 1_000, MemoryMB: 100}, EstimateMS: 500}
}

// submit hands a job in and returns the orders that follow.
func (b *bench) submit(j spec.Job) Orders {
	b.core.Submit(b.now, 1, j)
	b.step(1)
	return b.core.Take()
}

func (b *bench) take(starts []Start) {
	for _, s := range starts {
		b.core.Started(b.now, s, StartTaken)
	}
}

func refs(starts []Start) []ListedRun {
	var list []ListedRun
	for _, s := range starts {
		list = append(list, ListedRun{RunRef: s.RunRef, Percent: 100})
	}
	return list
}

func TestAJobRunsItsStepsInOrder(t *testing.T) {
	b := newBench(t, 1)
	j := jobOf(1, small(2), spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 1_000}, EstimateMS: 10, After: []int{0}})
	o := b.submit(j)
	require.Len(t, o.Starts, 2)
	assert.Equal(t, []Reply{{Ticket: 1, Outcome: Accepted}}, o.Replies)
	b.take(o.Starts)
	end := func(n int, s Start) ListedEnd { return ListedEnd{End: n, RunRef: s.RunRef, Kind: EndDone} }
	b.core.Polled(b.now, b.now, o.Starts[0].Target, Lists{ClockMS: 200, Born: 1, Running: refs(o.Starts[1:]), Ended: []ListedEnd{end(1, o.Starts[0])}})
	b.step(1)
	require.Empty(t, b.core.Take().Starts, "step 1 waits for both tasks of step 0")
	b.core.Polled(b.now, b.now, o.Starts[0].Target, Lists{ClockMS: 300, Born: 1, Ended: []ListedEnd{end(1, o.Starts[0]), end(2, o.Starts[1])}})
	b.step(1)
	last := b.core.Take().Starts
	require.Len(t, last, 1)
	b.take(last)
	assert.Equal(t, spec.Running, b.core.Show(j.ID).State)
	b.core.Polled(b.now, b.now, last[0].Target, Lists{ClockMS: 400, Born: 1, Ended: []ListedEnd{end(3, last[0])}})
	assert.Equal(t, spec.Running, b.core.Show(j.ID).State, "completed is shown only once it is stored")
	b.step(1)
	assert.Equal(t, spec.Completed, b.core.Show(j.ID).State)
}

func TestEndsAreAcknowledgedOnlyOnceStored(t *testing.T) {
	b := newBench(t, 1)
	o := b.submit(jobOf(1, small(1)))
	b.take(o.Starts)
	b.core.Polled(b.now, b.now, o.Starts[0].Target, Lists{ClockMS: 200, Born: 1, Ended: []ListedEnd{{End: 1, RunRef: o.Starts[0].RunRef, Kind: EndDone}}})
	b.core.Advance(b.now, b.now)
	assert.Empty(t, b.core.Take().Polls, "the worker is not polled before its end is stored")
	b.step(1)
	polls := b.core.Take().Polls
	require.Len(t, polls, 1)
	assert.Equal(t, 1, polls[0].AckedUpto)
}

// A worker that answers no more gets no longer lease; its tasks are free once
// the lease has certainly ended, not before.
func TestASilentWorkersLeaseLapses(t *testing.T) {
	b := newBench(t, 2)
	o := b.submit(jobOf(1, small(1)))
	b.take(o.Starts)
	dead := o.Starts[0].Target
	answer := func(polls []Poll) {
		for _, p := range polls {
			if p.Worker == dead.Worker {
				b.core.PollFailed(b.now, p.Target, PollLost)
			} else {
				b.core.Polled(b.now, b.now, p.Target, Lists{ClockMS: b.now, Born: 1})
			}
		}
	}
	answer(o.Polls)
	silent := func(upto int64) []Start {
		var starts []Start
		for b.now < upto {
			b.step(100)
			orders := b.core.Take()
			starts = append(starts, orders.Starts...)
			answer(orders.Polls)
		}
		return starts
	}
	began := b.now
	assert.Empty(t, silent(began+5_900))
	starts := silent(began + 8_000)
	require.Len(t, starts, 1)
	assert.NotEqual(t, dead.Worker, starts[0].Worker)
	assert.Equal(t, 2, starts[0].Number)
}

// Leases of earlier owners bind a new one even at workers that it has reached,
// and over all incarnations that the records name.
func TestLeasesOfEarlierOwnersHold(t *testing.T) {
	b := newBench(t, 1)
	b.submit(jobOf(1, small(1)))
	old, err := b.core.record(b.core.jobs[jobOf(1).ID])
	require.NoError(t, err)
	b.core.workers["w0"].born = 2
	b.submit(jobOf(2, small(1)))
	newer, err := b.core.record(b.core.jobs[jobOf(2).ID])
	require.NoError(t, err)

	next := New(Config{Epoch: 6, MaxLeaseMS: 6_000, EarlierLeaseMS: 9_000}, b.now, b.now)
	next.SetRight(forever, forever)
	next.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3}})
	require.NoError(t, next.Restore(old))
	require.NoError(t, next.Restore(newer))
	next.Advance(b.now+8_000, b.now)
	assert.Len(t, next.workers["w0"].runs, 1, "the run on the newer incarnation may still live")
	next.Advance(b.now+9_100, b.now)
	assert.Nil(t, next.workers["w0"], "a worker without an entry and without runs is forgotten")
}

func TestAnUnansweredStartIsStoppedBeforeItsTaskRunsAgain(t *testing.T) {
	b := newBench(t, 2)
	o := b.submit(jobOf(1, small(1)))
	first := o.Starts[0]
	b.core.Started(b.now, first, StartLost)
	b.step(1)
	o = b.core.Take()
	require.Len(t, o.Stops, 1)
	assert.Empty(t, o.Starts, "the start may still be carried out")
	b.core.Stopped(b.now, o.Stops[0], true, false)
	b.now++
	b.core.Polled(b.now+1, b.now, first.Target, Lists{ClockMS: 300, Born: 1})
	b.step(1)
	again := b.core.Take().Starts
	require.Len(t, again, 1)
	assert.Equal(t, 2, again[0].Number)
}

func TestStraysAreStoppedAndBlockTheirWorker(t *testing.T) {
	b := newBench(t, 1)
	stray := RunRef{Key{Job: "ffffffffffffffff"}, 3}
	b.step(2_000)
	polls := b.core.Take().Polls
	require.NotEmpty(t, polls)
	b.core.Polled(b.now, b.now, polls[0].Target, Lists{ClockMS: 100, Born: 1, Running: []ListedRun{{RunRef: stray}}})
	o := b.submit(jobOf(1, small(1)))
	require.Len(t, o.Stops, 1)
	assert.Equal(t, stray, o.Stops[0].RunRef)
	assert.Empty(t, o.Starts, "the stray's room is not known")
}

func TestLeastWorkFirst(t *testing.T) {
	b := newBench(t, 1)
	big := jobOf(1, spec.Step{Count: 8, Need: spec.Resources{MilliCPU: 2_000}, EstimateMS: 900})
	b.take(b.submit(big).Starts)
	b.core.Submit(b.now, 2, jobOf(2, spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 1_000}, EstimateMS: 10}))
	b.step(1)
	assert.Less(t, b.core.jobs[jobOf(2).ID].left, b.core.jobs[big.ID].left)
	jobs := []*job{b.core.jobs[big.ID], b.core.jobs[jobOf(2).ID]}
	b.core.order(jobs)
	assert.Equal(t, jobOf(2).ID, jobs[0].spec.ID)
}

func TestFailuresFailTheJob(t *testing.T) {
	b := newBench(t, 3)
	j := jobOf(1, small(1))
	starts := b.submit(j).Starts
	ends := map[string]int{}
	for range 3 {
		require.Len(t, starts, 1)
		b.take(starts)
		w := starts[0].Worker
		ends[w]++
		b.core.Polled(b.now, b.now, starts[0].Target, Lists{ClockMS: b.now, Born: 1, Ended: []ListedEnd{{End: ends[w], RunRef: starts[0].RunRef, Kind: EndFailed}}})
		b.step(1)
		starts = b.core.Take().Starts
	}
	assert.Empty(t, starts)
	assert.Equal(t, spec.Failed, b.core.Show(j.ID).State)
}

func lasting(count, mayMiss int) spec.Step {
	return spec.Step{Count: count, Need: spec.Resources{MilliCPU: 1_000}, Lasting: true, MaxPerWorker: 1, MayMiss: mayMiss}
}

func TestEvacuationKeepsTheBudget(t *testing.T) {
	b := newBench(t, 4)
	o := b.submit(jobOf(1, lasting(3, 1)))
	require.Len(t, o.Starts, 3)
	b.take(o.Starts)
	for _, s := range o.Starts {
		b.core.Polled(b.now, b.now, s.Target, Lists{ClockMS: b.now, Born: 1, Running: refs([]Start{s})})
	}
	cordon := map[string]bool{o.Starts[0].Worker: false, o.Starts[1].Worker: false}
	b.core.Cordon(b.now, cordon)
	b.step(1)
	assert.Len(t, b.core.Take().Stops, 1, "one may be away at a time")
}

func TestGangsStartWholeOrNotAtAll(t *testing.T) {
	b := newBench(t, 1)
	gang := small(5)
	gang.Gang = true
	assert.Empty(t, b.submit(jobOf(1, gang)).Starts, "four fit, five are needed")
	gang.Count = 4
	starts := b.submit(jobOf(2, gang)).Starts
	require.Len(t, starts, 4)
	for _, s := range starts {
		assert.Equal(t, starts[0].Number, s.Number)
	}
}

func TestNothingIsStartedWithoutTheRight(t *testing.T) {
	b := newBench(t, 1)
	b.core.SetRight(b.now, forever)
	b.core.Submit(b.now, 1, jobOf(1, small(1)))
	b.step(1)
	o := b.core.Take()
	assert.Empty(t, o.Starts)
	require.Len(t, o.Replies, 1)
	assert.Equal(t, Refused, o.Replies[0].Outcome)
	assert.Positive(t, o.Replies[0].RetryAfterMS)
}

func TestForgottenJobsAreDroppedFromTheStore(t *testing.T) {
	b := newBench(t, 1)
	b.submit(jobOf(1, small(1)))
	b.core.Cancel(b.now, 9, jobOf(1).ID)
	b.step(1)
	b.now += b.core.cfg.StatusKeepMS + finalKeepMS + 1
	b.core.Advance(b.now, b.now)
	assert.False(t, b.core.Show(jobOf(1).ID).Known)
	b.core.Submit(b.now, 2, jobOf(2, small(1)))
	batch, ok := b.core.NextBatch()
	require.True(t, ok)
	assert.Contains(t, batch.Records, Record{Key: jobKey(jobOf(1).ID)})
}

func TestLargeBatchesAreSplit(t *testing.T) {
	b := newBench(t, 1)
	for i := range maxBatchRecords + 10 {
		b.core.Submit(b.now, uint64(i), jobOf(i+1, lasting(1, 0)))
	}
	first, ok := b.core.NextBatch()
	require.True(t, ok)
	assert.Len(t, first.Records, maxBatchRecords)
	second, ok := b.core.NextBatch()
	require.True(t, ok)
	assert.Len(t, second.Records, 10)
}

func TestFillersAreSlowedBesideServingTasks(t *testing.T) {
	assert.Equal(t, 50, nextShare(100, 150))
	assert.Equal(t, 0, nextShare(10, 150))
	assert.Equal(t, 50, nextShare(50, 90), "near the target nothing changes")
	assert.Equal(t, 70, nextShare(50, 40))
}

func TestAnOwnerThatEndsAnswersItsCallers(t *testing.T) {
	b := newBench(t, 1)
	b.core.Submit(b.now, 7, jobOf(1, small(1)))
	b.core.Submit(b.now, 8, jobOf(1, small(1)))
	b.core.Cancel(b.now, 9, jobOf(1).ID)
	replies := b.core.Abandon()
	require.Len(t, replies, 3)
	for _, r := range replies {
		assert.Equal(t, Unavailable, r.Outcome)
	}
	assert.Empty(t, b.core.Abandon(), "each is answered once")
}

// A job that needs a kind of VM which is parked at the moment is not hopeless.
func TestKindsOfParkedVMsAreRemembered(t *testing.T) {
	b := newBench(t, 1)
	large := workersOf(1)[0]
	large.ID, large.Labels, large.Capacity = "large", []string{"gpu"}, spec.Resources{MilliCPU: 64_000, MemoryMB: 64_000}
	b.core.SetWorkers(b.now, append(workersOf(1), large))
	b.core.SetWorkers(b.now, workersOf(1))
	b.step(1)
	need := spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 32_000}, Label: "gpu", Lasting: true}
	assert.Equal(t, Accepted, b.submit(jobOf(1, need)).Replies[0].Outcome)
	need.Label = "unheard_of"
	o := b.submit(jobOf(2, need))
	assert.Equal(t, Refused, o.Replies[0].Outcome)
	assert.Equal(t, "no_worker_can_hold_it", o.Replies[0].Reason)
}

// What the worker counts by kind must follow its runs.
func TestCountsFollowTheRuns(t *testing.T) {
	b := newBench(t, 1)
	o := b.submit(jobOf(1, lasting(1, 0)))
	w := b.core.workers["w0"]
	assert.Equal(t, 1, w.lasting)
	assert.Positive(t, w.lastingMilliCPU)
	assert.Equal(t, w.used.MilliCPU, w.lastingMilliCPU)
	b.take(o.Starts)
	b.core.Cancel(b.now, 2, jobOf(1).ID)
	b.core.Polled(b.now, b.now, o.Starts[0].Target, Lists{ClockMS: 300, Born: 1, Ended: []ListedEnd{{End: 1, RunRef: o.Starts[0].RunRef, Kind: EndStopped}}})
	assert.Zero(t, w.lasting)
	assert.Zero(t, w.lastingMilliCPU)
	assert.Zero(t, w.placedWork)
	assert.Equal(t, spec.Resources{}, w.used)
}

// After all nodes had lost power, 45 jobs were refused for want of a worker in
// reach in the tenth of a second before the first polls came back.
func TestJobsAreNotRefusedBeforeTheFirstPollsComeBack(t *testing.T) {
	c := New(Config{Epoch: 5, MaxLeaseMS: 6_000}, 1_000, 1_000)
	c.SetRight(forever, forever)
	c.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
	c.SetWorkers(1_000, workersOf(4))
	c.Advance(1_010, 1_010)
	c.Submit(1_010, 1, jobOf(1, small(2)))
	assert.Empty(t, c.Take().Replies, "it waits for its record")

	c.Submit(1_000+lookAroundMS, 2, jobOf(2, small(2)))
	replies := c.Take().Replies
	require.Len(t, replies, 1)
	assert.Equal(t, Refused, replies[0].Outcome, "by then they should have answered")
}
