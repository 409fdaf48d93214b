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
	methodReplicate
	methodLookup
	methodHandover
	methodEpochCheck
	methodLeaving
	methodSlots
	methodFreeSlots
)

// maxMessageBytes is the maximum size of one message between entry nodes.
const maxMessageBytes = 512 << 10

// lookupRequest asks the holder of a claim for the status of its execution.
type lookupRequest struct {
	Key   claims.Key `cbor:"1,keyasint"`
	Token uint64     `cbor:"2,keyasint"`
	// Incarnation is the holder's incarnation as stated in the claim.
	Incarnation uint64 `cbor:"3,keyasint"`
}

// lookupReply answers a lookupRequest.
type lookupReply struct {
	Found  bool                  `cbor:"1,keyasint"`
	State  claims.ExecutionState `cbor:"2,keyasint,omitempty"`
	Answer *claims.Answer        `cbor:"3,keyasint,omitempty"`
}

// leavingMessage informs the zone's members that a worker is leaving.
type leavingMessage struct {
	VM string `cbor:"1,keyasint"`
}

var messageEncoder = codec.Encoder()
var messageDecoder = codec.Decoder(codec.Limits{ArrayElements: 1 << 14, MapPairs: 1 << 6, NestedLevels: 8})

// encode returns the CBOR encoding of a message.
func encode(message any) ([]byte, error) {
	data, err := messageEncoder.Marshal(message)
	return data, errors.Wrap(err, "encode peer message")
}

// decode decodes a message of a known type.
func decode[T any](data []byte) (T, error) {
	var message T
	if len(data) > maxMessageBytes {
		return message, errors.Errorf("peer message has %d bytes, the limit is %d", len(data), maxMessageBytes)
	}
	err := messageDecoder.Unmarshal(data, &message)
	return message, errors.Wrap(err, "decode peer message: check that the nodes run versions that fit together")
}
