package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/node/events"
)

// Limits of one append and of the queue of records that have no verdict yet.
const (
	maxAppendRecords  = 64
	maxAppendBytes    = 1 << 20
	maxPendingRecords = 2048
)

// Delays before a record is appended again with the same key.
const (
	// unconfirmedRetryDelay is the minimum delay after the answer to an append
	// was lost.
	unconfirmedRetryDelay = 3 * time.Second
	// confirmedRetryDelay is the delay after the log has confirmed the append.
	confirmedRetryDelay = 2 * time.Minute
)

var (
	errAppendQueueFull = errors.New("the append queue is full")
	errWithdrawn       = errors.New("the record was withdrawn before it was appended")
)

// pendingRecord is a queued record that has no verdict yet.
type pendingRecord struct {
	key  string
	data []byte
	done chan struct{}
	// verdict and err hold the result once done is closed.
	verdict structs.Verdict
	err     error
	// mayBeInLog is set once an append may have written the record to the log.
	mayBeInLog bool
	// nextAttempt is the earliest time of the next append.
	nextAttempt time.Time
	// lastError is the error of the last append.
	lastError error
}

// appender appends records in batches. It resolves lost answers by key: a
// record is appended again until a record with its key has been applied to the
// state.
type appender struct {
	loop    *Loop
	backoff *backoff
	wake    chan struct{}

	mu            sync.Mutex
	lastKeyNumber uint64
	pending       map[string]*pendingRecord
	queue         []*pendingRecord
}

func newAppender(l *Loop) *appender {
	return &appender{
		loop:    l,
		backoff: newBackoff(l.cfg),
		wake:    make(chan struct{}, 1),
		pending: make(map[string]*pendingRecord),
	}
}

// Append appends a record and waits for its verdict. A record without a key is
// given one. When ctx ends first, the kind of the error tells whether the
// record may be in the log.
func (l *Loop) Append(ctx context.Context, rec structs.Record) (structs.Verdict, error) {
	if rec.Writer == "" {
		rec.Writer = l.cfg.Node
	}
	if rec.Key == "" {
		rec.Key = l.appends.newKey()
	}
	data, err := structs.EncodeRecord(rec)
	if err != nil {
		return structs.Verdict{}, refusedError(rec.Key, err)
	}
	if verdict, ok := l.Lookup(rec.Key); ok {
		return verdict, nil
	}
	p, err := l.appends.enqueue(rec.Key, data)
	if err != nil {
		return structs.Verdict{}, err
	}
	select {
	case <-p.done:
		return p.verdict, p.err
	case <-ctx.Done():
		return structs.Verdict{}, l.appends.abandon(p, ctx.Err())
	case <-l.done:
		return structs.Verdict{}, stoppedError(rec.Key)
	}
}

// CheckPublish checks a publish against the present state without changing it
// and returns every reason for which it would be refused.
func (l *Loop) CheckPublish(ctx context.Context, p *structs.Publish) []*state.Refusal {
	var list []*state.Refusal
	l.postAndWait(ctx, func() { list = l.state.CheckPublish(p) })
	return list
}

// submit queues a record for appending and does not wait for its verdict.
func (l *Loop) submit(rec structs.Record) {
	if rec.Writer == "" {
		rec.Writer = l.cfg.Node
	}
	data, err := structs.EncodeRecord(rec)
	if err == nil {
		_, err = l.appends.enqueue(rec.Key, data)
	}
	if err != nil {
		l.cfg.Events.Record(events.AppendFailed, events.Fields{Detail: rec.Key, Err: err})
	}
}

func (a *appender) newKey() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastKeyNumber++
	return fmt.Sprintf("%s/%d/%d", a.loop.cfg.Node, a.loop.cfg.Incarnation, a.lastKeyNumber)
}

// enqueue adds a record to the queue. If a record with the same key is pending
// already, it returns that one.
func (a *appender) enqueue(key string, data []byte) (*pendingRecord, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.pending[key]; ok {
		return p, nil
	}
	if len(a.queue) >= maxPendingRecords {
		return nil, notAppendedError(key, errAppendQueueFull)
	}
	p := &pendingRecord{key: key, data: data, done: make(chan struct{})}
	a.pending[key] = p
	a.queue = append(a.queue, p)
	a.notify()
	return p, nil
}

func (a *appender) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// isPending reports whether a record with the key has no verdict yet.
func (a *appender) isPending(key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.pending[key]
	return ok
}

