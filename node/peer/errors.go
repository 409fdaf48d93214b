package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind classifies a peer error by what is known about the message.
type Kind string

// Kinds of peer errors.
const (
	// KindUnreachable means that the message was not sent. A retry is safe.
	KindUnreachable Kind = "unreachable"
	// KindLost means that the message may have been delivered, but no reply
	// was received.
	KindLost Kind = "lost"
	// KindRefused means that the peer did not start a handler for the message.
	KindRefused Kind = "refused"
	// KindFailed means that the peer's handler ran and returned an error.
	KindFailed Kind = "failed"
	// KindHandshake means that the connection could not be established.
	KindHandshake Kind = "handshake"
)

// Refusal is the reason why a connection or a message was refused.
type Refusal string

// Reasons of a refusal.
const (
	RefusalNone          Refusal = ""
	RefusalVersion       Refusal = "version"        // no common protocol version
	RefusalKey           Refusal = "key"            // the proof does not match any accepted key, or the node has no key
	RefusalSelf          Refusal = "self"           // the node dialed itself
	RefusalIncarnation   Refusal = "incarnation"    // a newer incarnation of the node is connected
	RefusalDuplicate     Refusal = "duplicate"      // the other connection between the two nodes is kept
	RefusalBusy          Refusal = "busy"           // too many handlers are running, or the node is stopping
	RefusalUnknownMethod Refusal = "unknown_method" // the peer's version does not support the method
	RefusalUnknownKind   Refusal = "unknown_kind"   // the peer's version does not support the message kind
	RefusalMalformed     Refusal = "malformed"      // the hello could not be decoded
	RefusalWrongNode     Refusal = "wrong_node"     // a different node answered at the address
)

// ErrBusy is returned by a handler that has not begun its message, because too many others
// are worked on. The caller gets an error of KindRefused with RefusalBusy.
var ErrBusy = errors.New("too many messages are worked on")

// Error is an error of a peer connection or a call.
type Error struct {
	Kind    Kind
	Node    string
	Method  uint16
	Refusal Refusal
	// Remedy tells the caller or operator how to handle the error.
	Remedy string
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the node, kind, method, refusal, cause and remedy as one line.
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

// KindOf returns the kind of the peer error in the chain of err. It returns the
// empty kind if there is none.
func KindOf(err error) Kind {
	var peerErr *Error
	if errors.As(err, &peerErr) {
		return peerErr.Kind
	}
	return ""
}

// RefusalOf returns the refusal of the peer error in the chain of err. It
// returns RefusalNone if there is none.
func RefusalOf(err error) Refusal {
	var peerErr *Error
	if errors.As(err, &peerErr) {
		return peerErr.Refusal
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
		Remedy: "the message may have been processed, query the node for the outcome",
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
		return "configure the same peer key on both nodes"
	case RefusalSelf:
		return "remove the node's own address from its peers"
	case RefusalIncarnation:
		return "stop the older process of this node"
	case RefusalWrongNode:
		return "correct the peer's name or address in the settings"
	}
	return "the connection attempt is retried automatically"
}
