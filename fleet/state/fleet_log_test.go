package state

import (
	"fmt"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
)

const (
	// logRetention is the minimum number of records that the log retains.
	logRetention = 1500
	// snapshotEvery is the number of records between two snapshots.
	snapshotEvery = 400
	// digestEvery is the number of records between two digest comparisons.
	digestEvery = 64
)

// fakeLog is an in-memory log that retains only the most recent records.
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

// read returns the record at an offset, or false if the record has been trimmed
// or not been appended yet.
func (l *fakeLog) read(offset structs.Offset) ([]byte, bool) {
	if offset < l.first || offset >= l.next() {
		return nil, false
	}
	return l.records[offset-l.first], true
}

// newestSnapshot restores the newest complete snapshot after which all records
// are still in the log.
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
	return nil, errors.Errorf("log from offset %d on has no usable snapshot", l.first)
}

// parts returns the parts of the snapshot whose first part is at index i.
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

// digests holds, for each compared offset, the digest of the first state that
// reached it.
type digests map[structs.Offset]uint64

// compare compares the digest of a state with the one recorded at its offset,
// or records it if there is none.
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
		return newViolation(RuleSameState, "two nodes have different states at offset %d", s.Next())
	}
	return nil
}

// replica is a node that reads the log and applies its records.
type replica struct {
	name string
	s    *State
	// pausedRounds is the number of rounds for which the replica still does not
	// read.
	pausedRounds int
	restored     int
	compared     int
}

// read applies up to max records and compares digests. If the log no longer has
// the next record, it first restores a snapshot.
func (r *replica) read(l *fakeLog, d digests, max int) error {
	if r.s.Next() < l.first {
		s, err := l.newestSnapshot()
		if err != nil {
			return err
		}
		if s.Next() < r.s.Next() {
			return newViolation(RuleNoRevert, "%s would revert from offset %d to %d", r.name, r.s.Next(), s.Next())
		}
		s.skip = r.s.skip
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
