package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/dispatch"
)

// warmUp runs n requests of 100 ms, so that the scheduler knows the pool's run
// times. It returns the time after the last run.
func warmUp(t testing.TB, s *Scheduler, now time.Time, n int) time.Time {
	t.Helper()
	for range n {
		r := request("teacher")
		r.DeclaredRunTime = 100 * time.Millisecond
		submit(t, s, now, r)
		starts := s.Next(now).Starts
		require.Len(t, starts, 1)
		now = now.Add(100 * time.Millisecond)
		s.Finish(now, starts[0].Ticket, OK)
	}
	return now
}

func longRequest(team string) *dispatch.Request {
	r := request(team)
	r.DeclaredRunTime = time.Minute
	return r
}

func urgentRequest() *dispatch.Request {
	r := request("urgent")
	r.Class = dispatch.ClassUrgent
	return r
}

func TestLongRequestsLeaveSlotsForShortOnes(t *testing.T) {
	s := newTest(t, Options{MaxWait: time.Hour}, worker("w1", 8), worker("w2", 8))
	now := warmUp(t, s, epoch, 100)
	for range 40 {
		submit(t, s, now, longRequest("a"))
	}
	require.Less(t, len(s.Next(now).Starts), 13)
	before := s.Stats()
	require.Positive(t, before.QueuedLong)
	submit(t, s, now, request("b"))
	require.Len(t, s.Next(now).Starts, 1, "short requests do not wait behind the queue of long ones")
}

func TestOverrunCountsAsLong(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 8))
	now := warmUp(t, s, epoch, 100)
	submit(t, s, now, request("a"))
	require.Len(t, s.Next(now).Starts, 1)
	require.Zero(t, s.Stats().Long)
	due := s.NextWake()
	require.False(t, due.After(now.Add(time.Second)))
	s.Next(due)
	require.Equal(t, 1, s.Stats().Long)
}

func TestUrgentRequestStartsAtOnceInFullPool(t *testing.T) {
	s := newTest(t, Options{MaxWait: 24 * time.Hour}, worker("w1", 8), worker("w2", 8))
	now := warmUp(t, s, epoch, 100)
	for range 100 {
		submit(t, s, now, request("a"))
		submit(t, s, now, longRequest("a"))
	}
	require.NotEmpty(t, s.Next(now).Starts)
	require.Empty(t, s.Next(now).Starts)
	submit(t, s, now, urgentRequest())
	starts := s.Next(now).Starts
	require.Len(t, starts, 1)
	require.Equal(t, dispatch.ClassUrgent, starts[0].Request.Class)
}

func TestReserveGrowsWithUrgentLoadAndIsBounded(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 8), worker("w2", 8))
	now := warmUp(t, s, epoch, 100)
	require.Equal(t, 1, s.urgentReserve(now))
	for range 5000 {
		now = now.Add(10 * time.Millisecond)
		ticket := submit(t, s, now, urgentRequest())
		s.Cancel(now, ticket)
	}
	require.Equal(t, 4, s.urgentReserve(now), "at most a quarter of the slots")
	require.Equal(t, 4, s.urgentReserve(now.Add(10*time.Minute)), "the reserve outlasts the load")
}

func TestOnlySurvivableWorkIsPreempted(t *testing.T) {
	for _, c := range []struct {
		name       string
		offer      Worker
		repeatable bool
		want       PreemptionKind
	}{
		{"worker supports none", Worker{}, true, 0},
		{"checkpoint", Worker{CanCheckpoint: true, CanStop: true}, false, PreemptCheckpoint},
		{"stop a repeatable request", Worker{CanStop: true}, true, PreemptStop},
		{"no stop of a request that is not repeatable", Worker{CanStop: true}, false, 0},
		{"throttle", Worker{CanStop: true, CanThrottle: true}, false, PreemptThrottle},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := worker("w1", 2)
			w.CanCheckpoint, w.CanStop, w.CanThrottle = c.offer.CanCheckpoint, c.offer.CanStop, c.offer.CanThrottle
			s := newTest(t, Options{}, w)
			now := warmUp(t, s, epoch, 100)
			for range 2 {
				r := request("a")
				r.Repeatable = c.repeatable
				submit(t, s, now, r)
			}
			started := s.Next(now).Starts
			require.Len(t, started, 2)
			now = now.Add(10 * time.Second)
			s.Next(now)
			submit(t, s, now, urgentRequest())
			require.Empty(t, s.Next(now).Preemptions, "no preemption before the urgent request has waited")
			now = now.Add(defaultUrgentBound / preemptDelayDivisor)
			preemptions := s.Next(now).Preemptions
			if c.want == 0 {
				require.Empty(t, preemptions)
				return
			}
			require.Equal(t, []Preemption{{Ticket: started[0].Ticket, Worker: "w1", Kind: c.want}}, preemptions)
			require.Empty(t, s.Next(now).Preemptions, "a preemption is requested once")
			s.Finish(now, started[0].Ticket, Canceled)
			require.Len(t, s.Next(now).Starts, 1)
		})
	}
}

