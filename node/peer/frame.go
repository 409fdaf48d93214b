package peer

import (
	"github.com/pkg/errors"

	"wigeonwinch/fleet/codec"
	"wigeonwinch/node/timeline"
)

// Supported range of protocol versions. Two nodes use the lower of their
// maximum versions.
const (
	MinVersion = 1
	MaxVersion = 2
)

// versionCancel is the first protocol version that supports frameCancel.
const versionCancel = 2

// MaxFrameBytes is the maximum size of an encoded message.
const MaxFrameBytes = 512 << 10

// MaxBodyBytes is the maximum size of a message body. The remaining 1 KiB of
// the frame is reserved for the other fields.
const MaxBodyBytes = MaxFrameBytes - 1<<10

// maxHandshakeBytes is the maximum size of a message of the handshake, before the other side
// has shown that it has the key: a hello with its names, or the answer to one.
const maxHandshakeBytes = 4 << 10

const (
	nonceBytes   = 32
	maxNameBytes = 256
)

type frameKind uint8

const (
	frameCall frameKind = iota + 1
	frameReply
	frameCast
	frameCancel
	frameLeaving
)

// frame is a message on an established connection.
type frame struct {
	Kind    frameKind `cbor:"1,keyasint"`
	ID      uint64    `cbor:"2,keyasint,omitempty"`
	Method  uint16    `cbor:"3,keyasint,omitempty"`
	Body    []byte    `cbor:"4,keyasint,omitempty"`
	Refusal Refusal   `cbor:"5,keyasint,omitempty"`
	Failure string    `cbor:"6,keyasint,omitempty"`
	// Stamp is the sender's hybrid logical clock time. Older nodes don't send it.
	Stamp *timeline.Stamp `cbor:"7,keyasint,omitempty"`
}

// hello describes a node in the handshake. The dialing side sends it as its
// first message, the accepting side sends it in the challenge.
type hello struct {
	MinVersion  int    `cbor:"1,keyasint"`
	MaxVersion  int    `cbor:"2,keyasint"`
	Node        string `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Address     string `cbor:"6,keyasint"`
	Nonce       []byte `cbor:"7,keyasint"`
}

// challenge is the accepting side's reply to the hello of the dialing side.
// Hello is the accepting side's own encoded hello.
type challenge struct {
	Hello   []byte  `cbor:"1,keyasint,omitempty"`
	Proof   []byte  `cbor:"2,keyasint,omitempty"`
	Refusal Refusal `cbor:"3,keyasint,omitempty"`
}

// proof is the dialing side's reply to the challenge.
type proof struct {
	Proof []byte `cbor:"1,keyasint"`
}

// welcome is the accepting side's result of the handshake.
type welcome struct {
	Version int     `cbor:"1,keyasint,omitempty"`
	Refusal Refusal `cbor:"2,keyasint,omitempty"`
}

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{ArrayElements: 1 << 10, MapPairs: 1 << 8, NestedLevels: 8})
)

func encodeFrame(f frame) ([]byte, error) {
	if len(f.Body) > MaxBodyBytes {
		return nil, errors.Errorf("message body has %d bytes, the limit is %d: split it", len(f.Body), MaxBodyBytes)
	}
	data, err := encMode.Marshal(f)
	return data, errors.Wrap(err, "encode peer message")
}

func decodeFrame(data []byte) (frame, error) {
	var f frame
	if len(data) > MaxFrameBytes {
		return f, errors.Errorf("peer message has %d bytes, the limit is %d", len(data), MaxFrameBytes)
	}
	err := decMode.Unmarshal(data, &f)
	return f, errors.Wrap(err, "decode peer message")
}

func decodeHello(data []byte) (hello, error) {
	var h hello
	if err := decMode.Unmarshal(data, &h); err != nil {
		return h, errors.Wrap(err, "decode hello")
	}
	return h, h.check()
}

func (h hello) check() error {
	switch {
	case h.Node == "" || len(h.Node) > maxNameBytes:
		return errors.Errorf("node name in hello has %d bytes, must be 1 to %d", len(h.Node), maxNameBytes)
	case len(h.Zone) > maxNameBytes || len(h.Address) > maxNameBytes:
		return errors.Errorf("hello has a zone or address longer than %d bytes", maxNameBytes)
	case len(h.Nonce) != nonceBytes:
		return errors.Errorf("hello has a nonce of %d bytes, want %d", len(h.Nonce), nonceBytes)
	}
	return nil
}

// commonVersion returns the protocol version that both sides use. It returns
// false if their version ranges don't overlap.
func commonVersion(a, b hello) (int, bool) {
	version := min(a.MaxVersion, b.MaxVersion)
	return version, version >= max(a.MinVersion, b.MinVersion) && version > 0
}
