package claims

import "time"

// Claim asks the home node for permission to run a request.
type Claim struct {
	Key         Key    `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	Holder      Member `cbor:"3,keyasint"`
	// Token distinguishes the claims of one holder.
	Token uint64 `cbor:"4,keyasint"`
	// IssuedMS is when the id was issued, in milliseconds since the Unix
	// epoch. Zero means that the issue time is unknown.
	IssuedMS int64 `cbor:"5,keyasint,omitempty"`
	// Epoch is the entry epoch of the home zone that the claimant knows.
	Epoch uint64 `cbor:"6,keyasint"`
}

// Verdict is the home node's decision on a claim.
type Verdict uint8

// The verdicts.
const (
	// Granted permits the holder to run the request.
	Granted Verdict = iota + 1
	// Duplicate means that the id is already claimed; the reply identifies the
	// holder of that claim.
	Duplicate
	// Mismatch means that the id was claimed for a different request.
	Mismatch
	// Expired means that the home node no longer knows whether the id was
	// claimed before. The id is never granted.
	Expired
	// FromFuture means that the issue time is ahead of the home node's clock by
	// more than the maximum clock skew.
	FromFuture
	// Full means that the table is full; the id was not claimed before.
	Full
	// NotHome means that another member is the home node of the id.
	NotHome
	// Fenced means that the home node cannot rule out that it has been
	// replaced.
	Fenced
	// HandingOver means that the home node waits for the records of the
	// previous home node.
	HandingOver
)

// String returns the verdict's name as used in refusal reasons and events.
func (v Verdict) String() string {
	switch v {
	case Granted:
		return "granted"
	case Duplicate:
		return "duplicate"
	case Mismatch:
		return "mismatch"
	case Expired:
		return "expired"
	case FromFuture:
		return "from_future"
	case Full:
		return "full"
	case NotHome:
		return "not_home"
	case Fenced:
		return "fenced"
	case HandingOver:
		return "handing_over"
	}
	return "invalid"
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Holder and Token identify the earlier claim of a duplicate.
	Holder Member `cbor:"2,keyasint,omitempty"`
	Token  uint64 `cbor:"3,keyasint,omitempty"`
	// Epoch is the home node's entry epoch.
	Epoch uint64 `cbor:"4,keyasint"`
}

// Release returns a claim to the home node. The request has not run under this
// claim and will not.
type Release struct {
	Key    Key    `cbor:"1,keyasint"`
	Holder Member `cbor:"2,keyasint"`
	Token  uint64 `cbor:"3,keyasint"`
}

// Entry is the record of one granted claim.
type Entry struct {
	Key         Key    `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	Holder      Member `cbor:"3,keyasint"`
	Token       uint64 `cbor:"4,keyasint"`
	// ClaimedMS is when the home node granted the claim, in milliseconds since
	// the Unix epoch, by the home node's clock.
	ClaimedMS int64 `cbor:"5,keyasint"`
}

// Membership is the set of a zone's entry nodes in one epoch.
type Membership struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint"`
}

// HandoverRequest asks a member for one page of its records of the keys whose
// home node is now the requesting member.
type HandoverRequest struct {
	From  Member `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// To is the incarnation of the node that is asked. A later incarnation does
	// not have its records.
	To Member `cbor:"4,keyasint"`
	// Page is zero in the first request, then Next of the previous reply.
	Page int `cbor:"3,keyasint"`
}

// HandoverReply is one page of a handover. A reply that is ready also
// acknowledges the epoch: its sender grants no claims under an older epoch.
type HandoverReply struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Ready is false when the sender is not at the requested epoch, or is not
	// the requested incarnation.
	Ready bool `cbor:"2,keyasint"`
	// Incomplete reports whether the sender itself lacks records.
	Incomplete bool `cbor:"3,keyasint,omitempty"`
	// Previous is the membership before this epoch, as the sender knows it.
	Previous Membership `cbor:"4,keyasint"`
	// CompleteSinceMS is the time since which the sender's records are
	// complete, in milliseconds since the Unix epoch, except for the Losses.
	CompleteSinceMS int64        `cbor:"5,keyasint"`
	Losses          []RecordLoss `cbor:"6,keyasint,omitempty"`
	Entries         []Entry      `cbor:"7,keyasint,omitempty"`
	// Next is the next page, or zero when this page is the last.
	Next int `cbor:"8,keyasint,omitempty"`
	// LastZoneChange is the last change of the set of zones.
	LastZoneChange ZoneChange `cbor:"9,keyasint"`
}

// ZoneChange is a change of the set of zones.
type ZoneChange struct {
	PreviousZones []string `cbor:"1,keyasint,omitempty"`
	// EffectiveAtMS is the latest time by which the change is in force on every
	// node, in milliseconds since the Unix epoch.
	EffectiveAtMS int64 `cbor:"2,keyasint,omitempty"`
}

// RecordLoss describes the loss of the records of some members.
type RecordLoss struct {
	// Previous is the membership in which the members held their records.
	Previous Membership `cbor:"1,keyasint"`
	// Members are the members whose records are lost.
	Members []Member `cbor:"2,keyasint"`
	// LostAtMS is when the takeover completed without the records, in
	// milliseconds since the Unix epoch.
	LostAtMS int64 `cbor:"3,keyasint"`
}

// EpochCheck asks a member for the entry epoch of the zone that it knows.
type EpochCheck struct {
	Zone  string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// EpochCheckReply answers an EpochCheck.
type EpochCheckReply struct {
	// Self is the incarnation that answers.
	Self  Member `cbor:"2,keyasint"`
	Epoch uint64 `cbor:"1,keyasint"`
}

func unixMillis(t time.Time) int64 { return t.UnixMilli() }
