package structs

import (
	"github.com/pkg/errors"

	"wigeonwinch/fleet/codec"
)

// Offset is the position of a record in the platform's log.
type Offset uint64

// Generation counts the accepted publishes of the configuration.
type Generation uint64

// Epoch numbers the successive acquisitions of a lease, or the successive
// memberships of a zone's entry nodes. It serves as a fencing token.
type Epoch uint64

// Record is one entry of the log. Exactly one of its pointers is set.
type Record struct {
	// Key is the idempotency key of the append. A record is void if an applied
	// record or a refused publish before it has the same key.
	Key string `cbor:"1,keyasint"`
	// Writer names the node or pipeline that appended the record.
	Writer string `cbor:"2,keyasint"`

	Publish    *Publish    `cbor:"10,keyasint,omitempty"`
	Lease      *Lease      `cbor:"11,keyasint,omitempty"`
	Transition *Transition `cbor:"12,keyasint,omitempty"`
	Move       *Move       `cbor:"13,keyasint,omitempty"`
	DrainAck   *DrainAck   `cbor:"14,keyasint,omitempty"`
	EntryEpoch *EntryEpoch `cbor:"15,keyasint,omitempty"`
	WaveStop   *WaveStop   `cbor:"16,keyasint,omitempty"`
	Snapshot   *Snapshot   `cbor:"17,keyasint,omitempty"`
}

// Publish changes the configuration. It is void unless Base is the current
// generation and the resulting configuration is valid.
type Publish struct {
	Base    Generation `cbor:"1,keyasint"`
	Changes []Change   `cbor:"2,keyasint"`
}

// Change puts or deletes one named item. Either exactly one of the pointers is
// set, or Delete is set. Kind and Name identify the item.
type Change struct {
	Kind    ItemKind `cbor:"1,keyasint"`
	Name    string   `cbor:"2,keyasint"`
	Delete  bool     `cbor:"3,keyasint,omitempty"`
	Zone    *Zone    `cbor:"4,keyasint,omitempty"`
	Team    *Team    `cbor:"5,keyasint,omitempty"`
	Pool    *Pool    `cbor:"6,keyasint,omitempty"`
	VM      *VM      `cbor:"7,keyasint,omitempty"`
	Service *Service `cbor:"8,keyasint,omitempty"`
	Window  *Window  `cbor:"9,keyasint,omitempty"`
	Wave    *Wave    `cbor:"10,keyasint,omitempty"`
}

// ItemKind identifies the kind of a manifest item.
type ItemKind uint8

// The kinds of manifest items.
const (
	ItemZone ItemKind = iota + 1
	ItemTeam
	ItemPool
	ItemVM
	ItemService
	ItemWindow
	ItemWave
)

