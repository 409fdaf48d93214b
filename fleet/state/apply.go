package state

import (
	"fmt"

	"wigeonwinch/fleet/structs"
)

// Limits on the texts of a record.
const (
	maxKeyBytes   = 256
	maxTextBytes  = 255
	maxShownBytes = 64
)

// Refusal says why a record is void. It is an error. A nil refusal means that
// the record applies.
type Refusal struct {
	// Void is the typed reason.
	Void structs.Void
	// Detail says what is wrong and what to do about it.
	Detail string
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Void, r.Detail)
}

func refuse(void structs.Void, format string, args ...any) *Refusal {
	return &Refusal{Void: void, Detail: fmt.Sprintf(format, args...)}
}

// ApplyEncoded folds the record at an offset from its encoded form. A record
// that can't be decoded is void, as it is on every other node.
func (s *State) ApplyEncoded(offset structs.Offset, data []byte) structs.Verdict {
	rec, err := structs.DecodeRecord(data)
	if err != nil {
		return s.fold(offset, rec, refuse(structs.VoidInvalid, "%v: append a record of a known form", err))
	}
	return s.Apply(offset, rec)
}

// Apply folds the record at an offset. Records must come in the order of
// their offsets: an offset that was folded before changes nothing, and one
// that leaves a gap is not folded.
func (s *State) Apply(offset structs.Offset, rec structs.Record) structs.Verdict {
	return s.fold(offset, rec, nil)
}

// fold folds one record; invalid is set when it could not be decoded.
func (s *State) fold(offset structs.Offset, rec structs.Record, invalid *Refusal) structs.Verdict {
	verdict := structs.Verdict{Offset: offset, Key: rec.Key}
	if out := s.order(offset); out != nil {
		verdict.Void, verdict.Detail = out.Void, out.Detail
		return verdict
	}
	s.next = offset + 1
	s.view = nil
	out := invalid
	if out == nil {
		out = s.once(offset, &rec)
	}
	if out != nil {
		verdict.Void, verdict.Detail = out.Void, out.Detail
	}
	return verdict
}

// order checks that the record is the next one.
func (s *State) order(offset structs.Offset) *Refusal {
	if offset < s.next {
		return refuse(structs.VoidDuplicate, "offset %d was folded before", offset)
	}
	if offset > s.next {
		return refuse(structs.VoidGap, "offset %d does not follow: read from offset %d, or restore a snapshot", offset, s.next)
	}
	return nil
}

// once applies a record unless its key was seen before. The keys of applied
// records are remembered, and those of refused publishes: who was told that a
// publish is refused must not see it come into force. Any other void record may
// be appended again with its key and is judged anew.
func (s *State) once(offset structs.Offset, rec *structs.Record) *Refusal {
	if rec.Key == "" || len(rec.Key) > maxKeyBytes {
		return refuse(structs.VoidInvalid, "the key has %d bytes: use 1 to %d", len(rec.Key), maxKeyBytes)
	}
	hash := hashKey(rec.Key)
	if s.keys.contains(hash) {
		return refuse(structs.VoidDuplicate, "a record with the key %s came before, and its verdict stands: use a new key for a new attempt", shown(rec.Key))
	}
	out := s.dispatch(offset, rec)
	if out == nil || rec.Publish != nil {
		s.keys.add(hash)
	}
	return out
}

// dispatch applies the one change that a record carries.
func (s *State) dispatch(offset structs.Offset, rec *structs.Record) *Refusal {
	if len(rec.Writer) > maxTextBytes {
		return refuse(structs.VoidInvalid, "the writer's name is longer than %d bytes", maxTextBytes)
	}
	if count := contents(rec); count != 1 {
		return refuse(structs.VoidInvalid, "the record carries %d changes: append one record for each", count)
	}
	switch {
	case rec.Publish != nil:
		return s.applyPublish(offset, rec.Publish)
	case rec.Lease != nil:
		return s.applyLease(rec.Writer, rec.Lease)
	case rec.Transition != nil:
		return s.applyTransition(rec.Writer, rec.Transition)
	case rec.Move != nil:
		return s.applyMove(rec.Writer, rec.Move)
	case rec.DrainAck != nil:
		return s.applyDrainAck(rec.Writer, rec.DrainAck)
	case rec.EntryEpoch != nil:
		return s.applyEntryEpoch(rec.EntryEpoch)
	case rec.WaveStop != nil:
		return s.applyWaveStop(rec.Writer, rec.WaveStop)
	}
	return nil
}

// contents counts the changes that a record carries.
func contents(rec *structs.Record) int {
	count := 0
	for _, set := range []bool{
		rec.Publish != nil, rec.Lease != nil, rec.Transition != nil, rec.Move != nil,
		rec.DrainAck != nil, rec.EntryEpoch != nil, rec.WaveStop != nil, rec.Snapshot != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

// shown quotes a text from a record and keeps it short.
func shown(text string) string {
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes]
	}
	return fmt.Sprintf("%q", text)
}
