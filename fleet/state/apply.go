package state

import (
	"fmt"

	"wigeonwinch/fleet/structs"
)

// Limits on the strings in a record, and on quotations from it in messages.
const (
	maxKeyBytes    = 256
	maxTextBytes   = 255
	maxQuotedBytes = 64
)

// Refusal is the error for a void record. A nil *Refusal means that the record
// is valid.
type Refusal struct {
	// Void is the reason code.
	Void structs.VoidReason
	// Detail describes what is wrong and how to correct it.
	Detail string
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Void, r.Detail)
}

func refuse(reason structs.VoidReason, format string, args ...any) *Refusal {
	return &Refusal{Void: reason, Detail: fmt.Sprintf(format, args...)}
}

// ApplyEncoded decodes a record and applies it at an offset. A record that
// can't be decoded is void on every node and advances the offset.
func (s *State) ApplyEncoded(offset structs.Offset, data []byte) structs.Verdict {
	rec, err := structs.DecodeRecord(data)
	if err != nil {
		return s.applyRecord(offset, rec, refuse(structs.VoidInvalid, "%v: append a record in a supported format", err))
	}
	return s.Apply(offset, rec)
}

// Apply applies the record at an offset. Records must be applied in the order
// of their offsets: a record at an offset that was already applied changes
// nothing, and a record that would leave a gap is not applied.
func (s *State) Apply(offset structs.Offset, rec structs.Record) structs.Verdict {
	return s.applyRecord(offset, rec, nil)
}

// applyRecord applies one record. If invalid is not nil, the record could not
// be decoded and is void.
func (s *State) applyRecord(offset structs.Offset, rec structs.Record, invalid *Refusal) structs.Verdict {
	verdict := structs.Verdict{Offset: offset, Key: rec.Key}
	if refusal := s.checkOffset(offset); refusal != nil {
		verdict.Void, verdict.Detail = refusal.Void, refusal.Detail
		return verdict
	}
	s.next = offset + 1
	s.cachedView = nil
	refusal := invalid
	if refusal == nil {
		refusal = s.applyOnce(offset, &rec)
	}
	if refusal != nil {
		verdict.Void, verdict.Detail = refusal.Void, refusal.Detail
	}
	return verdict
}

// checkOffset checks that a record's offset is the next one.
func (s *State) checkOffset(offset structs.Offset) *Refusal {
	if offset < s.next {
		return refuse(structs.VoidDuplicate, "offset %d was already applied", offset)
	}
	if offset > s.next {
		return refuse(structs.VoidGap, "offset %d leaves a gap: read from offset %d, or restore a snapshot", offset, s.next)
	}
	return nil
}

// applyOnce applies a record unless its key is a duplicate. It remembers the
// keys of applied records and of refused publishes: a publish that was reported
// as refused must not take effect later. Any other void record may be appended
// again with the same key and is then evaluated against the current state.
func (s *State) applyOnce(offset structs.Offset, rec *structs.Record) *Refusal {
	if rec.Key == "" || len(rec.Key) > maxKeyBytes {
		return refuse(structs.VoidInvalid, "record key has %d bytes: use 1 to %d", len(rec.Key), maxKeyBytes)
	}
	hash := hashKey(rec.Key)
	if s.keys.contains(hash) {
		return refuse(structs.VoidDuplicate, "a record with key %s was already processed and its verdict is final: use a new key for a new attempt", quoteText(rec.Key))
	}
	refusal := s.applyChange(offset, rec)
	if refusal == nil || rec.Publish != nil {
		s.keys.add(hash)
	}
	return refusal
}

// applyChange applies the single change that a record contains.
func (s *State) applyChange(offset structs.Offset, rec *structs.Record) *Refusal {
	if len(rec.Writer) > maxTextBytes {
		return refuse(structs.VoidInvalid, "writer name is longer than %d bytes", maxTextBytes)
	}
	if count := changeCount(rec); count != 1 {
		return refuse(structs.VoidInvalid, "record contains %d changes: append one record per change", count)
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

// changeCount returns the number of changes that a record contains.
func changeCount(rec *structs.Record) int {
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

// quoteText quotes a string from a record, truncated to maxQuotedBytes.
func quoteText(text string) string {
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes]
	}
	return fmt.Sprintf("%q", text)
}
