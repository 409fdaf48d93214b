package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/node/events"
	"wigeonwinch/node/pause"
)

// maxReadEntries bounds the records of one read.
const maxReadEntries = 256

// logState is what the owner goroutine knows about the platform's log.
type logState struct {
	firstOffset structs.Offset
	tailOffset  structs.Offset
	// tailReadSentAt is the time at which this node sent the newest read that
	// reached the log's tail. The state includes everything that the read
	// returned.
	tailReadSentAt time.Time
	// answeredAt is when the log last answered a read.
	answeredAt time.Time
	// unreachable is set while reads fail; unreachableSince is when that
	// began.
	unreachable      bool
	unreachableSince time.Time
	failures         int
	// behind is set while the log's tail is before the offset of this node's
	// state. The log has lost records, or another log answers.
	behind bool
	// uncovered is set while the log holds neither the records that follow
	// this node's state nor a snapshot that replaces them.
	uncovered bool
}

// followLog reads the log and posts its records to the owner goroutine until
// ctx ends.
func (l *Loop) followLog(ctx context.Context) {
	f := logFollower{loop: l, max: maxReadEntries, backoff: newBackoff(l.cfg)}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

// logFollower is the state of the goroutine that reads the log.
type logFollower struct {
	loop    *Loop
	max     int
	backoff *backoff
	// tailWait is how long the next read waits for records at the tail. It is
	// zero until the log has answered, so that the node learns the tail early.
	tailWait time.Duration
}

func (f *logFollower) step(ctx context.Context) {
	var from structs.Offset
	if !f.loop.postAndWait(ctx, func() { from = f.loop.state.Next() }) {
		return
	}
	sentAt := time.Now()
	batch, err := f.read(ctx, from)
	if ctx.Err() != nil {
		return
	}
	if infra.KindOf(err) == infra.KindTrimmed {
		err = f.catchUp(ctx, from)
		if err == nil {
			return
		}
	}
	if err != nil {
		f.handleError(ctx, err)
		return
	}
	f.backoff.reset()
	f.max = maxReadEntries
	f.tailWait = f.loop.cfg.Intervals.ReadWait
	f.loop.postAndWait(ctx, func() { f.loop.handleBatch(from, sentAt, batch) })
}

// read reads from the log at an offset, with a timeout.
func (f *logFollower) read(ctx context.Context, from structs.Offset) (infra.Batch, error) {
	intervals := f.loop.cfg.Intervals
	readCtx, cancel := context.WithTimeout(ctx, f.tailWait+intervals.ReadGrace)
	defer cancel()
	batch, err := f.loop.cfg.Log.Read(readCtx, from, f.max, f.tailWait)
	if err == nil && readCtx.Err() != nil {
		err = readCtx.Err()
	}
	return batch, err
}

func (f *logFollower) handleError(ctx context.Context, err error) {
	f.max = max(1, f.max/2)
	f.tailWait = 0
	f.loop.post(ctx, func() { f.loop.handleReadFailure(err) })
	pause.For(ctx, f.backoff.next())
}

// handleBatch applies the records of a successful read.
func (l *Loop) handleBatch(from structs.Offset, sentAt time.Time, batch infra.Batch) {
	now := time.Now()
	if l.log.unreachable {
		l.cfg.Events.Record(events.LogBack, events.Fields{Offset: batch.Next})
	}
	l.log.unreachable = false
	l.log.failures = 0
	l.log.uncovered = false
	l.log.answeredAt = now
	l.log.firstOffset = batch.First
	l.log.tailOffset = batch.Next
	behind := batch.Next < from
	if behind && !l.log.behind {
		l.cfg.Events.Record(events.LogBehind, events.Fields{Offset: batch.Next})
	}
	l.log.behind = behind
	if len(batch.Entries) > 0 {
		l.applyBatch(batch.Entries)
	}
	if l.view.Load() == nil {
		l.publishUpdate()
	}
	if l.state.Next() >= batch.Next && batch.Next >= from {
		l.log.tailReadSentAt = sentAt
		l.tailReadAt.Store(&sentAt)
		l.ready.tailApplied = true
		l.updateReadiness(now)
		l.publishFreshness()
	}
	l.publishStatus()
}

func (l *Loop) applyBatch(entries []infra.Entry) {
	data := make([][]byte, 0, len(entries))
	for i, entry := range entries {
		if entry.Offset != entries[0].Offset+structs.Offset(i) {
			break
		}
		data = append(data, entry.Data)
	}
	l.applyRecords(entries[0].Offset, data)
}

func (l *Loop) handleReadFailure(err error) {
	l.log.failures++
	if !l.log.unreachable {
		l.log.unreachable = true
		l.log.unreachableSince = time.Now()
		l.cfg.Events.Record(events.LogLost, events.Fields{Err: err})
		l.makeExchangesDue()
	}
	if errors.Is(err, errNoSnapshot) && !l.log.uncovered {
		l.log.uncovered = true
		l.cfg.Events.Record(events.LogUncovered, events.Fields{Offset: l.state.Next(), Err: err})
	}
	l.updateReadiness(time.Now())
	l.publishStatus()
}

// backoff computes delays that double after each failure, with jitter.
type backoff struct {
	min, max time.Duration
	delay    time.Duration
	random   *rand.Rand
}

func newBackoff(cfg Config) *backoff {
	return &backoff{
		min:    cfg.Intervals.MinBackoff,
		max:    cfg.Intervals.MaxBackoff,
		random: rand.New(rand.NewPCG(nameSeed(cfg.Node), cfg.Incarnation+1)),
	}
}

func (b *backoff) reset() { b.delay = 0 }

func (b *backoff) next() time.Duration {
	b.delay = min(b.max, max(b.min, 2*b.delay))
	return b.delay/2 + time.Duration(b.random.Int64N(int64(b.delay/2)+1))
}
