package lease

import "fmt"

// Kind is the reason why a node does not hold a usable lease.
type Kind string

// Reasons for which Check refuses a node.
const (
	// KindNotHeld means that the log shows another lease holder, or none.
	KindNotHeld Kind = "not_held"
	// KindExpired means that too much time has passed since this node sent the
	// newest renewal in the log.
	KindExpired Kind = "expired"
	// KindPreviousRun means that the log names this node as lease holder, but
	// this run of the node has not confirmed the record or has released the
	// lease. The record may come from a previous run, and only that run knows
	// when it was sent.
	KindPreviousRun Kind = "forgotten"
)

// Error reports why a node may not act for a scope.
type Error struct {
	Kind  Kind
	Scope string
	// Holder is the lease holder shown by the log, or empty.
	Holder string
}

// Error returns a message with the scope, the reason and what to do.
func (e *Error) Error() string {
	switch e.Kind {
	case KindExpired:
		return fmt.Sprintf("lease for scope %q has expired; wait until the log shows a renewal", e.Scope)
	case KindPreviousRun:
		return fmt.Sprintf("lease for scope %q was acquired by a previous run of this node; acquire it again with the next epoch", e.Scope)
	}
	return fmt.Sprintf("lease for scope %q is held by %q; only the lease holder may act until the lease expires", e.Scope, e.Holder)
}
