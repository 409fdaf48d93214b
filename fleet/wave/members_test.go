package wave

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// An entry node that was removed from its zone though it lives acknowledges no
// drain, but may still have work in progress on the worker.
func TestDrainAfterALostMemberNeedsTheWorkersOwnWord(t *testing.T) {
	tracker := NewTracker(Options{})
	vm := structs.VMStatus{VM: structs.VM{ID: "w", Zone: "a"}, State: structs.VMActive, Sequence: 1}
	now := start
	look := func(after time.Duration, seen Observation, members ...structs.EntryMember) Step {
		now = now.Add(after)
		seen.VM, seen.Present, seen.ProbeOK = "w", PresenceLive, true
		view := &structs.View{
			VMs:   []structs.VMStatus{vm},
			Entry: map[string]structs.EntryEpoch{"a": {Zone: "a", Members: members}},
		}
		tracker.Observe(view, map[string]*Observation{"w": &seen}, now)
		return tracker.Next(&vm, &seen, Context{Now: now, Members: members})
	}
	both := []structs.EntryMember{{Node: "e1", Incarnation: 1}, {Node: "e2", Incarnation: 1}}
	look(0, Observation{}, both...)
	look(lossCaution+time.Minute, Observation{}, both...)

	// Nobody was lost for long: the acknowledgements say enough.
	vm.State, vm.Sequence, vm.Acks = structs.VMDraining, 2, []string{"e1", "e2"}
	require.Equal(t, structs.VMDrained, look(time.Second, Observation{}, both...).To)

	// e2 is removed: its work is not known to have ended.
	step := look(time.Second, Observation{}, both[0])
	require.Zero(t, step.To)
	require.True(t, step.Drain)
	step = look(time.Second, Observation{BusyAt: now.Add(-time.Second)}, both[0])
	require.Zero(t, step.To, "the figure is from before the loss")
	step = look(time.Second, Observation{BusyAt: now, InProgress: 1}, both[0])
	require.Zero(t, step.To)
	step = look(time.Second, Observation{BusyAt: now}, both[0])
	require.Equal(t, structs.VMDrained, step.To)

	// A new run under the same name is another member.
	require.Zero(t, look(time.Second, Observation{}, structs.EntryMember{Node: "e1", Incarnation: 2}).To)
}
