package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/retry"
)

func TestRefusedRequestGoesElsewhereFirst(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4), worker("w2", 4))
	first := submit(t, s, epoch, request("a"))
	submit(t, s, epoch, request("b"))
	starts := s.Next(epoch).Starts
	require.Len(t, starts, 2)
	refusedBy := starts[0].Worker
	require.True(t, s.Requeue(epoch, first, refusedBy))
	submit(t, s, epoch, request("a"))
	again := s.Next(epoch).Starts
	require.Equal(t, first, again[0].Ticket, "at the head of its class")
	for _, st := range again {
		require.NotEqual(t, refusedBy, st.Worker, "a worker that refused gets nothing for a moment")
	}
	require.Equal(t, at(pauseAfterRefusal), s.Wake())
}

// TestFailedRequestAvoidsItsWorker: a retry goes to another worker, even to a
// fuller one, and back only when there is no other.
func TestFailedRequestAvoidsItsWorker(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 8), worker("w2", 8))
	tickets := make(map[string][]Ticket)
	for range 8 {
		submit(t, s, epoch, request("a"))
	}
	for _, st := range s.Next(epoch).Starts {
		tickets[st.Worker] = append(tickets[st.Worker], st.Ticket)
	}
	for _, ticket := range tickets["w1"][1:] {
		s.Finish(epoch, ticket, OK)
	}
	failed := tickets["w1"][0]
	require.True(t, s.Retry(epoch, failed, Failed))
	require.Equal(t, "w2", s.Next(epoch).Starts[0].Worker)
	s.SetWorkers(epoch, []Worker{worker("w1", 8)})
	require.True(t, s.Retry(epoch, failed, Failed))
	require.Equal(t, "w1", s.Next(epoch).Starts[0].Worker)
}

// TestWhereNothingWorksRequestsAreTurnedAway: one request a second finds out
// whether a worker works again.
func TestWhereNothingWorksRequestsAreTurnedAway(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4), worker("w2", 4))
	now := epoch
	for i := range 40 {
		now = now.Add(time.Millisecond)
		r := request("a")
		r.Service = fmt.Sprintf("service-%d", i%2)
		r.Repeatable = false
		if _, refusal := s.Submit(now, r); refusal != nil {
			require.Equal(t, dispatch.RefusedNoWorker, refusal.Reason)
			require.Equal(t, probeInterval, refusal.RetryAfter)
			continue
		}
		for _, st := range s.Next(now).Starts {
			s.Finish(now, st.Ticket, Failed)
		}
	}
	taken := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if _, refusal := s.Submit(now, request("a")); refusal == nil {
			taken++
		}
	}
	require.InDelta(t, 10, taken, 1)
}

func TestOnlyWorkerIsTriedAgainAfterAPause(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4))
	ticket := submit(t, s, epoch, request("a"))
	s.Next(epoch)
	require.True(t, s.Requeue(epoch, ticket, "w1"))
	require.Empty(t, s.Next(epoch).Starts)
	require.Len(t, s.Next(s.Wake()).Starts, 1)
}

func TestRetryRules(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		result     Result
		want       bool
	}{
		{"refused work has not run", false, Refused, true},
		{"repeatable work that failed", true, Failed, true},
		{"repeatable work that was lost", true, Lost, true},
		{"other work that failed may have run", false, Failed, false},
		{"other work that was lost may have run", false, Lost, false},
		{"a caller that gave up wants no retry", true, Canceled, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTest(t, Options{}, worker("w1", 1), worker("w2", 1))
			r := request("a")
			r.Repeatable = c.repeatable
			ticket := submit(t, s, epoch, r)
			s.Next(epoch)
			require.Equal(t, c.want, s.Retry(epoch, ticket, c.result))
			require.Equal(t, c.want, s.jobs[ticket] != nil, "without a retry the ticket has ended")
		})
	}
}

func TestRetriesEndWithAttemptsDeadlineAndBudget(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4), worker("w2", 4))
	ticket := submit(t, s, epoch, request("a"))
	attempts := 0
	for again := true; again; attempts++ {
		require.Len(t, s.Next(at(time.Duration(attempts)*time.Second)).Starts, 1)
		again = s.Retry(at(time.Duration(attempts)*time.Second), ticket, Refused)
	}
	require.Equal(t, maxAttempts, attempts)

	r := request("a")
	r.Deadline = at(20 * time.Second)
	ticket = submit(t, s, at(10*time.Second), r)
	require.Len(t, s.Next(at(10*time.Second)).Starts, 1)
	require.False(t, s.Retry(at(20*time.Second), ticket, Refused))

	poor := newTest(t, Options{Retries: retry.NewBudget(retry.Options{MinBurst: 1})}, worker("w1", 4))
	one, two := submit(t, poor, epoch, request("a")), submit(t, poor, epoch, request("a"))
	require.Len(t, poor.Next(epoch).Starts, 2)
	require.True(t, poor.Retry(epoch, one, Failed))
	require.False(t, poor.Retry(epoch, two, Failed), "the budget is spent")
}

