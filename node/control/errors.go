package control

import (
	"fmt"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
)

// Kind is the typed kind of a control error.
type Kind string

// The kinds of control error.
const (
	// KindNotAppended means that the record is not in the log.
	KindNotAppended Kind = "not_appended"
	// KindNotKnown means that the record may be in the log.
	KindNotKnown Kind = "not_known"
	// KindRefused means that the record can never be appended as it is.
	KindRefused Kind = "refused"
	// KindStopped means that the loop has ended.
	KindStopped Kind = "stopped"
)

// Error is an error of the control loop with its kind.
type Error struct {
	Kind Kind
	// Key identifies the record.
	Key string
	// Remedy says what to do about it.
	Remedy string
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the kind, the key, the cause and the remedy.
func (e *Error) Error() string {
	text := fmt.Sprintf("record %q: %s", e.Key, e.Kind)
	if e.Cause != nil {
		text += fmt.Sprintf(": %v", e.Cause)
	}
	return text + ": " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of a control error, or the empty kind when err is
// nil or of another type.
func KindOf(err error) Kind {
	var cerr *Error
	if errors.As(err, &cerr) {
		return cerr.Kind
	}
	return ""
}

func notAppended(key string, cause error) error {
	return &Error{
		Kind: KindNotAppended, Key: key, Cause: cause,
		Remedy: "nothing was changed, try again when the platform's log answers",
	}
}

func notKnown(key string, cause error) error {
	return &Error{
		Kind: KindNotKnown, Key: key, Cause: cause,
		Remedy: "ask for the outcome of this key, or send the record again with the same key: it is applied at most once",
	}
}

func refused(key string, cause error) error {
	return &Error{Kind: KindRefused, Key: key, Cause: cause, Remedy: "correct the record and append it with a new key"}
}

func stopped(key string) error {
	return &Error{Kind: KindStopped, Key: key, Remedy: "ask another node for the outcome of this key"}
}

// Violation is a broken invariant of the control loop.
type Violation string

// The violations.
const (
	// ViolationRevert: a view older than a published one was refused.
	ViolationRevert Violation = "revert"
	// ViolationDiverged: two nodes' folds differ at the same offset.
	ViolationDiverged Violation = "diverged"
)

// revertError says that a state was refused because it is older.
func revertError(have, got structs.Offset) error {
	return errors.Errorf("a state at offset %d was offered, this node has shown %d: keep the newer one", got, have)
}
