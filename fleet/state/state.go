package state

import (
	"wigeonwinch/fleet/structs"
)

// State is the control state of the fleet at one log offset.
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

	// acks holds the acknowledgements of the drains in progress, by VM ID.
	acks map[string][]ack
	// progress holds the VMs that each wave has counted, by wave name.
	progress map[string]*waveProgress
	keys     keyRing
	index    index

	// cachedView is the view of the current state, or nil if none has been
	// taken since the last record.
	cachedView *structs.View
	// violations holds the invariant violations found while applying records.
	violations []Violation
	skip       skippedChecks
}

// ack is the acknowledgement of a drain by one incarnation of an entry node.
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

// Next returns the offset of the next record to apply.
func (s *State) Next() structs.Offset {
	return s.next
}

// View returns an immutable view of the current state. All callers share the
// same view until the next record is applied.
func (s *State) View() *structs.View {
	if s.cachedView != nil {
		return s.cachedView
	}
	s.cachedView = &structs.View{
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
		EntryEpochs: s.entry.share(),
		Leases:      s.leases.share(),
	}
	return s.cachedView
}
