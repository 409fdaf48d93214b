package control

import (
	"fmt"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// Conditions for the next snapshot.
const (
	// maxRecordsBetweenSnapshots is the number of records after which a
	// snapshot is due.
	maxRecordsBetweenSnapshots = 4000
	// minRecordsBetweenSnapshots is the minimum number of records between two
	// snapshots.
	minRecordsBetweenSnapshots = 64
)

// snapshotState is what the owner goroutine knows about snapshots.
type snapshotState struct {
	// lastCoveredOffset is the offset up to which the newest snapshot in the
	// log covers the records.
	lastCoveredOffset structs.Offset
	// lastOffset is the offset of that snapshot's last part.
	lastOffset structs.Offset
	lastAt     time.Time
	// pending is the offset of the state in a snapshot that is being appended;
	// zero means none.
	pending   structs.Offset
	pendingAt time.Time
	cache     stateCache
}

// observeSnapshot stores the place and time of a snapshot when its last part
// is applied.
func (l *Loop) observeSnapshot(offset structs.Offset, part *structs.Snapshot) {
	if part.Part != part.Parts-1 {
		return
	}
	l.snapshots.lastCoveredOffset = part.Through
	l.snapshots.lastOffset = offset
	l.snapshots.lastAt = time.Now()
	l.snapshots.pending = 0
}

// appendSnapshotIfDue appends a snapshot while this node holds the planner's
// lease, well before the log's retention reaches the last snapshot.
func (l *Loop) appendSnapshotIfDue(now time.Time) {
	if !l.planner.holdsLease || l.log.unreachable || !l.snapshotNeeded(now) {
		return
	}
	next := l.state.Next()
	if l.snapshots.pending != 0 && now.Sub(l.snapshots.pendingAt) < time.Minute {
		return
	}
	l.snapshots.pending = next
	l.snapshots.pendingAt = now
	key := fmt.Sprintf("snapshot/%s/%d/%d", l.cfg.Node, l.cfg.Incarnation, next)
	parts, err := l.state.SnapshotRecords(key, l.cfg.Node)
	if err != nil {
		l.cfg.Events.Record(events.SnapshotFailed, events.Fields{Offset: next, Err: err})
		return
	}
	for _, part := range parts {
		l.submit(part)
	}
	l.cfg.Events.Record(events.SnapshotAppended, events.Fields{Offset: next})
}

// snapshotNeeded reports whether a snapshot is due by the number of records
// since the last one, by its age, or because the last one is in the older half
// of the records that the log retains.
func (l *Loop) snapshotNeeded(now time.Time) bool {
	next := l.state.Next()
	since := next - min(next, l.snapshots.lastOffset)
	if since < minRecordsBetweenSnapshots {
		return false
	}
	if since >= maxRecordsBetweenSnapshots || now.Sub(l.snapshots.lastAt) > l.cfg.Intervals.Snapshot {
		return true
	}
	retained := next - min(next, l.log.firstOffset)
	return l.log.firstOffset > 0 && since > retained/2
}
