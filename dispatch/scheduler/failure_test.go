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

func TestRefusedRequestIsRequeuedFirstForAnotherWorker(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4), worker("w2", 4))
	first := submit(t, s, epoch, request("a"))
	submit(t, s, epoch, request("b"))
	starts := s.Next(epoch).Starts
	require.Len(t, starts, 2)
	refusedBy := starts[0].Worker
	require.True(t, s.Requeue(epoch, first, refusedBy))
	submit(t, s, epoch, request("a"))
	again := s.Next(epoch).Starts
	require.Equal(t, first, again[0].Ticket, "a requeued request starts first")
	for _, st := range again {
		require.NotEqual(t, refusedBy, st.Worker, "a worker that refused is paused")
	}
	require.Equal(t, at(pauseAfterRefusal), s.NextWake())
}

// TestRetryAvoidsFailedWorker checks that a retry goes to another worker, even to
// a more loaded one, and to the failed worker only if there is no other.
func TestRetryAvoidsFailedWorker(t *testing.T) {
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

// TestUnhealthyPoolAdmitsOnlyProbes checks that a pool without a healthy worker
// admits one request a second as a probe and refuses the others.
func TestUnhealthyPoolAdmitsOnlyProbes(t *testing.T) {
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
	admitted := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if _, refusal := s.Submit(now, request("a")); refusal == nil {
			admitted++
		}
	}
	require.InDelta(t, 10, admitted, 1)
}

func TestOnlyWorkerIsRetriedAfterRefusalPause(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4))
	ticket := submit(t, s, epoch, request("a"))
	s.Next(epoch)
	require.True(t, s.Requeue(epoch, ticket, "w1"))
	require.Empty(t, s.Next(epoch).Starts)
	require.Len(t, s.Next(s.NextWake()).Starts, 1)
}

func TestRetryRules(t *testing.T) {
	for _, c := range []struct {
		name       string
		repeatable bool
		result     Result
		want       bool
	}{
		{"refused request has not run", false, Refused, true},
		{"repeatable request that failed", true, Failed, true},
		{"repeatable request that was lost", true, Lost, true},
		{"failed request that is not repeatable may have run", false, Failed, false},
		{"lost request that is not repeatable may have run", false, Lost, false},
		{"canceled request is not retried", true, Canceled, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTest(t, Options{}, worker("w1", 1), worker("w2", 1))
			r := request("a")
			r.Repeatable = c.repeatable
			ticket := submit(t, s, epoch, r)
			s.Next(epoch)
			require.Equal(t, c.want, s.Retry(epoch, ticket, c.result))
			require.Equal(t, c.want, s.jobs[ticket] != nil, "the ticket ends if there is no retry")
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
	require.False(t, poor.Retry(epoch, two, Failed), "the retry budget is used up")
}

// TestFailingWorkerIsEjected guards against a worker that fails every
// request at once: it always looks the least loaded and would get most of the
// requests unless it is ejected.
func TestFailingWorkerIsEjected(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4), worker("w2", 4), worker("w3", 4))
	now := epoch
	startsOnFailing := 0
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		submit(t, s, now, request("a"))
		for _, st := range s.Next(now).Starts {
			if st.Worker == "w2" {
				startsOnFailing++
				s.Retry(now, st.Ticket, Failed)
				continue
			}
			s.Finish(now, st.Ticket, OK)
		}
	}
	require.LessOrEqual(t, startsOnFailing, 6)
	ejected := make(map[string]bool)
	for _, w := range s.Stats().Workers {
		ejected[w.ID] = w.Ejected
	}
	require.Equal(t, map[string]bool{"w1": false, "w2": true, "w3": false}, ejected)
}

