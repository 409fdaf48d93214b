package claims

import "time"

// Claim asks the home for the right to run a request.
type Claim struct {
	Key         Key    `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	Holder      Member `cbor:"3,keyasint"`
	// Token tells two claims of one holder apart.
	Token uint64 `cbor:"4,keyasint"`
	// IssuedMS is when the id was issued, in milliseconds since the Unix
	// epoch. Zero means that the id does not say.
	IssuedMS int64 `cbor:"5,keyasint,omitempty"`
	// Epoch is the home zone's entry epoch as the claimant knows it.
	Epoch uint64 `cbor:"6,keyasint"`
}

// Verdict is the home's answer to a claim.
type Verdict uint8

// The verdicts.
const (
	// Granted lets the holder run the work.
	Granted Verdict = iota + 1
	// Duplicate names the holder of the earlier claim.
	Duplicate
	// Mismatch means that the id was claimed for other work.
	Mismatch
	// Expired means that the home cannot know any more whether the id was
	// claimed before; it is never granted.
	Expired
	// FromFuture means that the issue time lies ahead of the home's clock.
	FromFuture
	// Full means that the table has no room; the id was not claimed before.
	Full
	// NotHome means that another member keeps the id.
	NotHome
	// Fenced means that the home may have been replaced without knowing it.
	Fenced
	// HandingOver means that the home waits for the records of the former one.
	HandingOver
)

// String returns the verdict's name as reasons and events show it.
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
	// Epoch is the home's entry epoch.
	Epoch uint64 `cbor:"4,keyasint"`
}

// Release gives a claim back; the work has not run and will not.
type Release struct {
	Key    Key    `cbor:"1,keyasint"`
	Holder Member `cbor:"2,keyasint"`
	Token  uint64 `cbor:"3,keyasint"`
}

// Entry is one kept claim.
type Entry struct {
	Key         Key    `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	Holder      Member `cbor:"3,keyasint"`
	Token       uint64 `cbor:"4,keyasint"`
	// ClaimedMS is when the home granted it, in milliseconds since the Unix
	// epoch by the home's clock.
	ClaimedMS int64 `cbor:"5,keyasint"`
}

// Membership is one epoch of a zone's entry nodes.
type Membership struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Members []Member `cbor:"2,keyasint"`
}

// HandoverRequest asks a member for the records that the asking member keeps
// from now on, one page at a time.
type HandoverRequest struct {
	From  Member `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// To is the run of the node that is asked; a later run lacks its records.
	To Member `cbor:"4,keyasint"`
	// Page is zero first, then the Next of the reply before.
	Page int `cbor:"3,keyasint"`
}

// HandoverReply is one page of a handover. A ready reply also acknowledges
// the epoch: its sender grants nothing under an older one.
type HandoverReply struct {
	Epoch uint64 `cbor:"1,keyasint"`
	// Ready is false while the sender is not at the epoch asked for.
	Ready bool `cbor:"2,keyasint"`
	// Incomplete says that the sender itself lacks records.
	Incomplete bool `cbor:"3,keyasint,omitempty"`
	// Former is the membership before this epoch, as the sender knows it.
	Former Membership `cbor:"4,keyasint"`
	// SinceMS and Losses say since when the sender's records are complete.
	SinceMS int64   `cbor:"5,keyasint"`
	Losses  []Loss  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	// Next is the next page, or zero when this is the last.
	Next int `cbor:"8,keyasint,omitempty"`
	// Rezoned is the last change of the set of zones.
	Rezoned ZoneChange `cbor:"9,keyasint"`
}

// ZoneChange is a change of the set of zones.
type ZoneChange struct {
	Former []string `cbor:"1,keyasint,omitempty"`
	// AtMS is when the change was in force on every node at the latest.
	AtMS int64 `cbor:"2,keyasint,omitempty"`
}

// Loss says that the records of some members were lost at a time.
type Loss struct {
	Former  Membership `cbor:"1,keyasint"`
	Removed []Member   `cbor:"2,keyasint"`
	AtMS    int64      `cbor:"3,keyasint"`
}

// EpochCheck asks a member which entry epoch of the zone it knows.
type EpochCheck struct {
	Zone  string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// EpochCheckReply answers an EpochCheck.
type EpochCheckReply struct {
	// Self is the run that answers.
	Self  Member `cbor:"2,keyasint"`
	Epoch uint64 `cbor:"1,keyasint"`
}

func millis(t time.Time) int64 { return t.UnixMilli() }
