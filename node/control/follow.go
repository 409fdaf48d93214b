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

// logFacts is what the owner goroutine knows of the platform's log.
type logFacts struct {
	first structs.Offset
	next  structs.Offset
	// tailAskedAt is when the read was sent that last found the tail folded.
	tailAskedAt time.Time
	// answeredAt is when the log last answered a read.
	answeredAt time.Time
	// lost says that the last read failed; lostSince is when that began.
	lost      bool
	lostSince time.Time
	failures  int
	// behind says that the log's tail lies before what this node has folded:
	// it has lost records, or another log answers.
	behind bool
	// uncovered says that neither the kept records nor a snapshot in them
	// continue this node's state.
	uncovered bool
}

// follow reads the log and hands its records to the owner goroutine.
func (l *Loop) follow(ctx context.Context) {
	f := follower{loop: l, max: maxReadEntries, backoff: newBackoff(l.cfg)}
	for ctx.Err() == nil {
		f.step(ctx)
	}
}

// follower is the state of the goroutine that reads the log.
type follower struct {
	loop    *Loop
	max     int
	backoff *backoff
	// wait is how long the next read waits at the tail: not at all until the
	// log has answered, so that the tail is known soon.
	wait time.Duration
}

func (f *follower) step(ctx context.Context) {
	var from structs.Offset
	if !f.loop.ask(ctx, func() { from = f.loop.fold.Next() }) {
		return
	}
	asked := time.Now()
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
		f.failed(ctx, err)
		return
	}
	f.backoff.reset()
	f.max = maxReadEntries
	f.wait = f.loop.cfg.Intervals.ReadWait
	f.loop.ask(ctx, func() { f.loop.batchRead(from, asked, batch) })
}

// read reads from an offset with a bound on the time.
func (f *follower) read(ctx context.Context, from structs.Offset) (infra.Batch, error) {
	intervals := f.loop.cfg.Intervals
	readCtx, cancel := context.WithTimeout(ctx, f.wait+intervals.ReadGrace)
	defer cancel()
	batch, err := f.loop.cfg.Log.Read(readCtx, from, f.max, f.wait)
	if err == nil && readCtx.Err() != nil {
		err = readCtx.Err()
	}
	return batch, err
}

func (f *follower) failed(ctx context.Context, err error) {
	f.max = max(1, f.max/2)
	f.wait = 0
	f.loop.post(ctx, func() { f.loop.readFailed(err) })
	pause.For(ctx, f.backoff.next())
}

// batchRead folds what the log returned.
func (l *Loop) batchRead(from structs.Offset, asked time.Time, batch infra.Batch) {
	now := time.Now()
	if l.log.lost {
		l.cfg.Events.Record(events.LogBack, events.Fields{Offset: batch.Next})
	}
	l.log.lost = false
	l.log.failures = 0
	l.log.uncovered = false
	l.log.answeredAt = now
	l.log.first = batch.First
	l.log.next = batch.Next
	behind := batch.Next < from
	if behind && !l.log.behind {
		l.cfg.Events.Record(events.LogBehind, events.Fields{Offset: batch.Next})
	}
	l.log.behind = behind
	if len(batch.Entries) > 0 {
		l.foldBatch(batch.Entries)
	}
	if l.view.Load() == nil {
		l.changed()
	}
	if l.fold.Next() >= batch.Next && batch.Next >= from {
		l.log.tailAskedAt = asked
		l.tailReadAt.Store(&asked)
		l.ready.sawTail = true
		l.judgeReadiness(now)
		l.publishFence()
	}
	l.publishStatus()
}

func (l *Loop) foldBatch(entries []infra.Entry) {
	data := make([][]byte, 0, len(entries))
	for i, entry := range entries {
		if entry.Offset != entries[0].Offset+structs.Offset(i) {
			break
		}
		data = append(data, entry.Data)
	}
	l.foldRun(entries[0].Offset, data)
}

func (l *Loop) readFailed(err error) {
	l.log.failures++
	if !l.log.lost {
		l.log.lost = true
		l.log.lostSince = time.Now()
		l.cfg.Events.Record(events.LogLost, events.Fields{Err: err})
		l.exchangeAll()
	}
	if errors.Is(err, errNoSnapshot) && !l.log.uncovered {
		l.log.uncovered = true
		l.cfg.Events.Record(events.LogUncovered, events.Fields{Offset: l.fold.Next(), Err: err})
	}
	l.judgeReadiness(time.Now())
	l.publishStatus()
}

// backoff is a pause that doubles after each failure, with jitter.
type backoff struct {
	min, max time.Duration
	pause    time.Duration
	random   *rand.Rand
}

func newBackoff(cfg Config) *backoff {
	return &backoff{
		min:    cfg.Intervals.MinBackoff,
		max:    cfg.Intervals.MaxBackoff,
		random: rand.New(rand.NewPCG(nameSeed(cfg.Node), cfg.Incarnation+1)),
	}
}

func (b *backoff) reset() { b.pause = 0 }

func (b *backoff) next() time.Duration {
	b.pause = min(b.max, max(b.min, 2*b.pause))
	return b.pause/2 + time.Duration(b.random.Int64N(int64(b.pause/2)+1))
}