// TestReturningZoneRampsUp guards against overloading a zone on its return:
// all workers are removed and come back while a queue of requests waits.
func TestReturningZoneRampsUp(t *testing.T) {
	workers := []Worker{worker("w1", 8), worker("w2", 8)}
	s := newTest(t, Options{MaxWait: time.Hour}, workers...)
	for range 100 {
		submit(t, s, epoch, request("a"))
	}
	s.SetWorkers(epoch, nil)
	require.Empty(t, s.Next(epoch).Starts)
	s.SetWorkers(at(time.Second), workers)
	starts := len(s.Next(at(time.Second)).Starts)
	require.LessOrEqual(t, starts, 2, "one slot on each worker at first")
	for now := at(time.Second); now.Before(at(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		starts += len(s.Next(now).Starts)
	}
	require.Equal(t, 15, starts, "every slot but the urgent reserve in the end")
}

func TestTicketEndsOnce(t *testing.T) {
	var seen []Violation
	s := New(Options{OnViolation: func(v Violation) { seen = append(seen, v) }})
	s.SetWorkers(epoch, []Worker{worker("w1", 4)})
	ticket := submit(t, s, epoch, request("a"))
	s.Finish(epoch, ticket, OK)
	require.Equal(t, []Violation{{Kind: ViolationTicket, Ticket: ticket}}, seen, "the request has not started yet")
	s.Next(epoch)
	s.Finish(epoch, ticket, OK)
	s.Finish(epoch, ticket, OK)
	require.False(t, s.Requeue(epoch, ticket, "w1"))
	require.Len(t, seen, 3)
	require.Equal(t, uint64(3), s.Stats().Violations)
	require.Zero(t, s.InProgress("w1"), "an action that is refused changes nothing")
}

// ticketModel is the expected state of the tickets in the randomised test: the
// team of each queued ticket, the worker of each running one, and the ended ones.
// order lists all tickets as submitted.
type ticketModel struct {
	queued, running map[Ticket]string
	ended           map[Ticket]bool
	order           []Ticket
}

// TestRandomisedScheduling performs random operations and compares the scheduler
// after each one with a model of the submitted, started and ended tickets.
func TestRandomisedScheduling(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomised(t, seed) })
	}
}

func runRandomised(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 8))
	s := newTest(t, Options{MaxQueued: 200, MaxWait: 5 * time.Second})
	m := &ticketModel{queued: make(map[Ticket]string), running: make(map[Ticket]string), ended: make(map[Ticket]bool)}
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
			m.cancel(t, rng, s, now)
		case 3, 4, 5, 6:
			m.submit(rng, s, now)
		case 7, 8, 9:
			m.finish(t, rng, s, now)
		default:
			m.next(t, s, now, workers)
		}
		m.check(t, s)
	}
	m.drain(t, s, now)
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

func (m *ticketModel) submit(rng *rand.Rand, s *Scheduler, now time.Time) {
	r := request(string(rune('a' + rng.IntN(4))))
	r.Service = string(rune('s' + rng.IntN(3)))
	r.Class = dispatch.Class(rng.IntN(2))
	r.Repeatable = rng.IntN(2) == 0
	r.DeclaredRunTime = time.Duration(rng.IntN(3)) * time.Duration(rng.IntN(1000)) * time.Millisecond
	if rng.IntN(2) == 0 {
		r.Deadline = now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
	}
	if ticket, refusal := s.Submit(now, r); refusal == nil {
		m.queued[ticket] = r.Team
		m.order = append(m.order, ticket)
	}
}

// pick returns a random submitted ticket, or zero if there is none.
func (m *ticketModel) pick(rng *rand.Rand) Ticket {
	if len(m.order) == 0 {
		return 0
	}
	return m.order[rng.IntN(len(m.order))]
}

func (m *ticketModel) cancel(t *testing.T, rng *rand.Rand, s *Scheduler, now time.Time) {
	ticket := m.pick(rng)
	_, queued := m.queued[ticket]
	require.Equal(t, queued, s.Cancel(now, ticket))
	if queued {
		delete(m.queued, ticket)
		m.ended[ticket] = true
	}
}

