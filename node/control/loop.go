package control

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// inboxSize bounds the functions that wait for the owner goroutine.
const inboxSize = 256

// Loop is a node's control loop. Its exported methods are safe for concurrent
// use.
type Loop struct {
	cfg   Config
	inbox chan func()
	done  chan struct{}
	group sync.WaitGroup
	view  atomic.Pointer[structs.View]
	// tailReadAt is logFacts.tailAskedAt for other goroutines.
	tailReadAt atomic.Pointer[time.Time]
	fence      atomic.Pointer[fenceFacts]
	state      atomic.Pointer[Status]

	appends *appender
	acts    *actor

	// All fields below belong to the owner goroutine.
	fold     *state.State
	history  history
	outcomes outcomes
	random   *rand.Rand
	log      logFacts
	peers    map[string]*peerFacts
	zones    map[string]*zoneFacts
	member   memberFacts
	planner  plannerFacts
	observed observations
	// jitter is added to the time between two reads of the VM list.
	jitter    time.Duration
	ready     readiness
	snapshots snapshotFacts
	checked   checkFacts
	digests   digestRing
	leaving   bool
	// diverged says that another node's fold differs from this one's.
	diverged bool
	started  time.Time
	// running is the context of Run.
	running context.Context
}

// New returns a loop that has no state yet.
func New(cfg Config) *Loop {
	cfg = cfg.withDefaults()
	l := &Loop{
		cfg:      cfg,
		inbox:    make(chan func(), inboxSize),
		done:     make(chan struct{}),
		fold:     state.New(),
		outcomes: newOutcomes(),
		random:   rand.New(rand.NewPCG(nameSeed(cfg.Node), cfg.Incarnation)),
		peers:    make(map[string]*peerFacts),
		zones:    make(map[string]*zoneFacts),
	}
	l.appends = newAppender(l)
	l.acts = newActor(l)
	l.planner = newPlannerFacts(cfg)
	l.publishStatus()
	l.handlePeers()
	return l
}

func nameSeed(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Run works until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.started = time.Now()
	l.running = ctx
	l.group.Go(func() { l.follow(ctx) })
	l.group.Go(func() { l.appends.run(ctx) })
	l.group.Go(func() { l.acts.run(ctx) })
	l.own(ctx)
	close(l.done)
	cancel()
	l.group.Wait()
	return nil
}

// own is the goroutine that owns the control state.
func (l *Loop) own(ctx context.Context) {
	ticker := time.NewTicker(l.cfg.Intervals.Tick)
	defer ticker.Stop()
	for {
		select {
		case f := <-l.inbox:
			f()
		case <-ticker.C:
			l.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// post runs f on the owner goroutine. It returns false when the loop ended or
// ctx ends first.
func (l *Loop) post(ctx context.Context, f func()) bool {
	select {
	case l.inbox <- f:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// ask runs f on the owner goroutine and waits for it.
func (l *Loop) ask(ctx context.Context, f func()) bool {
	finished := make(chan struct{})
	if !l.post(ctx, func() { f(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// tick looks at everything that may be due.
func (l *Loop) tick(ctx context.Context) {
	now := time.Now()
	l.refreshMembers()
	l.exchangeDue(ctx, now)
	l.pullWhenBehind(ctx, now)
	l.observeDue(ctx, now)
	l.decideMembership(now)
	l.acknowledgeDrains()
	l.planDue(ctx, now)
	l.snapshotDue(now)
	l.checkDue(now)
	l.judgeReadiness(now)
	l.publishFence()
	l.publishStatus()
}

// View returns the newest picture of the control state, or nil before the
// first one.
func (l *Loop) View() *structs.View { return l.view.Load() }

// publishView makes the fold's state visible. A state older than one that
// was shown is refused.
func (l *Loop) publishView() {
	view := l.fold.View()
	if old := l.view.Load(); old != nil {
		if view.Offset < old.Offset || view.Generation < old.Generation {
			l.violate(ViolationRevert, revertError(old.Offset, view.Offset))
			return
		}
		if view.Generation != old.Generation {
			l.cfg.Events.Record(events.ConfigInForce, events.Fields{Offset: view.PublishedAt})
		}
	}
	l.view.Store(view)
}

// foldRecord folds one record at the next offset.
func (l *Loop) foldRecord(data []byte) structs.Verdict {
	offset := l.fold.Next()
	verdict := l.applyRecord(offset, data)
	l.history.add(data)
	l.outcomes.add(verdict)
	l.digests.folded(l.fold)
	if verdict.Void != structs.VoidNone {
		l.cfg.Events.Record(events.RecordVoid, events.Fields{Offset: offset, Detail: string(verdict.Void) + ": " + verdict.Detail})
	}
	return verdict
}

func (l *Loop) applyRecord(offset structs.Offset, data []byte) structs.Verdict {
	rec, err := structs.DecodeRecord(data)
	if err != nil {
		return l.fold.ApplyEncoded(offset, data)
	}
	if rec.Snapshot != nil {
		l.noteSnapshot(offset, rec.Snapshot)
	}
	verdict, broken := l.fold.ApplyChecked(offset, rec)
	for _, v := range broken {
		l.cfg.Events.Record(events.FleetInvariantBroken, events.Fields{Offset: offset, Detail: v.Error()})
	}
	if verdict.Void == structs.VoidNone {
		l.noteApplied(offset, rec)
	}
	return verdict
}

// foldRun folds consecutive records that start at the given offset. Records
// folded before are skipped; a gap is left for the caller to ask about. Those
// who wait for a verdict hear it once the view that includes it is visible.
func (l *Loop) foldRun(from structs.Offset, data [][]byte) (gap bool) {
	next := l.fold.Next()
	if from > next {
		return true
	}
	skip := int(next - from)
	if skip >= len(data) {
		return false
	}
	verdicts := make([]structs.Verdict, 0, len(data)-skip)
	for _, record := range data[skip:] {
		verdicts = append(verdicts, l.foldRecord(record))
	}
	l.changed()
	for _, verdict := range verdicts {
		l.appends.folded(verdict)
	}
	return false
}

// changed publishes what follows from new records.
func (l *Loop) changed() {
	l.publishView()
	l.noteEpoch()
	l.passOn()
	l.snapshotDue(time.Now())
	l.judgeReadiness(time.Now())
	l.publishFence()
	l.publishStatus()
}

// adopt takes over a whole state that is newer than the own one.
func (l *Loop) adopt(st *state.State) bool {
	if st.Next() <= l.fold.Next() {
		return false
	}
	l.fold = st
	l.history.reset(st.Next())
	l.digests.reset()
	l.cfg.Events.Record(events.StateAdopted, events.Fields{Offset: st.Next()})
	l.changed()
	l.appends.retryAll()
	return true
}

func (l *Loop) violate(violation Violation, err error) {
	l.cfg.Events.Record(events.ControlInvariantBroken, events.Fields{Detail: string(violation), Err: err})
}

// Lookup returns the verdict on a recently appended record.
func (l *Loop) Lookup(key string) (structs.Verdict, bool) {
	var verdict structs.Verdict
	var found bool
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.Intervals.CallTimeout)
	defer cancel()
	asked := l.ask(ctx, func() { verdict, found = l.outcomes.get(key) })
	return verdict, asked && found
}
