package membership

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// Report is the last report of another member about the zone's epoch.
type Report struct {
	Node        string
	Incarnation uint64
	// KnownEpoch is the newest epoch that the member knew or had proposed.
	KnownEpoch structs.Epoch
	// RequestSentAt is when the request was sent that the member answered.
	RequestSentAt time.Time
}

// FreshnessInput is the input of Fresh.
type FreshnessInput struct {
	Self    structs.EntryMember
	Current structs.EntryEpoch
	// ProposedEpoch is the newest epoch that this node may have written to the
	// log.
	ProposedEpoch structs.Epoch
	// TailReadSentAt is the time at which this node sent the newest read that
	// reached the log's tail. The state includes everything that the read
	// returned.
	TailReadSentAt time.Time
	Reports        []Report
	Now            time.Time
	// FenceTime is how long a member may rely on a confirmation.
	FenceTime time.Duration
}

// Fresh reports whether this node is a member of its zone's epoch and has
// confirmed within the fence time that no newer epoch was in force. Either a
// read of the log's tail or the reports of all other members confirm it. A
// sole member is fresh without confirmation until it proposes another epoch
// itself, because no other node may replace it until the platform lists it as
// terminated.
func Fresh(in FreshnessInput) bool {
	own, found := findMember(in.Current.Members, in.Self.Node)
	if !found || own.Incarnation != in.Self.Incarnation {
		return false
	}
	if in.Now.Sub(in.TailReadSentAt) < in.FenceTime {
		return true
	}
	if in.ProposedEpoch > in.Current.Epoch {
		return false
	}
	for _, m := range in.Current.Members {
		if m.Node != in.Self.Node && !confirmed(m, in) {
			return false
		}
	}
	return true
}

func confirmed(m structs.EntryMember, in FreshnessInput) bool {
	for _, r := range in.Reports {
		if r.Node == m.Node && r.Incarnation == m.Incarnation {
			return r.KnownEpoch <= in.Current.Epoch && in.Now.Sub(r.RequestSentAt) < in.FenceTime
		}
	}
	return false
}