func (m *ticketModel) finish(t *testing.T, rng *rand.Rand, s *Scheduler, now time.Time) {
	ticket := m.pick(rng)
	if _, running := m.running[ticket]; !running {
		return
	}
	res := Result(1 + rng.IntN(int(Canceled)))
	delete(m.running, ticket)
	if rng.IntN(3) > 0 {
		s.Finish(now, ticket, res)
		m.ended[ticket] = true
		return
	}
	repeatable := s.jobs[ticket].req.Repeatable
	again := s.Retry(now, ticket, res)
	if again {
		require.True(t, repeatable || res == Refused, "a request that may have run and is not repeatable must not be retried")
		m.queued[ticket] = ""
		return
	}
	m.ended[ticket] = true
}

func (m *ticketModel) next(t *testing.T, s *Scheduler, now time.Time, workers []Worker) {
	byID := make(map[string]Worker)
	for _, w := range workers {
		byID[w.ID] = w
	}
	a := s.Next(now)
	for _, st := range a.Starts {
		require.Contains(t, m.queued, st.Ticket)
		require.True(t, byID[st.Worker].Accepting)
		require.LessOrEqual(t, s.InProgress(st.Worker), byID[st.Worker].Slots)
		delete(m.queued, st.Ticket)
		m.running[st.Ticket] = st.Worker
	}
	for _, ticket := range a.Expired {
		require.Contains(t, m.queued, ticket)
		delete(m.queued, ticket)
		m.ended[ticket] = true
	}
	for _, r := range a.Preemptions {
		require.Equal(t, r.Worker, m.running[r.Ticket])
	}
}

func (m *ticketModel) check(t *testing.T, s *Scheduler) {
	t.Helper()
	st := s.Stats()
	if st.QueuedUrgent+st.QueuedShort+st.QueuedLong != len(m.queued) || st.InProgress != len(m.running) {
		t.Fatalf("stats %+v, want %d queued and %d running", st, len(m.queued), len(m.running))
	}
	perWorker := make(map[string]int)
	for _, w := range m.running {
		perWorker[w]++
	}
	for _, w := range st.Workers {
		if w.InProgress != perWorker[w.ID] {
			t.Fatalf("%s has %d in progress, want %d", w.ID, w.InProgress, perWorker[w.ID])
		}
	}
	if len(s.deadlines.jobs) > 2*len(m.queued)+2*minStale {
		t.Fatalf("heap holds %d timers for %d queued requests", len(s.deadlines.jobs), len(m.queued))
	}
}

// drain ends all tickets and checks that the scheduler keeps no state of them.
func (m *ticketModel) drain(t *testing.T, s *Scheduler, now time.Time) {
	t.Helper()
	for ticket := range m.running {
		s.Finish(now, ticket, OK)
		m.ended[ticket] = true
	}
	for _, ticket := range s.Next(now.Add(time.Hour)).Expired {
		m.ended[ticket] = true
	}
	require.Len(t, m.ended, len(m.order))
	require.Empty(t, s.jobs)
	require.Empty(t, s.running)
	require.Empty(t, s.overruns.jobs)
	require.Zero(t, s.queued())
	require.Zero(t, s.reliablyShort)
	require.Zero(t, s.preempting)
	require.Zero(t, s.longStarted)
	for i := range s.lanes {
		require.Zero(t, s.lanes[i].running)
	}
	s.SetWorkers(now.Add(time.Hour), nil)
	require.Empty(t, s.workers.byID)
	require.Zero(t, s.workers.freeSlots)
	require.Zero(t, s.workers.usableSlots)
}

// A request that may crash its workers went to as many as four of them.
func TestLostRequestIsSentToWorkerAfterWorker(t *testing.T) {
	s := newTest(t, Options{}, worker("w1", 4), worker("w2", 4), worker("w3", 4), worker("w4", 4))
	ticket := submit(t, s, epoch, request("a"))
	require.Len(t, s.Next(epoch).Starts, 1)
	require.True(t, s.Retry(epoch, ticket, Lost))
	require.Len(t, s.Next(epoch).Starts, 1)
	require.False(t, s.Retry(epoch, ticket, Lost))
}
