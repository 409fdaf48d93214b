package forward

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"wigeonwinch/dispatch"
)

// The load of one round.
const (
	simCallers         = 60
	simWorksPerCaller  = 25
	simFaultsAtOnce    = 2
	simLatestEndAfter  = 5 * time.Second
	simLongestPause    = 9 * time.Second
	simDefaultRounds   = 3
	simDefaultDeadline = 2 * time.Second
)

// caller sends works and judges what comes back.
type caller struct {
	f    *simFleet
	rng  *rand.Rand
	name string
	sent int
}

// simWork is one piece of work under one id.
type simWork struct {
	id         string
	repeatable bool
	header     http.Header
	// plain says that the id has no issue time: it is safe to send again
	// within the horizon only.
	plain bool
	// copies says that two copies were in progress at once.
	copies bool
	ends   []dispatch.Outcome
}

func (c *caller) run() {
	for i := range simWorksPerCaller {
		time.Sleep(time.Duration(c.rng.Intn(600)) * time.Millisecond)
		c.do(c.newWork(i))
	}
}

func (c *caller) newWork(i int) *simWork {
	w := &simWork{repeatable: c.rng.Intn(3) == 0, header: http.Header{}}
	w.id = fmt.Sprintf("%s-%d", c.name, i)
	switch c.rng.Intn(10) {
	case 0:
		w.plain = true
	case 1, 2:
		w.header.Set(HeaderIssuedAt, time.Now().Format(time.RFC3339Nano))
	default:
		w.id = uuidV7(time.Now(), c.rng)
	}
	run := c.rng.Intn(100)
	if c.rng.Intn(20) == 0 {
		run = c.rng.Intn(5000)
	}
	w.header.Set(HeaderRequestID, w.id)
	w.header.Set(HeaderRepeatable, yesNo(w.repeatable))
	w.header.Set(headerRun, strconv.Itoa(run))
	if !w.repeatable {
		c.f.ledger.lock.Lock()
		c.f.ledger.single[w.id] = true
		c.f.ledger.lock.Unlock()
	}
	return w
}

// uuidV7 makes an id; the library's own keeps the latest time of all bubbles.
func uuidV7(now time.Time, rng *rand.Rand) string {
	var id uuid.UUID
	_, _ = rng.Read(id[6:])
	binary.BigEndian.PutUint32(id[:4], uint32(now.UnixMilli()>>16))
	binary.BigEndian.PutUint16(id[4:6], uint16(now.UnixMilli()))
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// do sends a work until it is answered, at most five times.
func (c *caller) do(w *simWork) {
	for range 5 {
		if c.rng.Intn(8) == 0 {
			w.copies = true
			var both sync.WaitGroup
			other := &caller{f: c.f, rng: rand.New(rand.NewSource(c.rng.Int63())), name: c.name + "'", sent: 1000 * c.sent}
			both.Go(func() { other.send(w) })
			both.Go(func() { c.send(w) })
			both.Wait()
			c.sent++
		} else if c.send(w) == dispatch.OutcomeAnswered {
			break
		}
		if c.rng.Intn(3) == 0 {
			break
		}
		time.Sleep(time.Duration(c.rng.Intn(3000)) * time.Millisecond)
		if c.rng.Intn(50) == 0 && !w.plain {
			time.Sleep(40 * time.Second)
		}
	}
	c.f.ledger.lock.Lock()
	defer c.f.ledger.lock.Unlock()
	for _, end := range w.ends {
		if end != dispatch.OutcomeNotRun {
			return
		}
	}
	if len(w.ends) > 0 && !w.repeatable && c.f.ledger.byID[w.id] > 0 {
		c.f.ledger.violations = append(c.f.ledger.violations, "only not-run was told, but it ran: "+w.id)
	}
}

// send sends one copy and returns its end; empty when the node died.
func (c *caller) send(w *simWork) dispatch.Outcome {
	c.sent++
	node := c.f.pickNode(c.rng)
	arrival := fmt.Sprintf("%s/%s/%d", w.id, c.name, c.sent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/fire", nil)
	r.Header = w.header.Clone()
	r.Header.Set(headerArrival, arrival)
	c.f.ledger.lock.Lock()
	c.f.ledger.arrivals++
	c.f.ledger.single[arrival] = !w.repeatable
	c.f.ledger.lock.Unlock()
	rec := &simRecorder{header: http.Header{}}
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		rec.serve(node.server.Handler(), r)
	}()
	if c.rng.Intn(15) == 0 {
		time.AfterFunc(time.Duration(c.rng.Intn(1000))*time.Millisecond, cancel)
	}
	select {
	case <-done:
	case <-node.killed:
		return c.note(w, "", "node died")
	}
	latest := began.Add(simDefaultDeadline + simLatestEndAfter)
	if pause := c.f.pausedUntil(node.member.Node).Add(simLatestEndAfter); pause.After(latest) {
		latest = pause
	}
	if time.Now().After(latest) && ctx.Err() == nil {
		c.f.ledger.violated("%s ended after %v", arrival, time.Since(began))
	}
	if ctx.Err() != nil {
		return c.note(w, "", "canceled")
	}
	return c.judge(w, arrival, rec)
}

func (c *caller) note(w *simWork, end dispatch.Outcome, label string) dispatch.Outcome {
	c.f.ledger.lock.Lock()
	defer c.f.ledger.lock.Unlock()
	c.f.ledger.ends[label]++
	w.ends = append(w.ends, end)
	return end
}

// judge checks an end against what the workers counted.
func (c *caller) judge(w *simWork, arrival string, rec *simRecorder) dispatch.Outcome {
	if rec.aborted {
		return c.note(w, dispatch.OutcomeUnknown, "aborted")
	}
	end := dispatch.Outcome(rec.header.Get(HeaderOutcome))
	ran := c.f.ledger.ran(w.id, arrival, w.repeatable)
	switch {
	case rec.headers != 1:
		c.f.ledger.violated("%s has %d ends", arrival, rec.headers)
	case end == dispatch.OutcomeAnswered && string(rec.body) != answerText(w.id):
		c.f.ledger.violated("%s got a part of an answer or another's", arrival)
	case end == dispatch.OutcomeAnswered && ran == 0 && !w.repeatable:
		c.f.ledger.violated("%s got an answer without a run", arrival)
	case end == dispatch.OutcomeNotRun && ran > 0 && !w.copies:
		c.f.ledger.violated("%s was told not-run (%s) but ran", arrival, rec.header.Get(HeaderReason))
	case end != dispatch.OutcomeAnswered && end != dispatch.OutcomeNotRun && end != dispatch.OutcomeUnknown:
		c.f.ledger.violated("%s has no outcome", arrival)
	}
	label := string(end)
	if end != dispatch.OutcomeAnswered {
		label += " " + rec.header.Get(HeaderReason)
	} else if rec.header.Get(HeaderDuplicate) != "" {
		label += " duplicate"
	}
	return c.note(w, end, label)
}

// simRecorder is what a caller gets.
type simRecorder struct {
	header  http.Header
	headers int
	body    []byte
	aborted bool
}

func (r *simRecorder) Header() http.Header { return r.header }

func (r *simRecorder) WriteHeader(int) { r.headers++ }

func (r *simRecorder) Write(p []byte) (int, error) {
	r.body = append(r.body, p...)
	return len(p), nil
}

func (r *simRecorder) serve(h http.Handler, q *http.Request) {
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			r.aborted = true
		default:
			panic(v)
		}
	}()
	h.ServeHTTP(r, q)
}

