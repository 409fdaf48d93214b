package wave

import (
	"slices"
	"time"

	"wigeonwinch/fleet/structs"
)

// lossCaution is how long an entry node that is no longer a member may still
// have work in progress on the zone's workers.
const lossCaution = 15 * time.Minute

// zoneMemory is what the tracker knows of a zone's entry nodes.
type zoneMemory struct {
	members []structs.EntryMember
	// lostAt is when a member was last seen to be gone. A new tracker does not
	// know the past, so that it counts from its first look.
	lostAt time.Time
}

func (t *Tracker) observeZones(view *structs.View, now time.Time) {
	for zone, epoch := range view.Entry {
		known := t.zones[zone]
		if known == nil {
			known = &zoneMemory{lostAt: now}
			t.zones[zone] = known
		}
		if lostMember(known.members, epoch.Members) {
			known.lostAt = now
		}
		known.members = epoch.Members
	}
}

func lostMember(before, after []structs.EntryMember) bool {
	return slices.ContainsFunc(before, func(m structs.EntryMember) bool {
		return !slices.Contains(after, m)
	})
}

// idleSince says that the VM is known to have had nothing in progress after
// its drain began. Acknowledgements alone say so while the members have not
// changed; a node that was removed though it lives acknowledges nothing, so
// that for a while the worker's own figure must say so too.
func (t *Tracker) idleSince(vm *structs.VMStatus, m *memory, seen *Observation, now time.Time) bool {
	if seen.InProgress > 0 {
		return false
	}
	zone := t.zones[vm.Zone]
	if zone == nil || now.Sub(zone.lostAt) > lossCaution {
		return true
	}
	return seen.BusyAt.After(m.since) && seen.BusyAt.After(zone.lostAt)
}
