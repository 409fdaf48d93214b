package logstate

import "wigeonwinch/fleet/structs"

// SnapshotCollector assembles the newest complete snapshot from a sequence of
// records.
type SnapshotCollector struct {
	partial []structs.Record
	newest  []structs.Record
}

// Add adds one encoded record. It ignores records that are not snapshot parts.
func (c *SnapshotCollector) Add(data []byte) {
	rec, err := structs.DecodeRecord(data)
	if err != nil || rec.Snapshot == nil {
		return
	}
	if rec.Snapshot.Part == 0 {
		c.partial = nil
	}
	if len(c.partial) > 0 && !sameSnapshot(c.partial[0], rec) {
		return
	}
	c.partial = append(c.partial, rec)
	if len(c.partial) == rec.Snapshot.Parts && atLeastAsNew(c.partial, c.newest) {
		c.newest = c.partial
		c.partial = nil
	}
}

// Result returns the parts of the newest complete snapshot in order, or
// ErrNoSnapshot.
func (c *SnapshotCollector) Result() ([]structs.Record, error) {
	if len(c.newest) == 0 {
		return nil, ErrNoSnapshot
	}
	return c.newest, nil
}

func sameSnapshot(a, b structs.Record) bool {
	return a.Snapshot.Through == b.Snapshot.Through && a.Snapshot.Digest == b.Snapshot.Digest
}

// atLeastAsNew reports whether snapshot a covers at least the offsets that
// snapshot b covers. It does if b is empty.
func atLeastAsNew(a, b []structs.Record) bool {
	return len(b) == 0 || a[0].Snapshot.Through >= b[0].Snapshot.Through
}
