package infra

import (
	"fmt"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
)

// Kind classifies a platform error.
type Kind string

// Platform error kinds.
const (
	// KindUnavailable means that the operation had no effect. A retry is safe.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that the operation may have taken effect.
	KindUnknown Kind = "unknown"
	// KindTrimmed means that the log no longer retains the offset.
	KindTrimmed Kind = "trimmed"
	// KindRateLimited means that the rate limit was exceeded. The operation
	// had no effect.
	KindRateLimited Kind = "rate_limited"
	// KindFenced means that the action carried an outdated epoch. The
	// operation had no effect.
	KindFenced Kind = "fenced"
	// KindRefused means that the request is invalid and retrying it unchanged
	// cannot succeed.
	KindRefused Kind = "refused"
)

// Error is a platform error.
type Error struct {
	Kind Kind
	// Op is the operation that failed.
	Op string
	// Remedy is the suggested action.
	Remedy string
	// First is the oldest retained offset, for KindTrimmed.
	First structs.Offset
	// Cause is the underlying error; may be nil.
	Cause error
}

// Error returns the operation, the kind, the cause, if any, and the remedy.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("platform %s: %s: %s", e.Op, e.Kind, e.Remedy)
	}
	return fmt.Sprintf("platform %s: %s: %v: %s", e.Op, e.Kind, e.Cause, e.Remedy)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of the platform error in err's chain, or the empty
// kind when there is none.
func KindOf(err error) Kind {
	var perr *Error
	if errors.As(err, &perr) {
		return perr.Kind
	}
	return ""
}