// TestFailingWorkerGetsNoMoreWork: the worker that fails at once looks idle,
// and is ejected all the same.
func TestFailingWorkerGetsNoMoreWork(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4), worker("w2", 4), worker("w3", 4))
	now := epoch
	toBad := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		submit(t, s, now, request("a"))
		for _, st := range s.Next(now).Starts {
			if st.Worker == "w2" {
				toBad++
				s.Retry(now, st.Ticket, Failed)
				continue
			}
			s.Finish(now, st.Ticket, OK)
		}
	}
	require.LessOrEqual(t, toBad, 6)
	ejected := make(map[string]bool)
	for _, w := range s.Stats().Workers {
		ejected[w.ID] = w.Ejected
	}
	require.Equal(t, map[string]bool{"w1": false, "w2": true, "w3": false}, ejected)
}

// TestReturningZoneIsLoadedSlowly: all workers are gone and come back while a
// queue of requests waits.
func TestReturningZoneIsLoadedSlowly(t *testing.T) {
	workers := []Worker{worker("w1", 8), worker("w2", 8)}
	s := newTest(t, Options{MaxWait: time.Hour}, workers...)
	for range 100 {
		submit(t, s, epoch, request("a"))
	}
	s.SetWorkers(epoch, nil)
	require.Empty(t, s.Next(epoch).Starts)
	s.SetWorkers(at(time.Second), workers)
	first := len(s.Next(at(time.Second)).Starts)
	require.LessOrEqual(t, first, 2, "one slot each to begin with")
	for now := at(time.Second); now.Before(at(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		first += len(s.Next(now).Starts)
	}
	require.Equal(t, 15, first, "all but the urgent reserve in the end")
}

func TestTicketEndsOnce(t *testing.T) {
	var seen []Violation
	s := New(Options{OnViolation: func(v Violation) { seen = append(seen, v) }})
	s.SetWorkers(epoch, []Worker{worker("w1", 4)})
	ticket := submit(t, s, epoch, request("a"))
	s.Finish(epoch, ticket, OK)
	require.Equal(t, []Violation{{Kind: ViolationTicket, Ticket: ticket}}, seen, "not started yet")
	s.Next(epoch)
	s.Finish(epoch, ticket, OK)
	s.Finish(epoch, ticket, OK)
	require.False(t, s.Requeue(epoch, ticket, "w1"))
	require.Len(t, seen, 3)
	require.Equal(t, uint64(3), s.Stats().Violations)
	require.Zero(t, s.InProgress("w1"), "a refused action changes nothing")
}

// ledger is what the randomised test knows of the tickets.
type ledger struct {
	queued, running map[Ticket]string
	ended           map[Ticket]bool
	order           []Ticket
}

// TestRandomisedScheduling does everything in random order and compares the
// scheduler with a plain record of what was submitted, started and ended.
func TestRandomisedScheduling(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomised(t, seed) })
	}
}

func runRandomised(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 8))
	s := newTest(t, Options{MaxQueued: 200, MaxWait: 5 * time.Second})
	l := &ledger{queued: make(map[Ticket]string), running: make(map[Ticket]string), ended: make(map[Ticket]bool)}
	now := epoch
	workers := randomWorkers(rng)
	s.SetWorkers(now, workers)
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
		switch rng.IntN(12) {
		case 0:
			if rng.IntN(10) == 0 {
				workers = randomWorkers(rng)
				s.SetWorkers(now, workers)
			}
		case 1:
			if rng.IntN(10) == 0 {
				s.SetTeams([]Team{{Name: "a", MaxInProgress: rng.IntN(4)}, {Name: "b", Weight: 1 + rng.Float64()}})
			}
		case 2:
			l.cancel(t, rng, s, now)
		case 3, 4, 5, 6:
			l.submit(rng, s, now)
		case 7, 8, 9:
			l.finish(t, rng, s, now)
		default:
			l.next(t, s, now, workers)
		}
		l.check(t, s)
	}
	l.drain(t, s, now)
}

func randomWorkers(rng *rand.Rand) []Worker {
	var out []Worker
	for i := range 6 {
		if rng.IntN(5) == 0 {
			continue
		}
		w := worker(fmt.Sprintf("w%d", i), rng.IntN(9))
		w.Accepting = rng.IntN(4) > 0
		w.CanCheckpoint = rng.IntN(2) == 0
		out = append(out, w)
	}
	return out
}

