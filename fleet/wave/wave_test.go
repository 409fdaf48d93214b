package wave

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

var start = time.Date(2026, 3, 2, 23, 30, 0, 0, time.UTC)

// scene is one VM under a tracker.
type scene struct {
	tracker *Tracker
	vm      structs.VMStatus
	now     time.Time
}

func newScene(state structs.VMState) *scene {
	return &scene{
		tracker: NewTracker(Options{}),
		vm:      structs.VMStatus{VM: structs.VM{ID: "w"}, State: state, Sequence: 4},
		now:     start,
	}
}

// at shows the tracker the observation after a while and returns the step.
func (s *scene) at(after time.Duration, seen Observation, c Context) Step {
	s.now = s.now.Add(after)
	seen.VM = "w"
	view := &structs.View{VMs: []structs.VMStatus{s.vm}}
	s.tracker.Observe(view, map[string]*Observation{"w": &seen}, s.now)
	c.Now = s.now
	return s.tracker.Next(&s.vm, &seen, c)
}

// enter moves the VM to another state, seen by the tracker.
func (s *scene) enter(state structs.VMState) {
	s.vm.State = state
	s.vm.Sequence++
}

var (
	good    = Observation{Present: PresenceLive, Boot: 1, ProbeOK: true}
	gone    = Observation{Present: PresenceTerminated}
	members = []structs.EntryMember{{Node: "e1"}, {Node: "e2"}}
)

func TestDrainNeedsEveryAcknowledgement(t *testing.T) {
	cases := map[string]struct {
		acks       []string
		members    []structs.EntryMember
		inProgress int
		drained    bool
	}{
		"all":           {[]string{"e1", "e2"}, members, 0, true},
		"one missing":   {[]string{"e1"}, members, 0, false},
		"still working": {[]string{"e1", "e2"}, members, 1, false},
		"no entry node": {nil, nil, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScene(structs.VMDraining)
			s.vm.Acks = c.acks
			seen := good
			seen.InProgress = c.inProgress
			step := s.at(0, seen, Context{Members: c.members})
			require.Equal(t, c.drained, step.To == structs.VMDrained)
			require.True(t, step.Drain)
		})
	}
}

func TestRebootEndsWithANewBoot(t *testing.T) {
	s := newScene(structs.VMDrained)
	s.at(0, good, Context{})
	s.enter(structs.VMRebooting)
	require.Equal(t, Step{Reboot: true}, s.at(time.Second, good, Context{Image: "new"}))
	require.Equal(t, Step{Reboot: true}, s.at(time.Minute, gone, Context{Image: "new"}))
	back := Observation{Present: PresenceLive, Boot: 2, Image: "new"}
	require.Equal(t, Step{To: structs.VMProbation}, s.at(time.Minute, back, Context{Image: "new"}))
}

func TestRebootThatNeverEndsFails(t *testing.T) {
	s := newScene(structs.VMDrained)
	s.at(0, good, Context{})
	s.enter(structs.VMRebooting)
	s.at(time.Second, gone, Context{})
	step := s.at(16*time.Minute, gone, Context{})
	require.Equal(t, Step{To: structs.VMFailed, FailedProbation: true}, step)
}

func TestResumedRebootNeedsTheImageOrAWhileOfGoodProbes(t *testing.T) {
	seen := good
	seen.Image = "new"
	s := newScene(structs.VMRebooting)
	require.Equal(t, Step{To: structs.VMProbation}, s.at(0, seen, Context{Image: "new", NewImage: true}))
	s = newScene(structs.VMRebooting)
	require.Equal(t, Step{Reboot: true}, s.at(0, seen, Context{Image: "new"}))
	require.Equal(t, Step{Reboot: true}, s.at(time.Minute, seen, Context{Image: "new"}))
	require.Equal(t, Step{To: structs.VMProbation}, s.at(3*time.Minute, seen, Context{Image: "new"}))
	s = newScene(structs.VMRebooting)
	s.at(0, seen, Context{Image: "other"})
	require.Equal(t, Step{Reboot: true}, s.at(5*time.Minute, seen, Context{Image: "other"}))
}

func TestProbation(t *testing.T) {
	bad := Observation{Present: PresenceLive, Boot: 2, Failures: 5}
	s := newScene(structs.VMProbation)
	require.Equal(t, Step{}, s.at(0, good, Context{}))
	require.Equal(t, Step{}, s.at(30*time.Second, bad, Context{}), "services may still start")
	require.Equal(t, Step{}, s.at(30*time.Second, good, Context{}))
	require.Equal(t, Step{To: structs.VMActive}, s.at(time.Minute, good, Context{}))
	s = newScene(structs.VMProbation)
	s.at(0, bad, Context{})
	require.Equal(t, Step{To: structs.VMFailed, FailedProbation: true}, s.at(3*time.Minute, bad, Context{}))
}

func TestFailedVMReturnsThroughProbation(t *testing.T) {
	s := newScene(structs.VMActive)
	require.Equal(t, Step{To: structs.VMFailed}, s.at(0, gone, Context{}))
	s.enter(structs.VMFailed)
	require.Equal(t, Step{}, s.at(time.Second, gone, Context{}))
	require.Equal(t, Step{To: structs.VMProbation}, s.at(time.Second, good, Context{}))
}

func TestVMThatStopsAnsweringFails(t *testing.T) {
	for _, state := range []structs.VMState{structs.VMActive, structs.VMDraining} {
		s := newScene(state)
		two := Observation{Present: PresenceLive, Boot: 1, Failures: 2}
		require.Zero(t, s.at(0, two, Context{}).To)
		three := Observation{Present: PresenceLive, Boot: 1, Failures: 3}
		require.Equal(t, Step{To: structs.VMFailed}, s.at(time.Second, three, Context{}))
	}
}

func TestRecalledDrainIsRetriedLaterAndLater(t *testing.T) {
	s := newScene(structs.VMDraining)
	busy := good
	busy.InProgress = 1
	s.at(0, busy, Context{})
	require.False(t, s.tracker.Straggling("w", s.now))
	s.at(2*time.Minute+time.Second, busy, Context{})
	require.True(t, s.tracker.Straggling("w", s.now))
	s.tracker.Recall("w", s.now)
	require.False(t, s.tracker.Ready("w", s.now.Add(4*time.Minute)))
	require.True(t, s.tracker.Ready("w", s.now.Add(5*time.Minute)))
	s.tracker.Recall("w", s.now)
	require.False(t, s.tracker.Ready("w", s.now.Add(9*time.Minute)))
	require.True(t, s.tracker.Ready("w", s.now.Add(10*time.Minute)))
}

func TestOpen(t *testing.T) {
	late := structs.Window{StartMinute: 23 * 60, EndMinute: 60}
	early := structs.Window{StartMinute: 60, EndMinute: 120}
	require.True(t, Open(late, start))
	require.True(t, Open(late, start.Add(time.Hour)))
	require.False(t, Open(late, start.Add(90*time.Minute)))
	require.False(t, Open(early, start.Add(time.Hour)))
	require.True(t, Open(early, start.Add(2*time.Hour)))
	require.Equal(t, 2*time.Hour, OpenTime(late))
	require.Equal(t, time.Hour, OpenTime(early))
}