func TestTeamsShareByWeightAndBound(t *testing.T) {
	s := newTest(t, Options{MaxWait: time.Hour}, worker("w1", 8))
	s.SetTeams([]Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}, {Name: "capped", Weight: 100, MaxInProgress: 1}})
	now := warmUp(t, s, epoch, 100)
	for range 2000 {
		for _, team := range []string{"a", "b", "capped"} {
			submit(t, s, now, request(team))
		}
	}
	served := make(map[string]int)
	most := 0
	for range 400 {
		starts := s.Next(now).Starts
		capped := 0
		now = now.Add(100 * time.Millisecond)
		for _, st := range starts {
			served[st.Request.Team]++
			if st.Request.Team == "capped" {
				capped++
			}
			s.Finish(now, st.Ticket, OK)
		}
		most = max(most, capped)
	}
	require.Equal(t, 1, most, "the team never exceeds its MaxInProgress")
	require.InEpsilon(t, 3, float64(served["b"])/float64(served["a"]), 0.05)
}

// TestFloodingTeamDoesNotDelayOthers guards against one team's flood delaying
// the others: 250 teams share a pool, and one of them queues 10,000 requests.
func TestFloodingTeamDoesNotDelayOthers(t *testing.T) {
	s := newTest(t, Options{MaxWait: time.Hour}, worker("w1", 8), worker("w2", 8))
	s.SetTeams(fleetTeamList())
	now := warmUp(t, s, epoch, 100)
	for range 10_000 {
		submit(t, s, now, request("team-000"))
	}
	s.Next(now)
	quiet := submit(t, s, now, request("team-007"))
	for range 3 {
		now = now.Add(100 * time.Millisecond)
		for _, j := range append([]*job(nil), s.running...) {
			s.Finish(now, j.ticket, OK)
		}
		s.Next(now)
		if s.jobs[quiet] != nil && s.jobs[quiet].worker != nil {
			return
		}
	}
	t.Fatal("the request of a quiet team still waits behind the flood")
}

// TestCancelCostIsConstant guards against cancellation whose cost grows
// with the queue. It cancels 1,000 and 100,000 queued requests and counts the
// entries that the queue visits.
func TestCancelCostIsConstant(t *testing.T) {
	steps := func(n int) float64 {
		s := newTest(t, Options{MaxQueued: n, MaxWait: time.Hour}, worker("w1", 8))
		s.SetTeams(fleetTeamList())
		tickets := make([]Ticket, n)
		for i := range tickets {
			r := request(fmt.Sprintf("team-%03d", i%fleetTeams))
			r.Class = dispatch.Class(i % 2)
			tickets[i] = submit(t, s, epoch, r)
		}
		heapBefore := len(s.deadlines.jobs)
		before := s.queueSteps()
		for i := range tickets {
			require.True(t, s.Cancel(epoch, tickets[(i*7919)%n]))
		}
		require.Zero(t, s.queued())
		require.Empty(t, s.jobs)
		require.Len(t, s.deadlines.jobs, heapBefore, "canceling leaves the timers in the heap")
		submit(t, s, epoch, request("team-000"))
		require.Len(t, s.deadlines.jobs, 1, "the next Submit removes the timers of canceled requests")
		return float64(s.queueSteps()-before-1) / float64(n)
	}
	require.Equal(t, 1.0, steps(1000))
	require.Equal(t, 1.0, steps(100_000))
}

func (s *Scheduler) queueSteps() uint64 {
	n := uint64(0)
	for i := range s.lanes {
		n += s.lanes[i].queue.Steps()
	}
	return n
}

func TestInfeasibleDeadlineIsRefusedEarly(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4))
	now := warmUp(t, s, epoch, 100)
	var refusal *dispatch.Refusal
	accepted := 0
	for ; accepted < 1000 && refusal == nil; accepted++ {
		r := request("a")
		r.Deadline = now.Add(2 * time.Second)
		_, refusal = s.Submit(now, r)
	}
	require.Equal(t, dispatch.RefusedDeadline, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	require.InDelta(t, 50, accepted, 25, "about two seconds of work for four slots at 100 ms a request")
}

// TestWrongPredictionIsCorrectedByARun guards against refusing a route forever
// that was slow and is now fast: the predicted run time exceeds the deadline,
// and only another run can correct it.
func TestWrongPredictionIsCorrectedByARun(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4))
	now := epoch
	for range 20 {
		submit(t, s, now, request("a"))
		starts := s.Next(now).Starts
		now = now.Add(time.Minute)
		s.Finish(now, starts[0].Ticket, OK)
	}
	r := request("a")
	r.Deadline = now.Add(time.Second)
	submit(t, s, now, r)
	require.Len(t, s.Next(now).Starts, 1)
}

func TestQueueIsBounded(t *testing.T) {
	s := newTest(t, Options{MaxQueued: 10}, worker("w1", 1))
	for range 10 {
		submit(t, s, epoch, request("a"))
	}
	_, refusal := s.Submit(epoch, request("a"))
	require.Equal(t, dispatch.RefusedQueueFull, refusal.Reason)
}

func TestSubmitIsRefusedWithoutWorkers(t *testing.T) {
	s := newTest(t, Options{})
	_, refusal := s.Submit(epoch, request("a"))
	require.Equal(t, dispatch.RefusedNoWorker, refusal.Reason)
	require.True(t, s.NextWake().IsZero())
}
