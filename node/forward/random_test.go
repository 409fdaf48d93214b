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

// The load and the limits of one round.
const (
	simCallers           = 60
	simRequestsPerCaller = 25
	simConcurrentFaults  = 2
	simMaxOverrun        = 5 * time.Second
	simMaxPause          = 9 * time.Second
	simDefaultRounds     = 3
	simDefaultDeadline   = 2 * time.Second
)

// simCaller sends requests and checks the responses.
type simCaller struct {
	f    *simFleet
	rng  *rand.Rand
	name string
	sent int
}

// simRequest is one request, which may be sent several times with the same
// ID.
type simRequest struct {
	id         string
	repeatable bool
	header     http.Header
	// withoutIssueTime is set when the ID has no issue time. A retry is then
	// safe only within the claim horizon.
	withoutIssueTime bool
	// duplicated is set when two copies were in progress at the same time.
	duplicated bool
	outcomes   []dispatch.Outcome
}

func (c *simCaller) run() {
	for i := range simRequestsPerCaller {
		time.Sleep(time.Duration(c.rng.Intn(600)) * time.Millisecond)
		c.sendUntilAnswered(c.newRequest(i))
	}
}

func (c *simCaller) newRequest(i int) *simRequest {
	req := &simRequest{repeatable: c.rng.Intn(3) == 0, header: http.Header{}}
	req.id = fmt.Sprintf("%s-%d", c.name, i)
	switch c.rng.Intn(10) {
	case 0:
		req.withoutIssueTime = true
	case 1, 2:
		req.header.Set(HeaderIssuedAt, time.Now().Format(time.RFC3339Nano))
	default:
		req.id = uuidV7(time.Now(), c.rng)
	}
	runMS := c.rng.Intn(100)
	if c.rng.Intn(20) == 0 {
		runMS = c.rng.Intn(5000)
	}
	req.header.Set(HeaderRequestID, req.id)
	req.header.Set(HeaderRepeatable, yesNo(req.repeatable))
	req.header.Set(headerRun, strconv.Itoa(runMS))
	if !req.repeatable {
		c.f.ledger.lock.Lock()
		c.f.ledger.runOnce[req.id] = true
		c.f.ledger.lock.Unlock()
	}
	return req
}

