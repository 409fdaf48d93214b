package peer

import (
	"github.com/pkg/errors"

	"wigeonwinch/fleet/codec"
	"wigeonwinch/node/timeline"
)

// Protocol versions. Two nodes use the lower of their newest versions.
const (
	MinVersion = 1
	MaxVersion = 2
)

// versionCancel is the first version that understands frameCancel.
const versionCancel = 2

// MaxFrameBytes bounds one encoded message.
const MaxFrameBytes = 512 << 10

// MaxBodyBytes bounds the body of one message.
const MaxBodyBytes = MaxFrameBytes - 1<<10

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
	frameBye
)

// frame is one message on an established connection.
type frame struct {
	Kind    frameKind `cbor:"1,keyasint"`
	ID      uint64    `cbor:"2,keyasint,omitempty"`
	Method  uint16    `cbor:"3,keyasint,omitempty"`
	Body    []byte    `cbor:"4,keyasint,omitempty"`
	Refusal Refusal   `cbor:"5,keyasint,omitempty"`
	Failure string    `cbor:"6,keyasint,omitempty"`
	// Stamp is the sender's hybrid logical clock; older nodes send none.
	Stamp *timeline.Stamp `cbor:"7,keyasint,omitempty"`
}

// hello is the first message of each side.
type hello struct {
	MinVersion  int    `cbor:"1,keyasint"`
	MaxVersion  int    `cbor:"2,keyasint"`
	Node        string `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Address     string `cbor:"6,keyasint"`
	Nonce       []byte `cbor:"7,keyasint"`
}

// challenge is the accepting side's answer to a hello.
type challenge struct {
	Hello   []byte  `cbor:"1,keyasint,omitempty"`
	Proof   []byte  `cbor:"2,keyasint,omitempty"`
	Refusal Refusal `cbor:"3,keyasint,omitempty"`
}

// proof is the dialing side's answer to a challenge.
type proof struct {
	Proof []byte `cbor:"1,keyasint"`
}

// welcome ends the handshake.
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
		return errors.Errorf("hello names a node of %d bytes, 1 to %d are allowed", len(h.Node), maxNameBytes)
	case len(h.Zone) > maxNameBytes || len(h.Address) > maxNameBytes:
		return errors.Errorf("hello has a zone or address longer than %d bytes", maxNameBytes)
	case len(h.Nonce) != nonceBytes:
		return errors.Errorf("hello has a nonce of %d bytes, want %d", len(h.Nonce), nonceBytes)
	}
	return nil
}

// commonVersion returns the version both sides use, or false if none.
func commonVersion(a, b hello) (int, bool) {
	version := min(a.MaxVersion, b.MaxVersion)
	return version, version >= max(a.MinVersion, b.MinVersion) && version > 0
}
