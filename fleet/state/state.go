package state

import (
	"wigeonwinch/fleet/structs"
)

// State is the control state of the fleet at one offset of the log.
type State struct {
	next        structs.Offset
	generation  structs.Generation
	publishedAt structs.Offset

	zones    table[structs.Zone]
	teams    table[structs.Team]
	pools    table[structs.Pool]
	services table[structs.Service]
	windows  table[structs.Window]
	waves    table[structs.WaveStatus]
	entry    table[structs.EntryEpoch]
	leases   table[structs.Lease]
	vms      vmTable

	// acks are the acknowledgements of the drains in progress, by VM.
	acks map[string][]ack
	// progress holds the VMs that each wave has counted, by wave.
	progress map[string]*waveProgress
	keys     keyRing
	index    index

	// view is the picture of the current state, or nil when none was taken
	// since the last record.
	view *structs.View
	// violations are the broken invariants that the fold noticed.
	violations []Violation
	unsafe     unsafeSkips
}

// ack is the acknowledgement of a drain by one run of an entry node.
type ack struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// New returns the state before the first record of the log.
func New() *State {
	return &State{
		zones:    newTable[structs.Zone](),
		teams:    newTable[structs.Team](),
		pools:    newTable[structs.Pool](),
		services: newTable[structs.Service](),
		windows:  newTable[structs.Window](),
		waves:    newTable[structs.WaveStatus](),
		entry:    newTable[structs.EntryEpoch](),
		leases:   newTable[structs.Lease](),
		acks:     map[string][]ack{},
		progress: map[string]*waveProgress{},
		keys:     newKeyRing(),
		index:    newIndex(),
	}
}

// Next returns the offset of the next record to fold.
func (s *State) Next() structs.Offset {
	return s.next
}

// View returns the picture of the current state. It is shared by all callers
// until the next record is folded, and never changes.
func (s *State) View() *structs.View {
	if s.view != nil {
		return s.view
	}
	s.view = &structs.View{
		Offset:      s.next,
		Generation:  s.generation,
		PublishedAt: s.publishedAt,
		Zones:       s.zones.share(),
		Teams:       s.teams.share(),
		Pools:       s.pools.share(),
		Services:    s.services.share(),
		Windows:     s.windows.share(),
		Waves:       s.waves.share(),
		VMs:         s.vms.share(),
		Entry:       s.entry.share(),
		Leases:      s.leases.share(),
	}
	return s.view
}