// simRound plays one round and returns what was counted.
func simRound(seed int64, noClaims bool) *ledger {
	f := newSimFleet(seed)
	f.noClaim = noClaims
	for _, n := range f.all {
		n.server.claims.off = noClaims
	}
	ctx, cancel := context.WithCancel(context.Background())
	var others, callers sync.WaitGroup
	others.Go(func() {
		for ctx.Err() == nil {
			f.push()
			time.Sleep(200 * time.Millisecond)
		}
	})
	for i := range simFaultsAtOnce {
		rng := rand.New(rand.NewSource(seed*100 + int64(i)))
		others.Go(func() { f.faults(ctx, rng) })
	}
	for i := range simCallers {
		c := &caller{f: f, rng: rand.New(rand.NewSource(seed*1000 + int64(i))), name: fmt.Sprintf("c%d-%d", seed, i)}
		callers.Go(c.run)
	}
	callers.Wait()
	cancel()
	others.Wait()
	time.Sleep(simLongestPause)
	f.stop()
	return f.ledger
}

// TestRandomisedRequests plays rounds with two faults at a time. Callers and
// workers count for themselves. WIGEONWINCH_ROUNDS sets the number of rounds,
// WIGEONWINCH_SEED the first seed.
func TestRandomisedRequests(t *testing.T) {
	rounds, seed := simDefaultRounds, int64(1)
	if n, err := strconv.Atoi(os.Getenv("WIGEONWINCH_ROUNDS")); err == nil {
		rounds = n
	}
	if n, err := strconv.ParseInt(os.Getenv("WIGEONWINCH_SEED"), 10, 64); err == nil {
		seed = n
	}
	arrivals, runs := 0, 0
	ends := map[string]int{}
	for i := range int64(rounds) {
		synctest.Test(t, func(t *testing.T) {
			l := simRound(seed+i, false)
			require.Empty(t, l.violations, "seed %d", seed+i)
			arrivals += l.arrivals
			runs += l.runs
			for end, n := range l.ends {
				ends[end] += n
			}
		})
	}
	t.Logf("%d rounds from seed %d: %d requests, %d runs, ends %v", rounds, seed, arrivals, runs, ends)
	require.Greater(t, ends["answered"], arrivals/4, "too few answers to show anything")
}

// TestInvariantsBite switches the claims off: the counts must notice.
func TestInvariantsBite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		require.NotEmpty(t, simRound(1, true).violations)
	})
}
