package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTrueCostIsCharged: two teams use one route, and the runs of one take
// three times as long. They get the same time, not the same number of runs.
func TestTrueCostIsCharged(t *testing.T) {
	s := newTest(t, Options{MaxWait: time.Hour}, worker("w1", 1))
	s.SetTeams([]Team{{Name: "slow"}, {Name: "fast"}})
	now := teach(t, s, epoch, 100)
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

// TestFloodOfOneTeamRefusesOnlyThatTeam: the wait of a quiet team is its own
// share's, so that its deadline holds.
func TestFloodOfOneTeamRefusesOnlyThatTeam(t *testing.T) {
	s := newTest(t, Options{MaxWait: time.Hour}, worker("w1", 8))
	s.SetTeams([]Team{{Name: "flood"}, {Name: "quiet"}})
	now := teach(t, s, epoch, 100)
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

// TestEstimateLeavesOutTheReserve: the slot kept for urgent work doesn't drain
// the queue.
func TestEstimateLeavesOutTheReserve(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4))
	s.Next(epoch)
	require.Equal(t, 2*time.Second, s.drainTime(6, laneShort))
	require.Equal(t, 1500*time.Millisecond, s.drainTime(6, laneUrgent))
}

// TestTooLateWorkMakesWay: a request that could not end before its deadline
// any more isn't started while others wait.
func TestTooLateWorkMakesWay(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 1))
	now := teach(t, s, epoch, 100)
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

// TestOverloadKeepsGoodput runs the load of BenchmarkOverload and holds it to
// the bound.
func TestOverloadKeepsGoodput(t *testing.T) {
	r := runOverload(func() []simPolicy { return overOurs(t) })
	require.GreaterOrEqual(t, r.atFive, 0.95*r.atOnce)
	require.GreaterOrEqual(t, r.workAtFive, 0.95*r.workAtOnce)
	require.LessOrEqual(t, r.recovery, 10*time.Second)
}
