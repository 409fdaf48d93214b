package state

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/codec"
	"wigeonwinch/fleet/structs"
)

// Limits on snapshots.
const (
	// snapshotFormat is the version of the layout of encodedState.
	snapshotFormat = 1
	// partDataBytes is the size of the state data in one snapshot record. It
	// leaves room for the rest of the record.
	partDataBytes = structs.MaxRecordBytes - 4096
	// maxParts limits the number of records of one snapshot.
	maxParts = 64
)

// encodedState is the form of a state that is encoded for snapshots and
// digests.
type encodedState struct {
	Format      int                  `cbor:"1,keyasint"`
	Next        structs.Offset       `cbor:"2,keyasint"`
	Generation  structs.Generation   `cbor:"3,keyasint"`
	PublishedAt structs.Offset       `cbor:"4,keyasint"`
	Zones       []structs.Zone       `cbor:"5,keyasint"`
	Teams       []structs.Team       `cbor:"6,keyasint"`
	Pools       []structs.Pool       `cbor:"7,keyasint"`
	Services    []structs.Service    `cbor:"8,keyasint"`
	Windows     []structs.Window     `cbor:"9,keyasint"`
	Waves       []encodedWave        `cbor:"10,keyasint"`
	VMs         []encodedVM          `cbor:"11,keyasint"`
	Entry       []structs.EntryEpoch `cbor:"12,keyasint"`
	Leases      []structs.Lease      `cbor:"13,keyasint"`
	Keys        []uint64             `cbor:"14,keyasint"`
}

type encodedWave struct {
	Wave     structs.Wave `cbor:"1,keyasint"`
	Stopped  string       `cbor:"2,keyasint,omitempty"`
	Returned []string     `cbor:"3,keyasint,omitempty"`
	Failed   []string     `cbor:"4,keyasint,omitempty"`
}

type encodedVM struct {
	VM       structs.VM      `cbor:"1,keyasint"`
	Pool     string          `cbor:"2,keyasint,omitempty"`
	State    structs.VMState `cbor:"3,keyasint"`
	Sequence uint64          `cbor:"4,keyasint,omitempty"`
	Image    string          `cbor:"5,keyasint,omitempty"`
	Wave     string          `cbor:"6,keyasint,omitempty"`
	Acks     []ack           `cbor:"7,keyasint,omitempty"`
	Removed  bool            `cbor:"8,keyasint,omitempty"`
}

var (
	stateEncMode = codec.Encoder()
	stateDecMode = codec.Decoder(codec.Limits{ArrayElements: 1 << 17, MapPairs: 1 << 16, NestedLevels: 16})
)

// encode returns the deterministic encoding of the state.
func (s *State) encode() []byte {
	data, err := stateEncMode.Marshal(s.export())
	if err != nil {
		panic(errors.Wrap(err, "encode the control state"))
	}
	return data
}

// Digest returns a hash of the whole state. Two nodes that have applied the
// same records up to the same offset have the same digest.
func (s *State) Digest() uint64 {
	return hashBytes(s.encode())
}

func (s *State) export() encodedState {
	e := encodedState{
		Format:      snapshotFormat,
		Next:        s.next,
		Generation:  s.generation,
		PublishedAt: s.publishedAt,
		Zones:       s.zones.sorted(),
		Teams:       s.teams.sorted(),
		Pools:       s.pools.sorted(),
		Services:    s.services.sorted(),
		Windows:     s.windows.sorted(),
		Entry:       s.entry.sorted(),
		Leases:      s.leases.sorted(),
		Keys:        s.keys.oldestFirst(),
	}
	for _, wave := range s.waves.sorted() {
		e.Waves = append(e.Waves, s.exportWave(wave))
	}
	for _, vm := range s.vms.list {
		e.VMs = append(e.VMs, s.exportVM(vm))
	}
	return e
}

func (s *State) exportWave(wave structs.WaveStatus) encodedWave {
	p := s.progress[wave.Name]
	return encodedWave{
		Wave:     wave.Wave,
		Stopped:  wave.Stopped,
		Returned: slices.Sorted(maps.Keys(p.returned)),
		Failed:   slices.Sorted(maps.Keys(p.failed)),
	}
}

func (s *State) exportVM(vm structs.VMStatus) encodedVM {
	return encodedVM{
		VM:       vm.VM,
		Pool:     vm.Pool,
		State:    vm.State,
		Sequence: vm.Sequence,
		Image:    vm.Image,
		Wave:     vm.Wave,
		Acks:     s.acks[vm.ID],
		Removed:  vm.Removed,
	}
}

// SnapshotRecords returns the records of a snapshot of the state, in order. The
// key must not have been used before. The record of part i has the key
// "<key>/<i>".
func (s *State) SnapshotRecords(key, writer string) ([]structs.Record, error) {
	if s.next == 0 {
		return nil, errors.New("no record has been applied yet: apply the log before taking a snapshot")
	}
	data := s.encode()
	digest := hashBytes(data)
	chunks := slices.Collect(slices.Chunk(data, partDataBytes))
	if len(chunks) > maxParts {
		return nil, errors.Errorf("snapshot has %d parts, limit is %d: reduce the number of VMs, teams or services", len(chunks), maxParts)
	}
	records := make([]structs.Record, 0, len(chunks))
	for i, chunk := range chunks {
		records = append(records, structs.Record{
			Key:    fmt.Sprintf("%s/%d", key, i),
			Writer: writer,
			Snapshot: &structs.Snapshot{
				Through: s.next - 1,
				Part:    i,
				Parts:   len(chunks),
				Data:    chunk,
				Digest:  digest,
			},
		})
	}
	return records, nil
}
