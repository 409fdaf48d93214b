package wave

import (
	"slices"
	"time"

	"wigeonwinch/fleet/structs"
)

// memberLossGrace is how long an entry node that is no longer a member may still
// have requests in progress on the zone's workers.
const memberLossGrace = 15 * time.Minute

// zoneHistory records the membership changes of a zone's entry nodes.
type zoneHistory struct {
	members []structs.EntryMember
	// memberLostAt is when the tracker last noticed that a member was gone. A
	// new tracker does not know earlier losses and starts with the time of its
	// first observation.
	memberLostAt time.Time
}

func (t *Tracker) observeZones(view *structs.View, now time.Time) {
	for zone, epoch := range view.EntryEpochs {
		history := t.zones[zone]
		if history == nil {
			history = &zoneHistory{memberLostAt: now}
			t.zones[zone] = history
		}
		if hasLostMember(history.members, epoch.Members) {
			history.memberLostAt = now
		}
		history.members = epoch.Members
	}
}

func hasLostMember(before, after []structs.EntryMember) bool {
	return slices.ContainsFunc(before, func(m structs.EntryMember) bool {
		return !slices.Contains(after, m)
	})
}

// idleAfterDrain reports whether the VM is known to have had no request in
// progress after its drain began. The acknowledgements of the members are
// sufficient unless a member was lost recently. An entry node that was removed
// while it still runs does not acknowledge drains, so for memberLossGrace after
// a loss the worker itself must also report no request in progress.
func (t *Tracker) idleAfterDrain(vm *structs.VMStatus, h *vmHistory, obs *Observation, now time.Time) bool {
	if obs.InProgress > 0 {
		return false
	}
	zone := t.zones[vm.Zone]
	if zone == nil || now.Sub(zone.memberLostAt) > memberLossGrace {
		return true
	}
	return obs.InProgressAt.After(h.since) && obs.InProgressAt.After(zone.memberLostAt)
}
