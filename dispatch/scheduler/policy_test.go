package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/dispatch"
)

// teach runs n short requests of 100 ms, so that the pool's times are known.
func teach(t testing.TB, s *Scheduler, now time.Time, n int) time.Time {
	t.Helper()
	for range n {
		r := request("teacher")
		r.Declared = 100 * time.Millisecond
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
	r.Declared = time.Minute
	return r
}

func urgentRequest() *dispatch.Request {
	r := request("urgent")
	r.Class = dispatch.ClassUrgent
	return r
}

func TestLongWorkLeavesSlotsForShort(t *testing.T) {
	s := newTest(t, Options{MaxWait: time.Hour}, worker("w1", 8), worker("w2", 8))
	now := teach(t, s, epoch, 100)
	for range 40 {
		submit(t, s, now, longRequest("a"))
	}
	require.Less(t, len(s.Next(now).Starts), 13)
	before := s.Stats()
	require.Positive(t, before.QueuedLong)
	submit(t, s, now, request("b"))
	require.Len(t, s.Next(now).Starts, 1, "short work passes the queue of long work")
}

func TestOverrunCountsAsLong(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 8))
	now := teach(t, s, epoch, 100)
	submit(t, s, now, request("a"))
	require.Len(t, s.Next(now).Starts, 1)
	require.Zero(t, s.Stats().Long)
	due := s.Wake()
	require.False(t, due.After(now.Add(time.Second)))
	s.Next(due)
	require.Equal(t, 1, s.Stats().Long)
}

func TestUrgentStartsAtOnceInAFullPool(t *testing.T) {
	s := newTest(t, Options{MaxWait: 24 * time.Hour}, worker("w1", 8), worker("w2", 8))
	now := teach(t, s, epoch, 100)
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
	now := teach(t, s, epoch, 100)
	require.Equal(t, 1, s.urgentHold(now))
	for range 5000 {
		now = now.Add(10 * time.Millisecond)
		ticket := submit(t, s, now, urgentRequest())
		s.Cancel(now, ticket)
	}
	require.Equal(t, 4, s.urgentHold(now), "a quarter of the slots at most")
	require.Equal(t, 4, s.urgentHold(now.Add(10*time.Minute)), "the need is remembered")
}

func TestReliefIsAskedOnlyForWorkThatSurvivesIt(t *testing.T) {
	for _, c := range []struct {
		name       string
		offer      Worker
		repeatable bool
		want       ReliefKind
	}{
		{"nothing offered", Worker{}, true, 0},
		{"checkpoint", Worker{CanCheckpoint: true, CanStop: true}, false, ReliefCheckpoint},
		{"stop of repeatable work", Worker{CanStop: true}, true, ReliefStop},
		{"no stop of other work", Worker{CanStop: true}, false, 0},
		{"throttle", Worker{CanStop: true, CanThrottle: true}, false, ReliefThrottle},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := worker("w1", 2)
			w.CanCheckpoint, w.CanStop, w.CanThrottle = c.offer.CanCheckpoint, c.offer.CanStop, c.offer.CanThrottle
			s := newTest(t, Options{}, w)
			now := teach(t, s, epoch, 100)
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
			require.Empty(t, s.Next(now).Relieve, "not before it has waited")
			now = now.Add(defaultUrgentBound / reliefShare)
			relieve := s.Next(now).Relieve
			if c.want == 0 {
				require.Empty(t, relieve)
				return
			}
			require.Equal(t, []Relief{{Ticket: started[0].Ticket, Worker: "w1", Kind: c.want}}, relieve)
			require.Empty(t, s.Next(now).Relieve, "one request is asked for once")
			s.Finish(now, started[0].Ticket, Canceled)
			require.Len(t, s.Next(now).Starts, 1)
		})
	}
}

func TestTeamsShareByWeightAndBound(t *testing.T) {
	s := newTest(t, Options{MaxWait: time.Hour}, worker("w1", 8))
	s.SetTeams([]Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}, {Name: "capped", Weight: 100, MaxInProgress: 1}})
	now := teach(t, s, epoch, 100)
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
	require.Equal(t, 1, most, "never more in progress than the bound")
	require.InEpsilon(t, 3, float64(served["b"])/float64(served["a"]), 0.05)
}

// TestHogDoesNotDelayOthers: 250 teams share a pool that one of them floods.
func TestHogDoesNotDelayOthers(t *testing.T) {
	s := newTest(t, Options{MaxWait: time.Hour}, worker("w1", 8), worker("w2", 8))
	s.SetTeams(fleetTeamList())
	now := teach(t, s, epoch, 100)
	for range 10_000 {
		submit(t, s, now, request("team-000"))
	}
	s.Next(now)
	quiet := submit(t, s, now, request("team-007"))
	for range 3 {
		now = now.Add(100 * time.Millisecond)
		for _, j := range append([]*job(nil), s.started...) {
			s.Finish(now, j.ticket, OK)
		}
		s.Next(now)
		if s.jobs[quiet] != nil && s.jobs[quiet].worker != nil {
			return
		}
	}
	t.Fatal("one request of a quiet team still waits behind the flood")
}

// TestCancelingAWaveCostsOneStepEach cancels 100,000 queued requests and counts
// what the queue visits, at two sizes.
func TestCancelingAWaveCostsOneStepEach(t *testing.T) {
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
		require.Len(t, s.deadlines.jobs, heapBefore, "canceling leaves the timers for later")
		submit(t, s, epoch, request("team-000"))
		require.Len(t, s.deadlines.jobs, 1, "and the next request drops them")
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
	now := teach(t, s, epoch, 100)
	var refusal *dispatch.Refusal
	accepted := 0
	for ; accepted < 1000 && refusal == nil; accepted++ {
		r := request("a")
		r.Deadline = now.Add(2 * time.Second)
		_, refusal = s.Submit(now, r)
	}
	require.Equal(t, dispatch.RefusedDeadline, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	require.InDelta(t, 50, accepted, 25, "about two seconds of four slots at 100 ms")
}

// TestWrongPredictionIsPutRight: a route that was slow and is now fast is not
// refused for ever.
func TestWrongPredictionIsPutRight(t *testing.T) {
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

func TestWithoutWorkersNothingIsTaken(t *testing.T) {
	s := newTest(t, Options{})
	_, refusal := s.Submit(epoch, request("a"))
	require.Equal(t, dispatch.RefusedNoWorker, refusal.Reason)
	require.True(t, s.Wake().IsZero())
}
