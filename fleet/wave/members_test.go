package wave

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// An entry node that was removed from its zone while it still runs does not
// acknowledge drains, but may have requests in progress on the worker. The
// drain must not finish on the remaining members' acknowledgements alone.
func TestDrainAfterMemberLossNeedsWorkerReport(t *testing.T) {
	tracker := NewTracker(Options{})
	vm := structs.VMStatus{VM: structs.VM{ID: "w", Zone: "a"}, State: structs.VMActive, Sequence: 1}
	now := start
	observe := func(after time.Duration, obs Observation, members ...structs.EntryMember) Step {
		now = now.Add(after)
		obs.VM, obs.Presence, obs.ProbeOK = "w", PresenceLive, true
		view := &structs.View{
			VMs:         []structs.VMStatus{vm},
			EntryEpochs: map[string]structs.EntryEpoch{"a": {Zone: "a", Members: members}},
		}
		tracker.Observe(view, map[string]*Observation{"w": &obs}, now)
		return tracker.Next(&vm, &obs, Context{Now: now, Members: members})
	}
	both := []structs.EntryMember{{Node: "e1", Incarnation: 1}, {Node: "e2", Incarnation: 1}}
	observe(0, Observation{}, both...)
	observe(memberLossGrace+time.Minute, Observation{}, both...)

	// No member was lost recently, so the acknowledgements are sufficient.
	vm.State, vm.Sequence, vm.Acks = structs.VMDraining, 2, []string{"e1", "e2"}
	require.Equal(t, structs.VMDrained, observe(time.Second, Observation{}, both...).To)

	// e2 is removed; its requests may still be in progress.
	step := observe(time.Second, Observation{}, both[0])
	require.Zero(t, step.To)
	require.True(t, step.Drain)
	step = observe(time.Second, Observation{InProgressAt: now.Add(-time.Second)}, both[0])
	require.Zero(t, step.To, "the worker's report predates the loss")
	step = observe(time.Second, Observation{InProgressAt: now, InProgress: 1}, both[0])
	require.Zero(t, step.To)
	step = observe(time.Second, Observation{InProgressAt: now}, both[0])
	require.Equal(t, structs.VMDrained, step.To)

	// A new incarnation of a node is a different member.
	require.Zero(t, observe(time.Second, Observation{}, structs.EntryMember{Node: "e1", Incarnation: 2}).To)
}
