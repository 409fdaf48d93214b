package timeline

import (
	"sort"
	"sync"

	"wigeonwinch/fleet/structs"
)

// Entry is an event of a node.
type Entry struct {
	Stamp    Stamp          `json:"stamp"`
	Node     string         `json:"node"`
	Zone     string         `json:"zone"`
	Number   int            `json:"number"`
	Name     string         `json:"name"`
	Severity string         `json:"severity"`
	Offset   structs.Offset `json:"offset,omitempty"`
	Request  string         `json:"request,omitempty"`
	VM       string         `json:"vm,omitempty"`
	Pool     string         `json:"pool,omitempty"`
	Service  string         `json:"service,omitempty"`
	Team     string         `json:"team,omitempty"`
	Peer     string         `json:"peer,omitempty"`
	Detail   string         `json:"detail,omitempty"`
}

// Filter selects entries. A field that is not set matches all entries.
type Filter struct {
	// Since is the earliest wall time in nanoseconds since 1970.
	Since   int64
	Request string
	VM      string
	// Limit is the maximum number of entries. The latest ones are returned.
	Limit int
}

func (f Filter) matches(e Entry) bool {
	return e.Stamp.Wall >= f.Since &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.VM == "" || f.VM == e.VM)
}

// Ring is a ring buffer of the latest entries. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	entries []Entry
	next    int
	full    bool
}

// NewRing returns a ring that holds up to size entries.
func NewRing(size int) *Ring {
	return &Ring{entries: make([]Entry, size)}
}

// Add adds an entry. It overwrites the oldest one if the ring is full.
func (r *Ring) Add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[r.next] = e
	r.next++
	if r.next == len(r.entries) {
		r.next = 0
		r.full = true
	}
}

// Select returns the entries that match the filter, in the order in which they
// were added.
func (r *Ring) Select(f Filter) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	selected := []Entry{}
	for _, e := range r.oldestFirst() {
		if f.matches(e) {
			selected = append(selected, e)
		}
	}
	if f.Limit > 0 && len(selected) > f.Limit {
		selected = selected[len(selected)-f.Limit:]
	}
	return selected
}

func (r *Ring) oldestFirst() []Entry {
	if !r.full {
		return r.entries[:r.next]
	}
	ordered := make([]Entry, 0, len(r.entries))
	ordered = append(ordered, r.entries[r.next:]...)
	return append(ordered, r.entries[:r.next]...)
}

// Merge merges lists of entries and orders them by stamp. Entries with the same
// stamp are ordered by node.
func Merge(lists ...[]Entry) []Entry {
	all := []Entry{}
	for _, list := range lists {
		all = append(all, list...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].Stamp == all[j].Stamp {
			return all[i].Node < all[j].Node
		}
		return all[i].Stamp.Before(all[j].Stamp)
	})
	return all
}
