package control

import (
	"github.com/pkg/errors"

	"wigeonwinch/fleet/codec"
	"wigeonwinch/fleet/structs"
)

// The peer methods of the control area, 100 to 199.
const (
	// methodExchange tells each other's offset and epoch.
	methodExchange uint16 = 100 + iota
	// methodPull asks for records from an offset on.
	methodPull
	// methodRecords passes new records on.
	methodRecords
	// methodState asks for one part of the whole state.
	methodState
	// methodProbe asks a node to probe workers of its zone.
	methodProbe
	// methodAppend asks a node to append records to the log.
	methodAppend
)

// report is what a node says of itself in an exchange.
type report struct {
	Next        structs.Offset `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	// Known is the newest epoch of the node's zone that it knows or proposed.
	Known structs.Epoch `cbor:"3,keyasint,omitempty"`
	// LogLost says that the node can't read the log.
	LogLost bool `cbor:"4,keyasint,omitempty"`
	// Joining says that the node asks to become a member of its zone.
	Joining bool `cbor:"5,keyasint,omitempty"`
	// Leaving says that the node stops.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Digest is the state's digest at offset DigestAt.
	DigestAt structs.Offset `cbor:"7,keyasint,omitempty"`
	Digest   uint64         `cbor:"8,keyasint,omitempty"`
	Zone     string         `cbor:"9,keyasint,omitempty"`
}

// pullRequest asks for records.
type pullRequest struct {
	From structs.Offset `cbor:"1,keyasint"`
}

// records carries consecutive records.
type records struct {
	From structs.Offset `cbor:"1,keyasint"`
	Data [][]byte       `cbor:"2,keyasint,omitempty"`
	// Next is the offset the sender has reached.
	Next structs.Offset `cbor:"3,keyasint"`
	// TooOld says that the records asked for are no longer kept.
	TooOld bool `cbor:"4,keyasint,omitempty"`
}

// stateRequest asks for one part of the state. A zero Next asks for the
// newest state, the following parts name the Next of the first answer.
type stateRequest struct {
	Next structs.Offset `cbor:"1,keyasint,omitempty"`
	Part int            `cbor:"2,keyasint,omitempty"`
}

// statePart is one part of the state as an encoded snapshot record.
type statePart struct {
	Next   structs.Offset `cbor:"1,keyasint"`
	Parts  int            `cbor:"2,keyasint"`
	Record []byte         `cbor:"3,keyasint,omitempty"`
}

// probeRequest asks for probes of workers by address.
type probeRequest struct {
	Addresses []string `cbor:"1,keyasint"`
}

// probeResult says which of the asked workers answered well, in order.
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
