package membership

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// Report is what another member last said of the zone's epoch.
type Report struct {
	Node        string
	Incarnation uint64
	// Known is the newest epoch it knew or had proposed.
	Known structs.Epoch
	// AskedAt is when the question was sent to which it answered.
	AskedAt time.Time
}

// FenceInput is everything the freshness of a member looks at.
type FenceInput struct {
	Self    structs.EntryMember
	Current structs.EntryEpoch
	// Proposed is the newest epoch this node may have put into the log.
	Proposed structs.Epoch
	// TailAskedAt is when the read was sent that last found the log's tail
	// folded.
	TailAskedAt time.Time
	Reports     []Report
	Now         time.Time
	// Fence is how long a member may act on what it learned.
	Fence time.Duration
}

// Fresh says that this node is a member of its zone's epoch and that no newer
// epoch was in force less than the fence time ago. A sole member is always
// fresh until it proposes another epoch itself, because nobody else may
// replace it while it lives.
func Fresh(in FenceInput) bool {
	own, found := find(in.Current.Members, in.Self.Node)
	if !found || own.Incarnation != in.Self.Incarnation {
		return false
	}
	if in.Now.Sub(in.TailAskedAt) < in.Fence {
		return true
	}
	if in.Proposed > in.Current.Epoch {
		return false
	}
	for _, m := range in.Current.Members {
		if m.Node != in.Self.Node && !confirmed(m, in) {
			return false
		}
	}
	return true
}

func confirmed(m structs.EntryMember, in FenceInput) bool {
	for _, r := range in.Reports {
		if r.Node == m.Node && r.Incarnation == m.Incarnation {
			return r.Known <= in.Current.Epoch && in.Now.Sub(r.AskedAt) < in.Fence
		}
	}
	return false
}
