package structs

import (
	"github.com/pkg/errors"

	"wigeonwinch/fleet/codec"
)

// Offset is a position in the platform's log.
type Offset uint64

// Generation counts the accepted configuration changes.
type Generation uint64

// Epoch counts the holders of a lease or the memberships of a zone.
type Epoch uint64

// Record is one entry of the log. Exactly one of the pointers is set.
type Record struct {
	// Key identifies the append; a second record with the same key is void.
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
// generation and the configuration it results in is valid.
type Publish struct {
	Base    Generation `cbor:"1,keyasint"`
	Changes []Change   `cbor:"2,keyasint"`
}

// Change puts or deletes one named item. Exactly one of the pointers is set,
// or Delete is set with Kind and Name.
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

// ItemKind is the kind of a manifest item.
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

// Lease takes or renews the right to plan for a scope. A take names the next
// epoch; a renewal names the current epoch and the next sequence number.
type Lease struct {
	Scope    string `cbor:"1,keyasint"`
	Epoch    Epoch  `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Holder   string `cbor:"4,keyasint"`
	// TTLMS is how long the holder may act after sending, in milliseconds.
	TTLMS uint32 `cbor:"5,keyasint"`
	// Release gives the lease up.
	Release bool `cbor:"6,keyasint,omitempty"`
	// Seen is, in a take, the sequence number of the lapsed epoch's last
	// renewal. A take that a renewal has overtaken is void. Zero takes the
	// lease whatever its sequence.
	Seen uint64 `cbor:"7,keyasint,omitempty"`
}

// VMState is where a VM stands in its life.
type VMState uint8

// The states of a VM. A planned stop passes active, draining, drained,
// rebooting, probation and active again. Any state can become failed, and a
// failed VM returns through probation.
const (
	VMActive VMState = iota + 1
	VMDraining
	VMDrained
	VMRebooting
	VMProbation
	VMFailed
)

// String returns the state's name as the administration API shows it.
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

// Transition moves a VM to another state. It is void unless Sequence is the
// VM's current sequence and LeaseEpoch is the current epoch of the lease.
type Transition struct {
	VM         string  `cbor:"1,keyasint"`
	Sequence   uint64  `cbor:"2,keyasint"`
	To         VMState `cbor:"3,keyasint"`
	LeaseScope string  `cbor:"4,keyasint"`
	LeaseEpoch Epoch   `cbor:"5,keyasint"`
	// Image is the image a VM in probation came back on.
	Image string `cbor:"6,keyasint,omitempty"`
	// Wave names the wave the transition belongs to, if any.
	Wave string `cbor:"7,keyasint,omitempty"`
	// FailedProbation says that the VM failed while in probation.
	FailedProbation bool `cbor:"8,keyasint,omitempty"`
}

// Move gives a drained VM to another pool.
type Move struct {
	VM         string `cbor:"1,keyasint"`
	Sequence   uint64 `cbor:"2,keyasint"`
	To         string `cbor:"3,keyasint"`
	LeaseScope string `cbor:"4,keyasint"`
	LeaseEpoch Epoch  `cbor:"5,keyasint"`
}

// DrainAck says that an entry node sends nothing more to a draining VM and
// has nothing in progress on it.
type DrainAck struct {
	VM          string `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
	Node        string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
}

// EntryMember is one entry node in a zone's membership.
type EntryMember struct {
	Node string `cbor:"1,keyasint" json:"node"`
	// Incarnation differs between two runs of a node; it only grows.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// PeerAddress is the IP address and port for peers.
	PeerAddress string `cbor:"3,keyasint" json:"peer_address"`
}

// EntryEpoch replaces the membership of one zone's entry nodes. It is void
// unless Epoch follows the zone's current epoch.
type EntryEpoch struct {
	Zone    string        `cbor:"1,keyasint"`
	Epoch   Epoch         `cbor:"2,keyasint"`
	Members []EntryMember `cbor:"3,keyasint"`
}

// WaveStop ends a wave before all its VMs are done.
type WaveStop struct {
	Wave       string `cbor:"1,keyasint"`
	Reason     string `cbor:"2,keyasint"`
	LeaseScope string `cbor:"3,keyasint"`
	LeaseEpoch Epoch  `cbor:"4,keyasint"`
}

// Snapshot carries the whole control state as it stood after Through. It
// changes nothing; a reader that starts or was overtaken begins from it.
// A snapshot larger than one record is split into Parts records.
type Snapshot struct {
	Through Offset `cbor:"1,keyasint"`
	Part    int    `cbor:"2,keyasint"`
	Parts   int    `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint"`
	// Digest is the state's digest, so that a reader can check the parts.
	Digest uint64 `cbor:"5,keyasint"`
}

// MaxRecordBytes bounds one encoded record.
const MaxRecordBytes = 256 << 10

var encMode = codec.Encoder()
var decMode = codec.Decoder(codec.Limits{ArrayElements: 1 << 17, MapPairs: 1 << 16, NestedLevels: 16})

// EncodeRecord returns the record's deterministic CBOR form. It fails when
// the form is larger than MaxRecordBytes.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := encMode.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode log record")
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Errorf("log record has %d bytes, the limit is %d: split the change into smaller ones", len(data), MaxRecordBytes)
	}
	return data, nil
}

// DecodeRecord reads a record that EncodeRecord wrote.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) > MaxRecordBytes {
		return r, errors.Errorf("log record has %d bytes, the limit is %d", len(data), MaxRecordBytes)
	}
	if err := decMode.Unmarshal(data, &r); err != nil {
		return r, errors.Wrap(err, "decode log record")
	}
	return r, nil
}
