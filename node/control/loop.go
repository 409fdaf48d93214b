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

// inboxSize bounds the number of functions queued for the owner goroutine.
const inboxSize = 256

// Loop is the control loop of a node. Its exported methods are safe for
// concurrent use.
type Loop struct {
	cfg   Config
	inbox chan func()
	done  chan struct{}
	group sync.WaitGroup
	view  atomic.Pointer[structs.View]
	// tailReadAt is a copy of logState.tailReadSentAt for other goroutines.
	tailReadAt atomic.Pointer[time.Time]
	freshness  atomic.Pointer[freshnessInput]
	status     atomic.Pointer[Status]

	appends *appender
	actions *actionRunner

	// Only the owner goroutine uses the fields below.
	state      *state.State
	history    history
	verdicts   verdictCache
	random     *rand.Rand
	log        logState
	peers      map[string]*peerState
	zones      map[string]*zoneState
	membership membershipState
	planner    planningState
	observed   observations
	// jitter is added to the interval between two reads of the VM list.
	jitter    time.Duration
	ready     readiness
	snapshots snapshotState
	lastCheck invariantCheck
	digests   digestRing
	leaving   bool
	// diverged is set once the state of another node differed from this node's
	// state at the same offset.
	diverged bool
	started  time.Time
	// runCtx is the context of Run.
	runCtx context.Context
}

// New returns a loop with an empty state.
func New(cfg Config) *Loop {
	cfg = cfg.withDefaults()
	l := &Loop{
		cfg:      cfg,
		inbox:    make(chan func(), inboxSize),
		done:     make(chan struct{}),
		state:    state.New(),
		verdicts: newVerdictCache(),
		random:   rand.New(rand.NewPCG(nameSeed(cfg.Node), cfg.Incarnation)),
		peers:    make(map[string]*peerState),
		zones:    make(map[string]*zoneState),
	}
	l.appends = newAppender(l)
	l.actions = newActionRunner(l)
	l.planner = newPlanningState(cfg)
	l.publishStatus()
	l.registerHandlers()
	return l
}

func nameSeed(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Run runs the loop until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.started = time.Now()
	l.runCtx = ctx
	l.group.Go(func() { l.followLog(ctx) })
	l.group.Go(func() { l.appends.run(ctx) })
	l.group.Go(func() { l.actions.run(ctx) })
	l.runOwner(ctx)
	close(l.done)
	cancel()
	l.group.Wait()
	return nil
}

// runOwner is the goroutine that owns the control state.
func (l *Loop) runOwner(ctx context.Context) {
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

// post queues f for the owner goroutine. It returns false if the loop has
// stopped or ctx ends first.
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

// postAndWait runs f on the owner goroutine and waits until f returns. It
// returns false if the loop has stopped or ctx ends first.
func (l *Loop) postAndWait(ctx context.Context, f func()) bool {
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

// tick runs everything that is due.
func (l *Loop) tick(ctx context.Context) {
	now := time.Now()
	l.refreshPeers()
	l.exchangeIfDue(ctx, now)
	l.pullWhenBehind(ctx, now)
	l.observeIfDue(ctx, now)
	l.decideMembership(now)
	l.acknowledgeDrains()
	l.planIfDue(ctx, now)
	l.appendSnapshotIfDue(now)
	l.checkInvariantsIfDue(now)
	l.updateReadiness(now)
	l.publishFreshness()
	l.publishStatus()
}

// View returns the newest published view of the control state, or nil if none
// has been published.
func (l *Loop) View() *structs.View { return l.view.Load() }

// publishView publishes a view of the state. It refuses a view older than the
// published one.
func (l *Loop) publishView() {
	view := l.state.View()
	if old := l.view.Load(); old != nil {
		if view.Offset < old.Offset || view.Generation < old.Generation {
			l.recordViolation(ViolationRevert, revertError(old.Offset, view.Offset))
			return
		}
		if view.Generation != old.Generation {
			l.cfg.Events.Record(events.ConfigInForce, events.Fields{Offset: view.PublishedAt})
		}
	}
	l.view.Store(view)
}

// applyRecord applies the record at the next offset and adds it to the
// history.
func (l *Loop) applyRecord(data []byte) structs.Verdict {
	offset := l.state.Next()
	verdict := l.applyToState(offset, data)
	l.history.add(data)
	l.verdicts.add(verdict)
	l.digests.observe(l.state)
	if verdict.Void != structs.VoidNone {
		l.cfg.Events.Record(events.RecordVoid, events.Fields{Offset: offset, Detail: string(verdict.Void) + ": " + verdict.Detail})
	}
	return verdict
}

func (l *Loop) applyToState(offset structs.Offset, data []byte) structs.Verdict {
	rec, err := structs.DecodeRecord(data)
	if err != nil {
		return l.state.ApplyEncoded(offset, data)
	}
	if rec.Snapshot != nil {
		l.observeSnapshot(offset, rec.Snapshot)
	}
	verdict, broken := l.state.ApplyChecked(offset, rec)
	for _, v := range broken {
		l.cfg.Events.Record(events.FleetInvariantBroken, events.Fields{Offset: offset, Detail: v.Error()})
	}
	if verdict.Void == structs.VoidNone {
		l.recordAppliedEvent(offset, rec)
	}
	return verdict
}

// applyRecords applies consecutive records that start at the given offset and
// skips those that were applied before. If records are missing in between, it
// applies none and returns true, and the caller has to fetch them. Pending
// records get their verdicts once the view that includes them is published.
func (l *Loop) applyRecords(from structs.Offset, data [][]byte) (gap bool) {
	next := l.state.Next()
	if from > next {
		return true
	}
	skip := int(next - from)
	if skip >= len(data) {
		return false
	}
	verdicts := make([]structs.Verdict, 0, len(data)-skip)
	for _, record := range data[skip:] {
		verdicts = append(verdicts, l.applyRecord(record))
	}
	l.publishUpdate()
	for _, verdict := range verdicts {
		l.appends.resolve(verdict)
	}
	return false
}

// publishUpdate publishes the state after it changed and updates what depends
// on it.
func (l *Loop) publishUpdate() {
	l.publishView()
	l.updateEpoch()
	l.pushRecords()
	l.appendSnapshotIfDue(time.Now())
	l.updateReadiness(time.Now())
	l.publishFreshness()
	l.publishStatus()
}

// adopt replaces the state with a newer one. It returns false if the given
// state is not newer.
func (l *Loop) adopt(st *state.State) bool {
	if st.Next() <= l.state.Next() {
		return false
	}
	l.state = st
	l.history.reset(st.Next())
	l.digests.reset()
	l.cfg.Events.Record(events.StateAdopted, events.Fields{Offset: st.Next()})
	l.publishUpdate()
	l.appends.retryAllNow()
	return true
}

func (l *Loop) recordViolation(violation Violation, err error) {
	l.cfg.Events.Record(events.ControlInvariantBroken, events.Fields{Detail: string(violation), Err: err})
}

// Lookup returns the verdict of a recently appended record, if it is known.
func (l *Loop) Lookup(key string) (structs.Verdict, bool) {
	var verdict structs.Verdict
	var found bool
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.Intervals.CallTimeout)
	defer cancel()
	ok := l.postAndWait(ctx, func() { verdict, found = l.verdicts.get(key) })
	return verdict, ok && found
}
