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
	"wigeonwinch/fleet/structs"
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
	if c.f.pausedAfter(began) {
		latest = latest.Add(simLongestPause)
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

// faults starts one fault after the other until ctx ends.
func (f *simFleet) faults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		heal := f.fault(rng)
		time.Sleep(time.Duration(500+rng.Intn(4000)) * time.Millisecond)
		heal()
		time.Sleep(time.Duration(rng.Intn(1500)) * time.Millisecond)
	}
}

// fault starts one fault and returns what ends it.
func (f *simFleet) fault(rng *rand.Rand) (heal func()) {
	w := f.workers[rng.Intn(len(f.workers))]
	zone := f.zones[rng.Intn(len(f.zones))]
	switch rng.Intn(13) {
	case 0, 1:
		return f.killSome(rng, zone)
	case 2:
		return f.flag(func(on bool) {
			f.cutZones[zone] = on
			f.noLog[zone] = on
		}, func(l *simLink) bool { return zoneOf(l.from) != zoneOf(l.to) })
	case 3:
		return f.flag(func(on bool) { f.noLog[zone] = on }, nil)
	case 4:
		n := f.pickNode(rng)
		return f.flag(func(on bool) { f.cutPeers[n.member.Node] = on }, nil)
	case 5:
		return f.flag(func(on bool) { f.loseCall = on }, nil)
	case 6:
		f.silence(func(l *simLink) bool { return l.to == w.id })
		return func() {}
	case 12:
		return f.pause(rng)
	case 7:
		return f.failWorker(w)
	case 8, 9:
		return f.drain(w, rng.Intn(2) == 0)
	}
	faults := []string{"crossed", "truncated", "lost", "late", "fails"}
	w.set(func() { w.fault = faults[rng.Intn(len(faults))] })
	return func() { w.set(func() { w.fault = "" }) }
}

func (w *simWorker) set(change func()) {
	w.lock.Lock()
	defer w.lock.Unlock()
	change()
}

// flag sets something for a while; connections that match go silent.
func (f *simFleet) flag(set func(on bool), silent func(*simLink) bool) func() {
	f.lock.Lock()
	set(true)
	f.lock.Unlock()
	if silent != nil {
		f.silence(silent)
	}
	return func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		set(false)
	}
}

func (f *simFleet) silence(match func(*simLink) bool) {
	f.wire.each(match, func(c *simConn) { c.silent.Store(true) })
}

// killSome kills one or all nodes of a zone and replaces them later.
func (f *simFleet) killSome(rng *rand.Rand, zone string) func() {
	f.lock.Lock()
	var dying []*simNode
	for _, m := range f.view.Entry[zone].Members {
		n := f.nodes[m.Node]
		if !n.peers.dead.Load() && (len(dying) == 0 || rng.Intn(3) == 0) {
			dying = append(dying, n)
		}
	}
	f.lock.Unlock()
	for _, n := range dying {
		f.kill(n)
	}
	return func() { f.replace(zone) }
}

// pause stops all messages and connections of a node for some seconds, and
// with them its view of the log; then they go on where they were.
func (f *simFleet) pause(rng *rand.Rand) func() {
	n := f.pickNode(rng)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.pauses[n.member.Node] = time.Now().Add(time.Second + time.Duration(rng.Int63n(int64(simLongestPause-time.Second))))
	return func() {}
}

// pausedAfter says whether some node was paused after a time.
func (f *simFleet) pausedAfter(at time.Time) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, until := range f.pauses {
		if until.After(at) {
			return true
		}
	}
	return false
}

// failWorker takes a worker down with all its work, and up again.
func (f *simFleet) failWorker(w *simWorker) func() {
	w.set(func() { w.down, w.failed = true, true })
	f.wire.each(func(l *simLink) bool { return l.to == w.id }, func(c *simConn) { _ = c.Close() })
	return func() { w.set(func() { w.down = false }) }
}

// drain takes a worker out as planned: it may refuse new work itself, and it
// restarts only after every entry node of its zone has acknowledged.
func (f *simFleet) drain(w *simWorker, refuses bool) func() {
	w.set(func() { w.refuses = refuses })
	sequence := f.setVM(w.id, structs.VMDraining)
	return func() {
		for range 200 {
			if f.acknowledged(w, sequence) {
				w.set(func() { w.acked = true })
				time.Sleep(time.Millisecond) // what was canceled now is noticed
				if n := w.busyFromLive(); n > 0 {
					f.ledger.violated("%s has %d in progress after the acknowledged drain", w.id, n)
				}
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		w.set(func() { w.acked, w.refuses = false, false })
		f.setVM(w.id, structs.VMActive)
	}
}

// acknowledged says whether every member of the worker's zone acknowledged.
func (f *simFleet) acknowledged(w *simWorker, sequence uint64) bool {
	f.lock.Lock()
	var members []*simNode
	for _, m := range f.view.Entry[w.zone].Members {
		members = append(members, f.nodes[m.Node])
	}
	f.lock.Unlock()
	for _, n := range members {
		if n.peers.dead.Load() || !n.server.Acknowledge(w.id, sequence) {
			return false
		}
	}
	return true
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

// sendMany sends requests that run for a second each.
func sendMany(node *Server, n int) *sync.WaitGroup {
	var all sync.WaitGroup
	for i := range n {
		r := httptest.NewRequest(http.MethodPut, "/fire", nil)
		r.Header.Set(HeaderRequestID, fmt.Sprintf("w%d", i))
		r.Header.Set(headerRun, "1000")
		all.Go(func() { (&simRecorder{header: http.Header{}}).serve(node.Handler(), r) })
	}
	return &all
}

// TestSpareElsewhere checks that requests which would wait go to a zone that
// has told of free slots.
func TestSpareElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(1)
		a := f.nodes["entry-a1"].server
		time.Sleep(2 * time.Second) // the first summaries
		sendMany(a, 40).Wait()
		elsewhere := uint64(0)
		for _, n := range f.all {
			if n.zone != "a" {
				elsewhere += n.server.Stats().Answered
			}
			require.Zero(t, n.server.Stats().RefusedByWorker)
		}
		require.GreaterOrEqual(t, elsewhere, uint64(8))
		require.GreaterOrEqual(t, a.Stats().Relayed, elsewhere)
		f.stop()
	})
}

// TestSlotsAreLent checks that a busy entry node uses slots of the other's
// share while that one is idle, and that it gives them back.
func TestSlotsAreLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(1)
		f.flag(func(bool) { f.cutZones["a"] = true }, nil)
		node := f.nodes["entry-a1"].server
		borrowed := func() int {
			node.lending.lock.Lock()
			defer node.lending.lock.Unlock()
			total := 0
			for _, w := range f.workers {
				total += node.lending.ledger.Borrowed(w.id)
			}
			return total
		}
		all := sendMany(node, 12) // three workers with four slots
		time.Sleep(600 * time.Millisecond)
		require.Positive(t, borrowed(), "%+v %+v", node.Stats(), f.nodes["entry-a2"].server.Stats())
		all.Wait()
		time.Sleep(10 * time.Second)
		require.Zero(t, borrowed())
		require.Zero(t, node.Stats().RefusedByWorker)
		f.stop()
	})
}
