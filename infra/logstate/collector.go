package logstate

import "wigeonwinch/fleet/structs"

// Collector puts together the newest whole snapshot of a run of records.
type Collector struct {
	current []structs.Record
	whole   []structs.Record
}

// Add looks at one encoded record; records other than snapshots are skipped.
func (c *Collector) Add(data []byte) {
	rec, err := structs.DecodeRecord(data)
	if err != nil || rec.Snapshot == nil {
		return
	}
	if rec.Snapshot.Part == 0 {
		c.current = nil
	}
	if len(c.current) > 0 && !sameSnapshot(c.current[0], rec) {
		return
	}
	c.current = append(c.current, rec)
	if len(c.current) == rec.Snapshot.Parts && newer(c.current, c.whole) {
		c.whole = c.current
		c.current = nil
	}
}

// Result returns the parts in their order, or ErrNoSnapshot.
func (c *Collector) Result() ([]structs.Record, error) {
	if len(c.whole) == 0 {
		return nil, ErrNoSnapshot
	}
	return c.whole, nil
}

func sameSnapshot(a, b structs.Record) bool {
	return a.Snapshot.Through == b.Snapshot.Through && a.Snapshot.Digest == b.Snapshot.Digest
}

func newer(a, b []structs.Record) bool {
	return len(b) == 0 || a[0].Snapshot.Through >= b[0].Snapshot.Through
}
