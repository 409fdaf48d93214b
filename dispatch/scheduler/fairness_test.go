package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTeamIsChargedActualRunTime guards against charging the predicted run time
// only. Two teams use one route, so their predictions are equal, but the runs of
// one take three times as long. Both must get the same slot time, not the same
// number of runs.
func TestTeamIsChargedActualRunTime(t *testing.T) {
	s := newTest(t, Options{MaxWait: time.Hour}, worker("w1", 1))
	s.SetTeams([]Team{{Name: "slow"}, {Name: "fast"}})
	now := warmUp(t, s, epoch, 100)
	for range 500 {
		submit(t, s, now, request("slow"))
		submit(t, s, now, request("fast"))
	}
	served := make(map[string]int)
	for range 400 {
		st := s.Next(now).Starts[0]
		served[st.Request.Team]++
		run := 100 * time.Millisecond
		if st.Request.Team == "slow" {
			run = 300 * time.Millisecond
		}
		now = now.Add(run)
		s.Finish(now, st.Ticket, OK)
	}
	require.InEpsilon(t, 3, float64(served["fast"])/float64(served["slow"]), 0.1)
}

// TestFloodingTeamIsRefusedAlone guards against refusing a request of a quiet
// team because another team has filled the queue. The wait estimate must follow
// from the team's fair share.
func TestFloodingTeamIsRefusedAlone(t *testing.T) {
	s := newTest(t, Options{MaxWait: time.Hour}, worker("w1", 8))
	s.SetTeams([]Team{{Name: "flood"}, {Name: "quiet"}})
	now := warmUp(t, s, epoch, 100)
	for range 1000 {
		submit(t, s, now, request("flood"))
	}
	s.Next(now)
	r := request("flood")
	r.Deadline = now.Add(time.Second)
	_, refusal := s.Submit(now, r)
	require.NotNil(t, refusal)
	r = request("quiet")
	r.Deadline = now.Add(time.Second)
	submit(t, s, now, r)
}

// TestWaitEstimateExcludesUrgentReserve guards against counting the slot that is
// reserved for urgent requests as one that serves the short lane.
func TestWaitEstimateExcludesUrgentReserve(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4))
	s.Next(epoch)
	require.Equal(t, 2*time.Second, s.drainTime(6, laneShort))
	require.Equal(t, 1500*time.Millisecond, s.drainTime(6, laneUrgent))
}

// TestRequestThatMissesItsDeadlineIsNotStarted guards against using a slot for a
// request that can no longer end before its deadline while others wait.
func TestRequestThatMissesItsDeadlineIsNotStarted(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 1))
	now := warmUp(t, s, epoch, 100)
	submit(t, s, now, request("a"))
	running := s.Next(now).Starts[0].Ticket
	late := request("a")
	late.Deadline = now.Add(time.Second)
	lateTicket := submit(t, s, now, late)
	other := submit(t, s, now, request("a"))
	now = now.Add(950 * time.Millisecond)
	s.Finish(now, running, OK)
	a := s.Next(now)
	require.Equal(t, []Ticket{lateTicket}, a.Expired)
	require.Len(t, a.Starts, 1)
	require.Equal(t, other, a.Starts[0].Ticket)
}

// TestOverloadKeepsGoodput runs the load of BenchmarkOverload and checks the
// bounds on goodput and recovery time.
func TestOverloadKeepsGoodput(t *testing.T) {
	r := runOverload(func() []simPolicy { return overloadSchedulerPolicies(t) })
	require.GreaterOrEqual(t, r.fiveTimesGoodput, 0.95*r.fullLoadGoodput)
	require.GreaterOrEqual(t, r.fiveTimesWork, 0.95*r.fullLoadWork)
	require.LessOrEqual(t, r.recovery, 10*time.Second)
}
