package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind is the typed kind of a peer error.
type Kind string

// The kinds of peer error.
const (
	// KindUnreachable means the message was not sent; trying again is safe.
	KindUnreachable Kind = "unreachable"
	// KindLost means the message may have arrived and its answer was lost.
	KindLost Kind = "lost"
	// KindRefused means the peer did not start a handler for the message.
	KindRefused Kind = "refused"
	// KindFailed means the peer's handler ran and returned an error.
	KindFailed Kind = "failed"
	// KindHandshake means the connection was not established.
	KindHandshake Kind = "handshake"
)

// Refusal says why a peer did not accept a connection or a message.
type Refusal string

// The reasons of a refusal.
const (
	RefusalNone          Refusal = ""
	RefusalVersion       Refusal = "version"        // no common protocol version
	RefusalKey           Refusal = "key"            // the proof does not match any accepted key
	RefusalSelf          Refusal = "self"           // the node dialed itself
	RefusalIncarnation   Refusal = "incarnation"    // a newer run of the node is connected
	RefusalDuplicate     Refusal = "duplicate"      // the pair's other connection is kept
	RefusalBusy          Refusal = "busy"           // too many messages or handshakes in progress
	RefusalUnknownMethod Refusal = "unknown_method" // the peer's version has no such method
	RefusalUnknownKind   Refusal = "unknown_kind"   // the peer's version has no such message
	RefusalMalformed     Refusal = "malformed"      // the message could not be decoded
	RefusalWrongNode     Refusal = "wrong_node"     // another node answers at the address
)

// Error is an error of the peer links with its kind.
type Error struct {
	Kind    Kind
	Node    string
	Method  uint16
	Refusal Refusal
	// Remedy says what to do about it.
	Remedy string
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the kind, the node, the reason and the remedy.
func (e *Error) Error() string {
	text := fmt.Sprintf("peer %s: %s", e.Node, e.Kind)
	if e.Method != 0 {
		text += fmt.Sprintf(" (method %d)", e.Method)
	}
	if e.Refusal != RefusalNone {
		text += fmt.Sprintf(": %s", e.Refusal)
	}
	if e.Cause != nil {
		text += fmt.Sprintf(": %v", e.Cause)
	}
	return text + ": " + e.Remedy
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of a peer error, or the empty kind when err is nil
// or of another type.
func KindOf(err error) Kind {
	var perr *Error
	if errors.As(err, &perr) {
		return perr.Kind
	}
	return ""
}

// RefusalOf returns the refusal that err carries, if any.
func RefusalOf(err error) Refusal {
	var perr *Error
	if errors.As(err, &perr) {
		return perr.Refusal
	}
	return RefusalNone
}

func unreachable(node string, method uint16, cause error) error {
	return &Error{
		Kind: KindUnreachable, Node: node, Method: method, Cause: cause,
		Remedy: "the message was not sent, try again or use another node",
	}
}

func lost(node string, method uint16, cause error) error {
	return &Error{
		Kind: KindLost, Node: node, Method: method, Cause: cause,
		Remedy: "the message may have taken effect, ask the node for the outcome",
	}
}

func handshakeFailed(node string, refusal Refusal, cause error) error {
	return &Error{
		Kind: KindHandshake, Node: node, Refusal: refusal, Cause: cause,
		Remedy: handshakeRemedy(refusal),
	}
}

func handshakeRemedy(refusal Refusal) string {
	switch refusal {
	case RefusalVersion:
		return "upgrade the older node, versions must overlap"
	case RefusalKey:
		return "give both nodes the same peer key in their settings"
	case RefusalSelf:
		return "remove the node's own address from its peers"
	case RefusalIncarnation:
		return "stop the older process of this node"
	case RefusalWrongNode:
		return "correct the peer's name or address in the settings"
	}
	return "it is tried again by itself"
}