func (l *ledger) submit(rng *rand.Rand, s *Scheduler, now time.Time) {
	r := request(string(rune('a' + rng.IntN(4))))
	r.Service = string(rune('s' + rng.IntN(3)))
	r.Class = dispatch.Class(rng.IntN(2))
	r.Repeatable = rng.IntN(2) == 0
	r.Declared = time.Duration(rng.IntN(3)) * time.Duration(rng.IntN(1000)) * time.Millisecond
	if rng.IntN(2) == 0 {
		r.Deadline = now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
	}
	if ticket, refusal := s.Submit(now, r); refusal == nil {
		l.queued[ticket] = r.Team
		l.order = append(l.order, ticket)
	}
}

// pick returns a random ticket of those submitted.
func (l *ledger) pick(rng *rand.Rand) Ticket {
	if len(l.order) == 0 {
		return 0
	}
	return l.order[rng.IntN(len(l.order))]
}

func (l *ledger) cancel(t *testing.T, rng *rand.Rand, s *Scheduler, now time.Time) {
	ticket := l.pick(rng)
	_, queued := l.queued[ticket]
	require.Equal(t, queued, s.Cancel(now, ticket))
	if queued {
		delete(l.queued, ticket)
		l.ended[ticket] = true
	}
}

func (l *ledger) finish(t *testing.T, rng *rand.Rand, s *Scheduler, now time.Time) {
	ticket := l.pick(rng)
	if _, running := l.running[ticket]; !running {
		return
	}
	res := Result(1 + rng.IntN(int(Canceled)))
	delete(l.running, ticket)
	if rng.IntN(3) > 0 {
		s.Finish(now, ticket, res)
		l.ended[ticket] = true
		return
	}
	repeatable := s.jobs[ticket].req.Repeatable
	again := s.Retry(now, ticket, res)
	if again {
		require.True(t, repeatable || res == Refused, "work that may have run is not run again")
		l.queued[ticket] = ""
		return
	}
	l.ended[ticket] = true
}

func (l *ledger) next(t *testing.T, s *Scheduler, now time.Time, workers []Worker) {
	byID := make(map[string]Worker)
	for _, w := range workers {
		byID[w.ID] = w
	}
	a := s.Next(now)
	for _, st := range a.Starts {
		require.Contains(t, l.queued, st.Ticket)
		require.True(t, byID[st.Worker].Accepting)
		require.LessOrEqual(t, s.InProgress(st.Worker), byID[st.Worker].Slots)
		delete(l.queued, st.Ticket)
		l.running[st.Ticket] = st.Worker
	}
	for _, ticket := range a.Expired {
		require.Contains(t, l.queued, ticket)
		delete(l.queued, ticket)
		l.ended[ticket] = true
	}
	for _, r := range a.Relieve {
		require.Equal(t, r.Worker, l.running[r.Ticket])
	}
}

func (l *ledger) check(t *testing.T, s *Scheduler) {
	t.Helper()
	st := s.Stats()
	if st.QueuedUrgent+st.QueuedShort+st.QueuedLong != len(l.queued) || st.InProgress != len(l.running) {
		t.Fatalf("stats %+v, but %d queued and %d running", st, len(l.queued), len(l.running))
	}
	perWorker := make(map[string]int)
	for _, w := range l.running {
		perWorker[w]++
	}
	for _, w := range st.Workers {
		if w.InProgress != perWorker[w.ID] {
			t.Fatalf("%s has %d in progress, not %d", w.ID, w.InProgress, perWorker[w.ID])
		}
	}
	if len(s.deadlines.jobs) > 2*len(l.queued)+2*minDead {
		t.Fatalf("%d timers for %d queued requests", len(s.deadlines.jobs), len(l.queued))
	}
}

// drain ends everything: each ticket has ended, and nothing is left behind.
func (l *ledger) drain(t *testing.T, s *Scheduler, now time.Time) {
	t.Helper()
	for ticket := range l.running {
		s.Finish(now, ticket, OK)
		l.ended[ticket] = true
	}
	for _, ticket := range s.Next(now.Add(time.Hour)).Expired {
		l.ended[ticket] = true
	}
	require.Len(t, l.ended, len(l.order))
	require.Empty(t, s.jobs)
	require.Empty(t, s.started)
	require.Empty(t, s.overruns.jobs)
	require.Zero(t, s.queued())
	require.Zero(t, s.safe)
	require.Zero(t, s.relieving)
	require.Zero(t, s.longStarted)
	for i := range s.lanes {
		require.Zero(t, s.lanes[i].running)
	}
	s.SetWorkers(now.Add(time.Hour), nil)
	require.Empty(t, s.workers.byID)
	require.Zero(t, s.workers.free)
	require.Zero(t, s.workers.total)
}