// Lease acquires, renews or releases the lease of a scope, whose holder plans
// for that scope. An acquisition names the next epoch. A renewal or release
// names the current epoch and the next sequence number.
type Lease struct {
	Scope    string `cbor:"1,keyasint"`
	Epoch    Epoch  `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Holder   string `cbor:"4,keyasint"`
	// TTLMS is the time for which the holder may act after it has sent the
	// record, in milliseconds.
	TTLMS uint32 `cbor:"5,keyasint"`
	// Release marks a record that releases the lease.
	Release bool `cbor:"6,keyasint,omitempty"`
	// ObservedSequence is, in an acquisition, the sequence number of the last
	// renewal of the expired epoch. The acquisition is void if the lease has
	// been renewed since. Zero acquires the lease at any sequence number.
	ObservedSequence uint64 `cbor:"7,keyasint,omitempty"`
}

// VMState is the lifecycle state of a VM.
type VMState uint8

// The states of a VM. A planned reboot passes through active, draining,
// drained, rebooting, probation and active again. A VM can fail in any state,
// and a failed VM returns to service through probation.
const (
	VMActive VMState = iota + 1
	VMDraining
	VMDrained
	VMRebooting
	VMProbation
	VMFailed
)

// String returns the name of the state in the administration API.
func (s VMState) String() string {
	switch s {
	case VMActive:
		return "active"
	case VMDraining:
		return "draining"
	case VMDrained:
		return "drained"
	case VMRebooting:
		return "rebooting"
	case VMProbation:
		return "probation"
	case VMFailed:
		return "failed"
	}
	return "unknown"
}

// Transition changes the state of a VM. It is void unless Sequence is the
// VM's current sequence and LeaseEpoch is the current epoch of the lease.
type Transition struct {
	VM         string  `cbor:"1,keyasint"`
	Sequence   uint64  `cbor:"2,keyasint"`
	To         VMState `cbor:"3,keyasint"`
	LeaseScope string  `cbor:"4,keyasint"`
	LeaseEpoch Epoch   `cbor:"5,keyasint"`
	// Image is the image that a VM runs when it enters probation.
	Image string `cbor:"6,keyasint,omitempty"`
	// Wave names the wave to which the transition belongs, if any.
	Wave string `cbor:"7,keyasint,omitempty"`
	// FailedProbation reports whether the VM failed during its probation.
	FailedProbation bool `cbor:"8,keyasint,omitempty"`
}

// Move assigns a drained VM to another pool.
type Move struct {
	VM         string `cbor:"1,keyasint"`
	Sequence   uint64 `cbor:"2,keyasint"`
	To         string `cbor:"3,keyasint"`
	LeaseScope string `cbor:"4,keyasint"`
	LeaseEpoch Epoch  `cbor:"5,keyasint"`
}

// DrainAck acknowledges a drain: the entry node no longer sends requests to the
// draining VM and has none in progress on it.
type DrainAck struct {
	VM          string `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
	Node        string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
}

// EntryMember is an entry node in the membership of a zone.
type EntryMember struct {
	Node string `cbor:"1,keyasint" json:"node"`
	// Incarnation increases with each start of the node.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// PeerAddress is the IP address and port at which peers reach the node.
	PeerAddress string `cbor:"3,keyasint" json:"peer_address"`
}

// EntryEpoch replaces the membership of a zone's entry nodes. It is void unless
// Epoch is the zone's current epoch plus one.
type EntryEpoch struct {
	Zone    string        `cbor:"1,keyasint"`
	Epoch   Epoch         `cbor:"2,keyasint"`
	Members []EntryMember `cbor:"3,keyasint"`
}

// WaveStop stops a wave before it has completed on all of its VMs.
type WaveStop struct {
	Wave       string `cbor:"1,keyasint"`
	Reason     string `cbor:"2,keyasint"`
	LeaseScope string `cbor:"3,keyasint"`
	LeaseEpoch Epoch  `cbor:"4,keyasint"`
}

// Snapshot carries one part of the control state after the record at offset
// Through. Applying it changes nothing. A reader restores it on startup, or
// when log retention has removed records that the reader still needs. A
// snapshot larger than one record is split into Parts records.
type Snapshot struct {
	Through Offset `cbor:"1,keyasint"`
	Part    int    `cbor:"2,keyasint"`
	Parts   int    `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint"`
	// Digest is the digest of the whole state, against which a reader checks
	// the joined parts.
	Digest uint64 `cbor:"5,keyasint"`
}

// MaxRecordBytes is the maximum size of an encoded record.
const MaxRecordBytes = 256 << 10

var encMode = codec.Encoder()
var decMode = codec.Decoder(codec.Limits{ArrayElements: 1 << 17, MapPairs: 1 << 16, NestedLevels: 16})

// EncodeRecord returns the deterministic CBOR encoding of a record. It fails if
// the encoding is larger than MaxRecordBytes.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := encMode.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode log record")
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Errorf("log record has %d bytes, limit is %d: split the change into smaller ones", len(data), MaxRecordBytes)
	}
	return data, nil
}

// DecodeRecord decodes a record that EncodeRecord encoded.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxRecordBytes {
		return r, errors.Errorf("log record has %d bytes, limit is %d", len(data), MaxRecordBytes)
	}
	if err := decMode.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, "decode log record")
	}
	return r, nil
}
