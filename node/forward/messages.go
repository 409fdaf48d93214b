package forward

import (
	"github.com/pkg/errors"

	"wigeonwinch/dispatch/claims"
	"wigeonwinch/fleet/codec"
)

// The methods of the messages between entry nodes.
const (
	methodClaim uint16 = 300 + iota
	methodRelease
	methodCopy
	methodLook
	methodHandover
	methodEpochCheck
	methodLeaving
	methodSlots
	methodSpare
)

// maxMessageBytes bounds one message between entry nodes.
const maxMessageBytes = 512 << 10

// lookRequest asks a holder what it knows of a work.
type lookRequest struct {
	Key   claims.Key `cbor:"1,keyasint"`
	Token uint64     `cbor:"2,keyasint"`
	// Incarnation is the holder's, as the claim names it.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// lookReply answers a lookRequest.
type lookReply struct {
	Found  bool           `cbor:"1,keyasint"`
	State  claims.State   `cbor:"2,keyasint,omitempty"`
	Answer *claims.Answer `cbor:"3,keyasint,omitempty"`
}

// leavingMessage tells the zone's members that a worker leaves.
type leavingMessage struct {
	VM string `cbor:"1,keyasint"`
}

var messageEncoding = codec.Encoder()
var messageDecoding = codec.Decoder(codec.Limits{ArrayElements: 1 << 14, MapPairs: 1 << 6, NestedLevels: 8})

// encode returns a message's CBOR form.
func encode(message any) ([]byte, error) {
	data, err := messageEncoding.Marshal(message)
	return data, errors.Wrap(err, "encode peer message")
}

// decode reads a message of a known type.
func decode[T any](data []byte) (T, error) {
	var message T
	if len(data) > maxMessageBytes {
		return message, errors.Errorf("peer message has %d bytes, the limit is %d", len(data), maxMessageBytes)
	}
	err := messageDecoding.Unmarshal(data, &message)
	return message, errors.Wrap(err, "decode peer message: check that the nodes run versions that fit together")
}
