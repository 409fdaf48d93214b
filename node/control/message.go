package control

import (
	"github.com/pkg/errors"

	"wigeonwinch/fleet/codec"
	"wigeonwinch/fleet/structs"
)

// Peer methods of the control loop. The numbers 100 to 199 are reserved for
// them.
const (
	// methodExchange exchanges reports.
	methodExchange uint16 = 100 + iota
	// methodPull requests records from an offset on.
	methodPull
	// methodRecords pushes new records.
	methodRecords
	// methodState requests one part of the whole state.
	methodState
	// methodProbe requests probes of workers in the receiver's zone.
	methodProbe
	// methodAppend requests that the receiver append records to the log.
	methodAppend
)

// report describes the sender in an exchange.
type report struct {
	Next        structs.Offset `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	// KnownEpoch is the newest epoch of its zone that the node knows or
	// proposed.
	KnownEpoch structs.Epoch `cbor:"3,keyasint,omitempty"`
	// LogUnreachable is set while the node can't read the log.
	LogUnreachable bool `cbor:"4,keyasint,omitempty"`
	// Joining is set while the node asks to become a member of its zone.
	Joining bool `cbor:"5,keyasint,omitempty"`
	// Leaving is set while the node is stopping.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Digest is the digest of the state at offset DigestAt.
	DigestAt structs.Offset `cbor:"7,keyasint,omitempty"`
	Digest   uint64         `cbor:"8,keyasint,omitempty"`
	Zone     string         `cbor:"9,keyasint,omitempty"`
}

// pullRequest requests records from an offset on.
type pullRequest struct {
	From structs.Offset `cbor:"1,keyasint"`
}

// records carries consecutive records.
type records struct {
	From structs.Offset `cbor:"1,keyasint"`
	Data [][]byte       `cbor:"2,keyasint,omitempty"`
	// Next is the offset that the sender has reached.
	Next structs.Offset `cbor:"3,keyasint"`
	// TooOld is set if the sender no longer holds the requested records.
	TooOld bool `cbor:"4,keyasint,omitempty"`
}

// stateRequest requests one part of the state. A zero Next requests the newest
// state; requests for further parts repeat the Next of the first answer.
type stateRequest struct {
	Next structs.Offset `cbor:"1,keyasint,omitempty"`
	Part int            `cbor:"2,keyasint,omitempty"`
}

// statePart is one part of the state, encoded as a snapshot record.
type statePart struct {
	Next   structs.Offset `cbor:"1,keyasint"`
	Parts  int            `cbor:"2,keyasint"`
	Record []byte         `cbor:"3,keyasint,omitempty"`
}

// probeRequest requests probes of the workers at the given addresses.
type probeRequest struct {
	Addresses []string `cbor:"1,keyasint"`
}

// probeResult reports which of the requested workers are healthy, in the order
// of the request.
type probeResult struct {
	OK []bool `cbor:"1,keyasint"`
}

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{ArrayElements: 1 << 13, MapPairs: 1 << 8, NestedLevels: 8})
)

func encode(message any) []byte {
	data, err := encMode.Marshal(message)
	if err != nil {
		panic(errors.Wrap(err, "encode control message"))
	}
	return data
}

func decode[T any](data []byte) (T, error) {
	var message T
	err := decMode.Unmarshal(data, &message)
	return message, errors.Wrap(err, "decode control message")
}
