package control

import (
	"fmt"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
)

// Kind is the kind of a control error.
type Kind string

// Kinds of control errors.
const (
	// KindNotAppended means that the record is not in the log.
	KindNotAppended Kind = "not_appended"
	// KindNotKnown means that the record may be in the log.
	KindNotKnown Kind = "not_known"
	// KindRefused means that the log can never accept the record as it is.
	KindRefused Kind = "refused"
	// KindStopped means that the loop has stopped.
	KindStopped Kind = "stopped"
)

// Error is an error of the control loop.
type Error struct {
	Kind Kind
	// Key identifies the record.
	Key string
	// Remedy tells the caller how to proceed.
	Remedy string
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the key, the kind, the cause and the remedy.
func (e *Error) Error() string {
	text := fmt.Sprintf("record %q: %s", e.Key, e.Kind)
	if e.Cause != nil {
		text += fmt.Sprintf(": %v", e.Cause)
	}
	return text + ": " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of a control error, or the empty kind if err is nil
// or of another type.
func KindOf(err error) Kind {
	var cerr *Error
	if errors.As(err, &cerr) {
		return cerr.Kind
	}
	return ""
}

func notAppendedError(key string, cause error) error {
	return &Error{
		Kind: KindNotAppended, Key: key, Cause: cause,
		Remedy: "nothing was changed; retry when the platform's log can be reached",
	}
}

func notKnownError(key string, cause error) error {
	return &Error{
		Kind: KindNotKnown, Key: key, Cause: cause,
		Remedy: "look up the verdict of this key, or append the record again with the same key: it is applied at most once",
	}
}

func refusedError(key string, cause error) error {
	return &Error{Kind: KindRefused, Key: key, Cause: cause, Remedy: "correct the record and append it with a new key"}
}

func stoppedError(key string) error {
	return &Error{Kind: KindStopped, Key: key, Remedy: "look up the verdict of this key on another node"}
}

// Violation is a broken invariant of the control loop.
type Violation string

// Violations of invariants.
const (
	// ViolationRevert means that the loop refused to publish a view older than
	// the published one.
	ViolationRevert Violation = "revert"
	// ViolationDiverged means that the states of two nodes differ at the same
	// offset.
	ViolationDiverged Violation = "diverged"
)

// revertError returns the error for a state that is older than the published
// view.
func revertError(have, got structs.Offset) error {
	return errors.Errorf("refused a state at offset %d because this node has already published offset %d: the newer state stays in use", got, have)
}