// resolve completes the pending record whose key has been applied to the
// state.
func (a *appender) resolve(verdict structs.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.pending[verdict.Key]; ok {
		a.complete(p, verdict, nil)
	}
}

// complete removes a record from the queue and sets its result. The caller
// holds a.mu.
func (a *appender) complete(p *pendingRecord, verdict structs.Verdict, err error) {
	delete(a.pending, p.key)
	for i, queued := range a.queue {
		if queued == p {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			break
		}
	}
	p.verdict = verdict
	p.err = err
	close(p.done)
}

// abandon removes a record whose caller no longer waits, and returns the error
// for the caller.
func (a *appender) abandon(p *pendingRecord, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.lastError != nil {
		cause = errors.WithMessage(p.lastError, cause.Error())
	}
	err := notAppendedError(p.key, cause)
	if p.mayBeInLog {
		err = notKnownError(p.key, cause)
	}
	if _, ok := a.pending[p.key]; ok {
		a.complete(p, structs.Verdict{}, err)
	}
	return err
}

// withdraw removes a record that has not been written to the log. It returns
// false if no such record is pending or if it may be in the log.
func (a *appender) withdraw(key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.pending[key]
	if !ok || p.mayBeInLog {
		return false
	}
	a.complete(p, structs.Verdict{}, notAppendedError(key, errWithdrawn))
	return true
}

// retryAllNow makes all pending records due. It is called after a whole state
// was adopted: that state may include their keys, but only another append
// yields the verdicts.
func (a *appender) retryAllNow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.queue {
		p.nextAttempt = time.Time{}
	}
	a.notify()
}

// run appends pending records until ctx ends.
func (a *appender) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch, wait := a.nextBatch(time.Now())
		if len(batch) == 0 {
			a.wait(ctx, wait)
			continue
		}
		a.append(ctx, batch)
	}
}

func (a *appender) wait(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-a.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextBatch returns the records to append now. If none is due, it returns how
// long to wait for the next one.
func (a *appender) nextBatch(now time.Time) ([]*pendingRecord, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var batch []*pendingRecord
	bytes := 0
	wait := time.Minute
	for _, p := range a.queue {
		if p.nextAttempt.After(now) {
			wait = min(wait, p.nextAttempt.Sub(now))
			continue
		}
		bytes += len(p.data)
		if len(batch) >= maxAppendRecords || len(batch) > 0 && bytes > maxAppendBytes {
			break
		}
		batch = append(batch, p)
	}
	return batch, wait
}

func (a *appender) append(ctx context.Context, batch []*pendingRecord) {
	batch, wasMaybeInLog := a.markAttempted(batch)
	if len(batch) == 0 {
		return
	}
	entries := make([][]byte, 0, len(batch))
	for _, p := range batch {
		entries = append(entries, p.data)
	}
	a.handleResult(batch, wasMaybeInLog, a.loop.appendDirectOrRelayed(ctx, entries))
}

// markAttempted sets mayBeInLog on the records of a batch that are still
// pending. It returns these records with the earlier values of mayBeInLog.
func (a *appender) markAttempted(batch []*pendingRecord) ([]*pendingRecord, []bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var pending []*pendingRecord
	var wasMaybeInLog []bool
	for _, p := range batch {
		if a.pending[p.key] != p {
			continue
		}
		pending = append(pending, p)
		wasMaybeInLog = append(wasMaybeInLog, p.mayBeInLog)
		p.mayBeInLog = true
	}
	return pending, wasMaybeInLog
}

// handleResult records the result of an append. A refused, rate-limited or
// unavailable append wrote nothing; after any other error the records may be
// in the log.
func (a *appender) handleResult(batch []*pendingRecord, wasMaybeInLog []bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kind := infra.KindOf(err)
	retryAt := time.Now().Add(a.retryDelay(err))
	for i, p := range batch {
		p.nextAttempt = retryAt
		p.lastError = err
		if kind == infra.KindUnavailable || kind == infra.KindRateLimited || kind == infra.KindRefused {
			p.mayBeInLog = wasMaybeInLog[i]
		}
		if _, pending := a.pending[p.key]; pending && kind == infra.KindRefused && !p.mayBeInLog {
			a.complete(p, structs.Verdict{}, refusedError(p.key, err))
		}
	}
}

func (a *appender) retryDelay(err error) time.Duration {
	if err == nil {
		a.backoff.reset()
		return confirmedRetryDelay
	}
	delay := a.backoff.next()
	if infra.KindOf(err) == infra.KindUnknown {
		delay = max(delay, unconfirmedRetryDelay)
	}
	return delay
}
