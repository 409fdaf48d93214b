package control

import (
	"fmt"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// When a snapshot is due.
const (
	// snapshotRecords is the number of records after which one is due.
	snapshotRecords = 4000
	// snapshotMinRecords is the least number of records between two.
	snapshotMinRecords = 64
)

// snapshotFacts is what the owner goroutine knows of snapshots.
type snapshotFacts struct {
	// lastThrough is what the newest snapshot in the log covers.
	lastThrough structs.Offset
	// lastOffset is where its last part is in the log.
	lastOffset structs.Offset
	lastAt     time.Time
	// pending is the offset of a snapshot on its way to the log.
	pending   structs.Offset
	pendingAt time.Time
	cache     stateCache
}

// noteSnapshot notes a snapshot when the fold meets its last part.
func (l *Loop) noteSnapshot(offset structs.Offset, part *structs.Snapshot) {
	if part.Part != part.Parts-1 {
		return
	}
	l.snapshots.lastThrough = part.Through
	l.snapshots.lastOffset = offset
	l.snapshots.lastAt = time.Now()
	l.snapshots.pending = 0
}

// snapshotDue appends a snapshot, while this node holds the planner's lease,
// well before the log's retention reaches the last one.
func (l *Loop) snapshotDue(now time.Time) {
	if !l.planner.holding || l.log.lost || !l.snapshotNeeded(now) {
		return
	}
	next := l.fold.Next()
	if l.snapshots.pending != 0 && now.Sub(l.snapshots.pendingAt) < time.Minute {
		return
	}
	l.snapshots.pending = next
	l.snapshots.pendingAt = now
	key := fmt.Sprintf("snapshot/%s/%d/%d", l.cfg.Node, l.cfg.Incarnation, next)
	parts, err := l.fold.SnapshotRecords(key, l.cfg.Node)
	if err != nil {
		l.cfg.Events.Record(events.SnapshotFailed, events.Fields{Offset: next, Err: err})
		return
	}
	for _, part := range parts {
		l.submit(part)
	}
	l.cfg.Events.Record(events.SnapshotAppended, events.Fields{Offset: next})
}

// snapshotNeeded says that the last snapshot is old by records, by time or by
// its place in what the log keeps.
func (l *Loop) snapshotNeeded(now time.Time) bool {
	next := l.fold.Next()
	since := next - min(next, l.snapshots.lastOffset)
	if since < snapshotMinRecords {
		return false
	}
	if since >= snapshotRecords || now.Sub(l.snapshots.lastAt) > l.cfg.Intervals.Snapshot {
		return true
	}
	kept := next - min(next, l.log.first)
	return l.log.first > 0 && since > kept/2
}
