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

// Bounds of one append and of the records that wait for one.
const (
	maxAppendRecords = 64
	maxAppendBytes   = 1 << 20
	maxWaiting       = 2048
)

// Pauses before a record is appended again with the same key.
const (
	// resolveAfter applies when the answer was lost.
	resolveAfter = 3 * time.Second
	// confirmAfter applies when the log has confirmed the append.
	confirmAfter = 2 * time.Minute
)

var (
	errTooManyWaiting = errors.New("too many records wait to be appended")
	errWithdrawn      = errors.New("the record was withdrawn before it was appended")
)

// waiter is a record that waits for its verdict.
type waiter struct {
	key  string
	data []byte
	done chan struct{}
	// result holds the verdict or the error once done is closed.
	verdict structs.Verdict
	err     error
	// tried says that the record may be in the log.
	tried bool
	// notBefore is when the record is appended next.
	notBefore time.Time
	// lastError is why the last append failed.
	lastError error
}

// appender appends records in batches and resolves lost answers by key: a
// record is appended again until the fold has met its key.
type appender struct {
	loop    *Loop
	backoff *backoff
	wake    chan struct{}

	mu      sync.Mutex
	serial  uint64
	waiting map[string]*waiter
	order   []*waiter
}

func newAppender(l *Loop) *appender {
	return &appender{
		loop:    l,
		backoff: newBackoff(l.cfg),
		wake:    make(chan struct{}, 1),
		waiting: make(map[string]*waiter),
	}
}

// Append appends a record and waits for what the fold makes of it. A record
// without a key gets one. When ctx ends first, the error says whether the
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
		return structs.Verdict{}, refused(rec.Key, err)
	}
	if verdict, ok := l.Lookup(rec.Key); ok {
		return verdict, nil
	}
	w, err := l.appends.add(rec.Key, data)
	if err != nil {
		return structs.Verdict{}, err
	}
	select {
	case <-w.done:
		return w.verdict, w.err
	case <-ctx.Done():
		return structs.Verdict{}, l.appends.abandon(w, ctx.Err())
	case <-l.done:
		return structs.Verdict{}, stopped(rec.Key)
	}
}

// CheckPublish lists everything that speaks against a publish as of now and
// changes nothing.
func (l *Loop) CheckPublish(ctx context.Context, p *structs.Publish) []*state.Refusal {
	var list []*state.Refusal
	l.ask(ctx, func() { list = l.fold.CheckPublish(p) })
	return list
}

// submit appends a record without waiting for the verdict.
func (l *Loop) submit(rec structs.Record) {
	if rec.Writer == "" {
		rec.Writer = l.cfg.Node
	}
	data, err := structs.EncodeRecord(rec)
	if err == nil {
		_, err = l.appends.add(rec.Key, data)
	}
	if err != nil {
		l.cfg.Events.Record(events.AppendFailed, events.Fields{Detail: rec.Key, Err: err})
	}
}

func (a *appender) newKey() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serial++
	return fmt.Sprintf("%s/%d/%d", a.loop.cfg.Node, a.loop.cfg.Incarnation, a.serial)
}

// add queues a record. A key that already waits shares its waiter.
func (a *appender) add(key string, data []byte) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w, ok := a.waiting[key]; ok {
		return w, nil
	}
	if len(a.order) >= maxWaiting {
		return nil, notAppended(key, errTooManyWaiting)
	}
	w := &waiter{key: key, data: data, done: make(chan struct{})}
	a.waiting[key] = w
	a.order = append(a.order, w)
	a.signal()
	return w, nil
}

func (a *appender) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// isWaiting says whether a record with the key waits for its verdict.
func (a *appender) isWaiting(key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.waiting[key]
	return ok
}

// folded ends the wait of the record that the fold has met.
func (a *appender) folded(verdict structs.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w, ok := a.waiting[verdict.Key]; ok {
		a.finish(w, verdict, nil)
	}
}

