package lease

import "fmt"

// Kind says why a node may not act.
type Kind string

// The kinds of refusal.
const (
	// KindNotHeld means that the log names another holder or none.
	KindNotHeld Kind = "not_held"
	// KindExpired means that the last renewal that the log shows was sent too
	// long ago.
	KindExpired Kind = "expired"
	// KindForgotten means that the lease was taken by an earlier run of this
	// node, which knows when it was sent.
	KindForgotten Kind = "forgotten"
)

// Error says why a node may not act for a scope.
type Error struct {
	Kind  Kind
	Scope string
	// Holder is the holder that the log names, if any.
	Holder string
}

// Error names the scope, the reason and the remedy.
func (e *Error) Error() string {
	switch e.Kind {
	case KindExpired:
		return fmt.Sprintf("lease of scope %q has expired: act again once a renewal is in the log", e.Scope)
	case KindForgotten:
		return fmt.Sprintf("lease of scope %q was taken by an earlier run: take the next epoch", e.Scope)
	}
	return fmt.Sprintf("lease of scope %q is held by %q: leave the act to it, or take the lease once it lapses", e.Scope, e.Holder)
}
