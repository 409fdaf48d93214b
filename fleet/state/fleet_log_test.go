package state

import (
	"fmt"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
)

const (
	// logRetention is the number of records that the log keeps.
	logRetention = 1500
	// snapshotEvery is the number of records between two snapshots.
	snapshotEvery = 400
	// digestEvery is the number of records between two compared digests.
	digestEvery = 64
)

// fakeLog keeps the latest records.
type fakeLog struct {
	first   structs.Offset
	records [][]byte
}

func (l *fakeLog) next() structs.Offset {
	return l.first + structs.Offset(len(l.records))
}

func (l *fakeLog) append(data []byte) structs.Offset {
	offset := l.next()
	l.records = append(l.records, data)
	if len(l.records) > 2*logRetention {
		l.records = append([][]byte(nil), l.records[logRetention:]...)
		l.first += logRetention
	}
	return offset
}

// read returns the record at an offset, or false when it is trimmed or not
// there yet.
func (l *fakeLog) read(offset structs.Offset) ([]byte, bool) {
	if offset < l.first || offset >= l.next() {
		return nil, false
	}
	return l.records[offset-l.first], true
}

// newestSnapshot restores the newest complete snapshot from which the log can
// be read on.
func (l *fakeLog) newestSnapshot() (*State, error) {
	for i := len(l.records) - 1; i >= 0; i-- {
		rec, err := structs.DecodeRecord(l.records[i])
		if err != nil || rec.Snapshot == nil || rec.Snapshot.Part != 0 {
			continue
		}
		if rec.Snapshot.Through+1 < l.first {
			break
		}
		if s, err := Restore(l.parts(i, rec)); err == nil {
			return s, nil
		}
	}
	return nil, errors.Errorf("the log from offset %d on has no snapshot that can be used", l.first)
}

// parts collects the parts of a snapshot whose first part is at an index.
func (l *fakeLog) parts(i int, first structs.Record) []structs.Record {
	parts := []structs.Record{first}
	for _, data := range l.records[i+1:] {
		if len(parts) == first.Snapshot.Parts {
			break
		}
		rec, err := structs.DecodeRecord(data)
		if err == nil && rec.Snapshot != nil && rec.Snapshot.Digest == first.Snapshot.Digest {
			parts = append(parts, rec)
		}
	}
	return parts
}

// digests remembers the digest that the first reader had at each compared
// offset.
type digests map[structs.Offset]uint64

// compare checks a state against the digest that another had at its offset.
func (d digests) compare(s *State) error {
	if s.Next()%digestEvery != 0 {
		return nil
	}
	digest := s.Digest()
	want, ok := d[s.Next()]
	if !ok {
		d[s.Next()] = digest
		return nil
	}
	if digest != want {
		return violated(RuleSameFold, "two nodes differ at offset %d", s.Next())
	}
	return nil
}

// replica is a node's reader of the log.
type replica struct {
	name string
	s    *State
	// away is the number of rounds for which it does not read.
	away     int
	restored int
	compared int
}

// read folds up to max records and compares digests.
func (r *replica) read(l *fakeLog, d digests, max int) error {
	if r.s.Next() < l.first {
		s, err := l.newestSnapshot()
		if err != nil {
			return err
		}
		if s.Next() < r.s.Next() {
			return violated(RuleNoRevert, "%s would fall back from offset %d to %d", r.name, r.s.Next(), s.Next())
		}
		s.unsafe = r.s.unsafe
		r.s = s
		r.restored++
	}
	for range max {
		data, ok := l.read(r.s.Next())
		if !ok {
			return nil
		}
		r.s.ApplyEncoded(r.s.Next(), data)
		if r.s.Next()%digestEvery == 0 {
			r.compared++
		}
		if err := d.compare(r.s); err != nil {
			return err
		}
	}
	return nil
}

func newReplica(i int) *replica {
	return &replica{name: fmt.Sprintf("replica-%d", i), s: New()}
}
