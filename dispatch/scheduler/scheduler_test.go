package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/dispatch"
)

// epoch is the time at which the tests and simulations start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// newTest returns a scheduler that fails the test when it reports a violation.
func newTest(t testing.TB, opts Options, workers ...Worker) *Scheduler {
	t.Helper()
	opts.OnViolation = func(v Violation) { t.Errorf("violation: %+v", v) }
	s := New(opts)
	s.SetWorkers(epoch, workers)
	return s
}

func worker(id string, slots int) Worker {
	return Worker{ID: id, Zone: "z1", Slots: slots, TotalSlots: slots, Cores: 16, MemoryMB: 64_000, Accepting: true}
}

func request(team string) *dispatch.Request {
	return &dispatch.Request{Team: team, Service: "review", Route: "/", Repeatable: true}
}

func submit(t testing.TB, s *Scheduler, now time.Time, r *dispatch.Request) Ticket {
	t.Helper()
	ticket, refusal := s.Submit(now, r)
	require.Nil(t, refusal)
	return ticket
}

func TestStartsAreBoundedBySlots(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 2), worker("w2", 1))
	for range 5 {
		submit(t, s, epoch, request("a"))
	}
	starts := s.Next(epoch).Starts
	require.Len(t, starts, 3)
	require.Equal(t, 2, s.InProgress("w1"))
	require.Equal(t, 1, s.InProgress("w2"))
	s.Finish(at(time.Second), starts[0].Ticket, OK)
	require.Len(t, s.Next(at(time.Second)).Starts, 1)
}

func TestDrainingWorkerReceivesNoNewRequests(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 2))
	submit(t, s, epoch, request("a"))
	start := s.Next(epoch).Starts[0]
	draining := worker("w1", 2)
	draining.Accepting = false
	s.SetWorkers(epoch, []Worker{draining})
	submit(t, s, epoch, request("a"))
	require.Empty(t, s.Next(epoch).Starts)
	s.SetWorkers(epoch, nil)
	require.Equal(t, 1, s.InProgress("w1"), "a removed worker keeps its requests in progress")
	s.Finish(at(time.Second), start.Ticket, OK)
	require.Empty(t, s.Stats().Workers)
}

func TestImpossibleRequestIsRefused(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 2))
	r := request("a")
	r.MemoryMB = 65_000
	_, refusal := s.Submit(epoch, r)
	require.Equal(t, dispatch.RefusedImpossible, refusal.Reason)
}

func TestDeadlineInQueueExpires(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 1))
	submit(t, s, epoch, request("a"))
	require.Len(t, s.Next(epoch).Starts, 1)
	r := request("a")
	r.Deadline = at(time.Second)
	ticket := submit(t, s, epoch, r)
	require.Equal(t, at(time.Second), s.NextWake())
	require.Equal(t, []Ticket{ticket}, s.Next(at(time.Second)).Expired)
	require.False(t, s.Cancel(at(time.Second), ticket), "an ended ticket cannot be canceled")
}