// uuidV7 generates an ID. uuid.NewV7 is not used because it remembers its
// latest timestamp across all synctest bubbles.
func uuidV7(now time.Time, rng *rand.Rand) string {
	var id uuid.UUID
	_, _ = rng.Read(id[6:])
	binary.BigEndian.PutUint32(id[:4], uint32(now.UnixMilli()>>16))
	binary.BigEndian.PutUint16(id[4:6], uint16(now.UnixMilli()))
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// sendUntilAnswered sends a request until it is answered, at most five times.
func (c *simCaller) sendUntilAnswered(req *simRequest) {
	for range 5 {
		if c.rng.Intn(8) == 0 {
			req.duplicated = true
			var both sync.WaitGroup
			other := &simCaller{f: c.f, rng: rand.New(rand.NewSource(c.rng.Int63())), name: c.name + "'", sent: 1000 * c.sent}
			both.Go(func() { other.send(req) })
			both.Go(func() { c.send(req) })
			both.Wait()
			c.sent++
		} else if c.send(req) == dispatch.OutcomeAnswered {
			break
		}
		if c.rng.Intn(3) == 0 {
			break
		}
		time.Sleep(time.Duration(c.rng.Intn(3000)) * time.Millisecond)
		if c.rng.Intn(50) == 0 && !req.withoutIssueTime {
			time.Sleep(40 * time.Second)
		}
	}
	c.f.ledger.lock.Lock()
	defer c.f.ledger.lock.Unlock()
	for _, outcome := range req.outcomes {
		if outcome != dispatch.OutcomeNotRun {
			return
		}
	}
	if len(req.outcomes) > 0 && !req.repeatable && c.f.ledger.byID[req.id] > 0 {
		c.f.ledger.violations = append(c.f.ledger.violations, "the only outcome was not-run, but it ran: "+req.id)
	}
}

// send sends one copy and returns its outcome, or an empty one when the node
// died or the caller canceled the request.
func (c *simCaller) send(req *simRequest) dispatch.Outcome {
	c.sent++
	node := c.f.pickNode(c.rng)
	arrival := fmt.Sprintf("%s/%s/%d", req.id, c.name, c.sent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/fire", nil)
	r.Header = req.header.Clone()
	r.Header.Set(headerArrival, arrival)
	c.f.ledger.lock.Lock()
	c.f.ledger.arrivals++
	c.f.ledger.runOnce[arrival] = !req.repeatable
	c.f.ledger.lock.Unlock()
	rec := &responseRecorder{header: http.Header{}}
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
		return c.recordOutcome(req, "", "node died")
	}
	latest := began.Add(simDefaultDeadline + simMaxOverrun)
	if pauseEnd := c.f.pausedUntil(node.member.Node).Add(simMaxOverrun); pauseEnd.After(latest) {
		latest = pauseEnd
	}
	if time.Now().After(latest) && ctx.Err() == nil {
		c.f.ledger.addViolation("%s finished after %v", arrival, time.Since(began))
	}
	if ctx.Err() != nil {
		return c.recordOutcome(req, "", "canceled")
	}
	return c.checkAnswer(req, arrival, rec)
}

func (c *simCaller) recordOutcome(req *simRequest, outcome dispatch.Outcome, label string) dispatch.Outcome {
	c.f.ledger.lock.Lock()
	defer c.f.ledger.lock.Unlock()
	c.f.ledger.outcomes[label]++
	req.outcomes = append(req.outcomes, outcome)
	return outcome
}

// checkAnswer checks a response against the runs that the workers counted.
func (c *simCaller) checkAnswer(req *simRequest, arrival string, rec *responseRecorder) dispatch.Outcome {
	if rec.aborted {
		return c.recordOutcome(req, dispatch.OutcomeUnknown, "aborted")
	}
	outcome := dispatch.Outcome(rec.header.Get(HeaderOutcome))
	ran := c.f.ledger.runCount(req.id, arrival, req.repeatable)
	switch {
	case rec.headerWrites != 1:
		c.f.ledger.addViolation("%s got %d responses", arrival, rec.headerWrites)
	case outcome == dispatch.OutcomeAnswered && string(rec.body) != answerText(req.id):
		c.f.ledger.addViolation("%s got a truncated answer or that of another request", arrival)
	case outcome == dispatch.OutcomeAnswered && ran == 0 && !req.repeatable:
		c.f.ledger.addViolation("%s got an answer without a run", arrival)
	case outcome == dispatch.OutcomeNotRun && ran > 0 && !req.duplicated:
		c.f.ledger.addViolation("%s got the outcome not-run (%s) but ran", arrival, rec.header.Get(HeaderReason))
	case outcome != dispatch.OutcomeAnswered && outcome != dispatch.OutcomeNotRun && outcome != dispatch.OutcomeUnknown:
		c.f.ledger.addViolation("%s has no outcome", arrival)
	}
	label := string(outcome)
	if outcome != dispatch.OutcomeAnswered {
		label += " " + rec.header.Get(HeaderReason)
	} else if rec.header.Get(HeaderDuplicate) != "" {
		label += " duplicate"
	}
	return c.recordOutcome(req, outcome, label)
}

// responseRecorder records the response that a caller gets.
type responseRecorder struct {
	header       http.Header
	headerWrites int
	body         []byte
	aborted      bool
}

func (r *responseRecorder) Header() http.Header { return r.header }

func (r *responseRecorder) WriteHeader(int) { r.headerWrites++ }

func (r *responseRecorder) Write(p []byte) (int, error) {
	r.body = append(r.body, p...)
	return len(p), nil
}

func (r *responseRecorder) serve(h http.Handler, q *http.Request) {
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

// runSimRound runs one round and returns its ledger.
func runSimRound(seed int64, noClaims bool) *runLedger {
	f := newSimFleet(seed)
	f.claimsDisabled = noClaims
	for _, n := range f.all {
		n.server.claims.disabled = noClaims
	}
	ctx, cancel := context.WithCancel(context.Background())
	var background, callers sync.WaitGroup
	background.Go(func() {
		for ctx.Err() == nil {
			f.publishView()
			time.Sleep(200 * time.Millisecond)
		}
	})
	for i := range simConcurrentFaults {
		rng := rand.New(rand.NewSource(seed*100 + int64(i)))
		background.Go(func() { f.injectFaults(ctx, rng) })
	}
	for i := range simCallers {
		c := &simCaller{f: f, rng: rand.New(rand.NewSource(seed*1000 + int64(i))), name: fmt.Sprintf("c%d-%d", seed, i)}
		callers.Go(c.run)
	}
	callers.Wait()
	cancel()
	background.Wait()
	time.Sleep(simMaxPause)
	f.stop()
	return f.ledger
}

// TestRandomisedRequests runs rounds with two faults at a time. Callers and
// workers count runs and outcomes independently of the servers.
// WIGEONWINCH_ROUNDS sets the number of rounds, WIGEONWINCH_SEED the first
// seed.
func TestRandomisedRequests(t *testing.T) {
	rounds, seed := simDefaultRounds, int64(1)
	if n, err := strconv.Atoi(os.Getenv("WIGEONWINCH_ROUNDS")); err == nil {
		rounds = n
	}
	if n, err := strconv.ParseInt(os.Getenv("WIGEONWINCH_SEED"), 10, 64); err == nil {
		seed = n
	}
	arrivals, runs := 0, 0
	outcomes := map[string]int{}
	for i := range int64(rounds) {
		synctest.Test(t, func(t *testing.T) {
			l := runSimRound(seed+i, false)
			require.Empty(t, l.violations, "seed %d", seed+i)
			arrivals += l.arrivals
			runs += l.runs
			for end, n := range l.outcomes {
				outcomes[end] += n
			}
		})
	}
	t.Logf("%d rounds from seed %d: %d requests, %d runs, outcomes %v", rounds, seed, arrivals, runs, outcomes)
	require.Greater(t, outcomes["answered"], arrivals/4, "too few answers for a meaningful result")
}

// TestInvariantsDetectDisabledClaims checks that the ledger detects violations
// when claims are disabled.
func TestInvariantsDetectDisabledClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		require.NotEmpty(t, runSimRound(1, true).violations)
	})
}