// finish ends a wait; a.mu is held.
func (a *appender) finish(w *waiter, verdict structs.Verdict, err error) {
	delete(a.waiting, w.key)
	for i, other := range a.order {
		if other == w {
			a.order = append(a.order[:i], a.order[i+1:]...)
			break
		}
	}
	w.verdict = verdict
	w.err = err
	close(w.done)
}

// abandon ends a wait whose caller has gone.
func (a *appender) abandon(w *waiter, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.lastError != nil {
		cause = errors.WithMessage(w.lastError, cause.Error())
	}
	err := notAppended(w.key, cause)
	if w.tried {
		err = notKnown(w.key, cause)
	}
	if _, ok := a.waiting[w.key]; ok {
		a.finish(w, structs.Verdict{}, err)
	}
	return err
}

// withdraw drops a record that is not in the log and will not be. It returns
// false when the record may be there.
func (a *appender) withdraw(key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.waiting[key]
	if !ok || w.tried {
		return false
	}
	a.finish(w, structs.Verdict{}, notAppended(key, errWithdrawn))
	return true
}

// retryAll makes all waiting records due: a state was adopted that may have
// met their keys, and only another append tells.
func (a *appender) retryAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.order {
		w.notBefore = time.Time{}
	}
	a.signal()
}

// run appends what waits until ctx ends.
func (a *appender) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch, pause := a.due(time.Now())
		if len(batch) == 0 {
			a.pause(ctx, pause)
			continue
		}
		a.append(ctx, batch)
	}
}

func (a *appender) pause(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-a.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// due returns the records to append now, or how long to wait for the next.
func (a *appender) due(now time.Time) ([]*waiter, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var batch []*waiter
	bytes := 0
	pause := time.Minute
	for _, w := range a.order {
		if w.notBefore.After(now) {
			pause = min(pause, w.notBefore.Sub(now))
			continue
		}
		bytes += len(w.data)
		if len(batch) >= maxAppendRecords || len(batch) > 0 && bytes > maxAppendBytes {
			break
		}
		batch = append(batch, w)
	}
	return batch, pause
}

func (a *appender) append(ctx context.Context, batch []*waiter) {
	batch, marked := a.mark(batch)
	if len(batch) == 0 {
		return
	}
	entries := make([][]byte, 0, len(batch))
	for _, w := range batch {
		entries = append(entries, w.data)
	}
	a.appended(batch, marked, a.loop.appendAnyWay(ctx, entries))
}

// mark notes that the records that still wait may be in the log from now on,
// and returns them with what was noted before.
func (a *appender) mark(batch []*waiter) ([]*waiter, []bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var waiting []*waiter
	var marked []bool
	for _, w := range batch {
		if a.waiting[w.key] != w {
			continue
		}
		waiting = append(waiting, w)
		marked = append(marked, w.tried)
		w.tried = true
	}
	return waiting, marked
}

// appended notes the answer to an append. A refused or unavailable append
// changed nothing, any other error may have.
func (a *appender) appended(batch []*waiter, marked []bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kind := infra.KindOf(err)
	retryAt := time.Now().Add(a.retryAfter(err))
	for i, w := range batch {
		w.notBefore = retryAt
		w.lastError = err
		if kind == infra.KindUnavailable || kind == infra.KindRateLimited || kind == infra.KindRefused {
			w.tried = marked[i]
		}
		if _, waits := a.waiting[w.key]; waits && kind == infra.KindRefused && !w.tried {
			a.finish(w, structs.Verdict{}, refused(w.key, err))
		}
	}
}

func (a *appender) retryAfter(err error) time.Duration {
	if err == nil {
		a.backoff.reset()
		return confirmAfter
	}
	pause := a.backoff.next()
	if infra.KindOf(err) == infra.KindUnknown {
		pause = max(pause, resolveAfter)
	}
	return pause
}
