package control

import "wigeonwinch/fleet/structs"

// Bounds of what a node keeps for its peers.
const (
	maxHistoryRecords = 4096
	maxHistoryBytes   = 2 << 20
)

// history keeps the last folded records, so that peers can ask for them.
type history struct {
	first structs.Offset
	data  [][]byte
	bytes int
}

// reset forgets all records; the next one has the given offset.
func (h *history) reset(next structs.Offset) {
	h.first = next
	h.data = nil
	h.bytes = 0
}

func (h *history) next() structs.Offset { return h.first + structs.Offset(len(h.data)) }

// add appends the record at offset next().
func (h *history) add(data []byte) {
	h.data = append(h.data, data)
	h.bytes += len(data)
	for len(h.data) > 1 && (len(h.data) > maxHistoryRecords || h.bytes > maxHistoryBytes) {
		h.bytes -= len(h.data[0])
		h.data[0] = nil
		h.data = h.data[1:]
		h.first++
	}
}

// from returns records from an offset on, at least one and otherwise no more
// than limit bytes. It returns false when the offset is no longer kept.
func (h *history) from(offset structs.Offset, limit int) ([][]byte, bool) {
	if offset < h.first || offset > h.next() {
		return nil, false
	}
	rest := h.data[offset-h.first:]
	total := 0
	for i, data := range rest {
		total += len(data)
		if i > 0 && total > limit {
			return rest[:i], true
		}
	}
	return rest, true
}

// maxOutcomes bounds the verdicts that are kept.
const maxOutcomes = 4096

// outcomes keeps the verdicts of recent records by key.
type outcomes struct {
	byKey map[string]structs.Verdict
	order []string
}

func newOutcomes() outcomes {
	return outcomes{byKey: make(map[string]structs.Verdict)}
}

// add keeps a verdict. A duplicate does not replace what the key's record was
// told before; an act that was void may be judged anew.
func (o *outcomes) add(v structs.Verdict) {
	if v.Key == "" {
		return
	}
	_, known := o.byKey[v.Key]
	if known && v.Void == structs.VoidDuplicate {
		return
	}
	o.byKey[v.Key] = v
	if known {
		return
	}
	o.order = append(o.order, v.Key)
	if len(o.order) > maxOutcomes {
		delete(o.byKey, o.order[0])
		o.order = o.order[1:]
	}
}

func (o *outcomes) get(key string) (structs.Verdict, bool) {
	v, ok := o.byKey[key]
	return v, ok
}
