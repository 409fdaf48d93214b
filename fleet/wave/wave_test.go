package wave

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

var start = time.Date(2026, 3, 2, 23, 30, 0, 0, time.UTC)

// harness is a tracker that observes one VM.
type harness struct {
	tracker *Tracker
	vm      structs.VMStatus
	now     time.Time
}

func newHarness(state structs.VMState) *harness {
	return &harness{
		tracker: NewTracker(Options{}),
		vm:      structs.VMStatus{VM: structs.VM{ID: "w"}, State: state, Sequence: 4},
		now:     start,
	}
}

// step advances the time, passes the observation to the tracker and returns the
// VM's next step.
func (s *harness) step(after time.Duration, obs Observation, c Context) Step {
	s.now = s.now.Add(after)
	obs.VM = "w"
	view := &structs.View{VMs: []structs.VMStatus{s.vm}}
	s.tracker.Observe(view, map[string]*Observation{"w": &obs}, s.now)
	c.Now = s.now
	return s.tracker.Next(&s.vm, &obs, c)
}

// setState moves the VM to another state, which the next step observes.
func (s *harness) setState(state structs.VMState) {
	s.vm.State = state
	s.vm.Sequence++
}

var (
	healthy    = Observation{Presence: PresenceLive, BootCount: 1, ProbeOK: true}
	terminated = Observation{Presence: PresenceTerminated}
	members    = []structs.EntryMember{{Node: "e1"}, {Node: "e2"}}
)

func TestDrainRequiresAllAcknowledgements(t *testing.T) {
	cases := map[string]struct {
		acks       []string
		members    []structs.EntryMember
		inProgress int
		drained    bool
	}{
		"all":                 {[]string{"e1", "e2"}, members, 0, true},
		"one missing":         {[]string{"e1"}, members, 0, false},
		"request in progress": {[]string{"e1", "e2"}, members, 1, false},
		"no entry node":       {nil, nil, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newHarness(structs.VMDraining)
			s.vm.Acks = c.acks
			obs := healthy
			obs.InProgress = c.inProgress
			step := s.step(0, obs, Context{Members: c.members})
			require.Equal(t, c.drained, step.To == structs.VMDrained)
			require.True(t, step.Drain)
		})
	}
}

func TestRebootFinishesOnNewBootCount(t *testing.T) {
	s := newHarness(structs.VMDrained)
	s.step(0, healthy, Context{})
	s.setState(structs.VMRebooting)
	require.Equal(t, Step{Reboot: true}, s.step(time.Second, healthy, Context{Image: "new"}))
	require.Equal(t, Step{Reboot: true}, s.step(time.Minute, terminated, Context{Image: "new"}))
	back := Observation{Presence: PresenceLive, BootCount: 2, Image: "new"}
	require.Equal(t, Step{To: structs.VMProbation}, s.step(time.Minute, back, Context{Image: "new"}))
}

func TestRebootTimeoutFailsVM(t *testing.T) {
	s := newHarness(structs.VMDrained)
	s.step(0, healthy, Context{})
	s.setState(structs.VMRebooting)
	s.step(time.Second, terminated, Context{})
	step := s.step(16*time.Minute, terminated, Context{})
	require.Equal(t, Step{To: structs.VMFailed, FailedProbation: true}, step)
}

func TestRebootWithUnknownBootCountNeedsImageOrProbes(t *testing.T) {
	obs := healthy
	obs.Image = "new"
	s := newHarness(structs.VMRebooting)
	require.Equal(t, Step{To: structs.VMProbation}, s.step(0, obs, Context{Image: "new", NewImage: true}))
	s = newHarness(structs.VMRebooting)
	require.Equal(t, Step{Reboot: true}, s.step(0, obs, Context{Image: "new"}))
	require.Equal(t, Step{Reboot: true}, s.step(time.Minute, obs, Context{Image: "new"}))
	require.Equal(t, Step{To: structs.VMProbation}, s.step(3*time.Minute, obs, Context{Image: "new"}))
	s = newHarness(structs.VMRebooting)
	s.step(0, obs, Context{Image: "other"})
	require.Equal(t, Step{Reboot: true}, s.step(5*time.Minute, obs, Context{Image: "other"}))
}

func TestProbation(t *testing.T) {
	bad := Observation{Presence: PresenceLive, BootCount: 2, ConsecutiveFailures: 5}
	s := newHarness(structs.VMProbation)
	require.Equal(t, Step{}, s.step(0, healthy, Context{}))
	require.Equal(t, Step{}, s.step(30*time.Second, bad, Context{}), "services may still start")
	require.Equal(t, Step{}, s.step(30*time.Second, healthy, Context{}))
	require.Equal(t, Step{To: structs.VMActive}, s.step(time.Minute, healthy, Context{}))
	s = newHarness(structs.VMProbation)
	s.step(0, bad, Context{})
	require.Equal(t, Step{To: structs.VMFailed, FailedProbation: true}, s.step(3*time.Minute, bad, Context{}))
}

func TestFailedVMReturnsThroughProbation(t *testing.T) {
	s := newHarness(structs.VMActive)
	require.Equal(t, Step{To: structs.VMFailed}, s.step(0, terminated, Context{}))
	s.setState(structs.VMFailed)
	require.Equal(t, Step{}, s.step(time.Second, terminated, Context{}))
	require.Equal(t, Step{To: structs.VMProbation}, s.step(time.Second, healthy, Context{}))
}

func TestUnresponsiveVMFails(t *testing.T) {
	for _, state := range []structs.VMState{structs.VMActive, structs.VMDraining} {
		s := newHarness(state)
		two := Observation{Presence: PresenceLive, BootCount: 1, ConsecutiveFailures: 2}
		require.Zero(t, s.step(0, two, Context{}).To)
		three := Observation{Presence: PresenceLive, BootCount: 1, ConsecutiveFailures: 3}
		require.Equal(t, Step{To: structs.VMFailed}, s.step(time.Second, three, Context{}))
	}
}

func TestCanceledDrainIsRetriedWithBackoff(t *testing.T) {
	s := newHarness(structs.VMDraining)
	busy := healthy
	busy.InProgress = 1
	s.step(0, busy, Context{})
	require.False(t, s.tracker.Straggling("w", s.now))
	s.step(2*time.Minute+time.Second, busy, Context{})
	require.True(t, s.tracker.Straggling("w", s.now))
	s.tracker.RecordCanceledDrain("w", s.now)
	require.False(t, s.tracker.MayDrain("w", s.now.Add(4*time.Minute)))
	require.True(t, s.tracker.MayDrain("w", s.now.Add(5*time.Minute)))
	s.tracker.RecordCanceledDrain("w", s.now)
	require.False(t, s.tracker.MayDrain("w", s.now.Add(9*time.Minute)))
	require.True(t, s.tracker.MayDrain("w", s.now.Add(10*time.Minute)))
}

func TestWindow(t *testing.T) {
	late := structs.Window{StartMinute: 23 * 60, EndMinute: 60}
	early := structs.Window{StartMinute: 60, EndMinute: 120}
	require.True(t, WindowOpen(late, start))
	require.True(t, WindowOpen(late, start.Add(time.Hour)))
	require.False(t, WindowOpen(late, start.Add(90*time.Minute)))
	require.False(t, WindowOpen(early, start.Add(time.Hour)))
	require.True(t, WindowOpen(early, start.Add(2*time.Hour)))
	require.Equal(t, 2*time.Hour, WindowDuration(late))
	require.Equal(t, time.Hour, WindowDuration(early))
}
