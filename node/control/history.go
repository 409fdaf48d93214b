package control

import "wigeonwinch/fleet/structs"

// Limits of the records kept for peers.
const (
	maxHistoryRecords = 4096
	maxHistoryBytes   = 2 << 20
)

// history holds the newest applied records, so that peers can pull them.
type history struct {
	first structs.Offset
	data  [][]byte
	bytes int
}

// reset removes all records. The next record has the given offset.
func (h *history) reset(next structs.Offset) {
	h.first = next
	h.data = nil
	h.bytes = 0
}

func (h *history) next() structs.Offset { return h.first + structs.Offset(len(h.data)) }

// add appends the record at offset next() and drops the oldest ones beyond the
// limits.
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

// from returns the records from an offset on, up to limit bytes. It returns the
// first record even if that alone is larger. It returns false if the history
// does not hold the offset.
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

// maxVerdicts bounds the number of verdicts in a verdictCache.
const maxVerdicts = 4096

// verdictCache holds the verdicts of recent records by key.
type verdictCache struct {
	byKey map[string]structs.Verdict
	order []string
}

func newVerdictCache() verdictCache {
	return verdictCache{byKey: make(map[string]structs.Verdict)}
}

// add stores a verdict. The verdict of a duplicate does not replace the
// earlier verdict of its key. A void record other than a publish may be
// appended again with the same key; its newer verdict replaces the earlier one.
func (c *verdictCache) add(v structs.Verdict) {
	if v.Key == "" {
		return
	}
	_, known := c.byKey[v.Key]
	if known && v.Void == structs.VoidDuplicate {
		return
	}
	c.byKey[v.Key] = v
	if known {
		return
	}
	c.order = append(c.order, v.Key)
	if len(c.order) > maxVerdicts {
		delete(c.byKey, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *verdictCache) get(key string) (structs.Verdict, bool) {
	v, ok := c.byKey[key]
	return v, ok
}
