package infra

import (
	"fmt"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
)

// Kind is the typed kind of a platform error.
type Kind string

// The kinds of platform error.
const (
	// KindUnavailable means nothing was done; trying again is safe.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means the change may have taken effect.
	KindUnknown Kind = "unknown"
	// KindTrimmed means the offset is no longer kept.
	KindTrimmed Kind = "trimmed"
	// KindRateLimited means too many requests; nothing was done.
	KindRateLimited Kind = "rate_limited"
	// KindFenced means the act carried an old epoch; nothing was done.
	KindFenced Kind = "fenced"
	// KindRefused means the request can never succeed as it is.
	KindRefused Kind = "refused"
)

// Error is an error of the platform with its kind.
type Error struct {
	Kind Kind
	// Op is what was tried.
	Op string
	// Remedy says what to do about it.
	Remedy string
	// First is the oldest kept offset, with KindTrimmed.
	First structs.Offset
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the operation, the kind, the cause and the remedy.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("platform %s: %s: %s", e.Op, e.Kind, e.Remedy)
	}
	return fmt.Sprintf("platform %s: %s: %v: %s", e.Op, e.Kind, e.Cause, e.Remedy)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of a platform error, or the empty kind when err is
// nil or of another type.
func KindOf(err error) Kind {
	var perr *Error
	if errors.As(err, &perr) {
		return perr.Kind
	}
	return ""
}
