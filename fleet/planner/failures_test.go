package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/moves"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

const (
	testLimit  = 24 * time.Hour
	testOutage = 40 * time.Minute
)

// requireInvariants checks the invariants that hold after every run.
func requireInvariants(t *testing.T, s *sim) {
	t.Helper()
	require.Zero(t, s.budgetBreaches, "a planned outage violated a budget")
	require.Zero(t, s.interruptedRequests, "a planned reboot interrupted a request")
	require.Zero(t, s.undrainedReboots, "a VM was rebooted before it was drained")
}

// newSmallWaveSim returns a small fleet at the start of a wave.
func newSmallWaveSim(survive structs.FailureDomain, seed int64) *sim {
	s := newSim(newView(smallShape(survive)), seed)
	s.addWave()
	return s
}

// newMidWaveSim returns a small fleet four minutes into a wave, and its
// planner.
func newMidWaveSim(survive structs.FailureDomain, seed int64) (*sim, *Planner) {
	s := newSmallWaveSim(survive, seed)
	s.longRequestShare = 0.02
	p := New(Options{})
	s.runFor(p, 4*time.Minute)
	return s, p
}

func (s *sim) runFor(p policy, length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.step(p)
	}
}

func inZone(zone int) func(*structs.VMStatus) bool {
	return func(vm *structs.VMStatus) bool { return vm.Zone == zoneName(zone) }
}

// inRackOfDraining returns a function that selects the VMs in the rack of the
// first draining VM.
func inRackOfDraining(t *testing.T, s *sim) func(*structs.VMStatus) bool {
	t.Helper()
	for i := range s.view.VMs {
		if vm := s.view.VMs[i]; vm.State == structs.VMDraining {
			return func(other *structs.VMStatus) bool { return other.Zone == vm.Zone && other.Rack == vm.Rack }
		}
	}
	require.Fail(t, "no VM is draining")
	return nil
}

func TestWaveFinishesDespiteFailures(t *testing.T) {
	cases := map[string]struct {
		survive structs.FailureDomain
		fail    func(*testing.T, *sim)
	}{
		"zone": {structs.FailureDomainZone, func(_ *testing.T, s *sim) {
			s.failWhere(testOutage, inZone(1))
		}},
		"rack while draining": {structs.FailureDomainRack, func(t *testing.T, s *sim) {
			s.failWhere(testOutage, inRackOfDraining(t, s))
		}},
		"rack and zone": {structs.FailureDomainZone, func(t *testing.T, s *sim) {
			s.failWhere(testOutage, inRackOfDraining(t, s))
			s.failWhere(testOutage, inZone(2))
		}},
		"rack and a VM": {structs.FailureDomainRack, func(t *testing.T, s *sim) {
			s.failWhere(testOutage, inRackOfDraining(t, s))
			s.failWhere(testOutage, func(vm *structs.VMStatus) bool { return vm.ID == "w-00017" })
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, p := newMidWaveSim(c.survive, 7)
			for range 3 * time.Minute / simRound { // until a VM is draining
				if len(vmsInState(s, structs.VMDraining)) > 0 {
					break
				}
				s.step(p)
			}
			c.fail(t, s)
			s.runFor(p, testOutage+10*time.Minute)
			s.runUntilFinished(p, testLimit)
			require.True(t, s.finished())
			require.Empty(t, vmsInState(s, structs.VMFailed))
			if name != "rack and zone" {
				requireInvariants(t, s) // the other case exceeds what the budgets cover
			}
			require.Zero(t, s.interruptedRequests)
			require.Zero(t, s.undrainedReboots)
		})
	}
}

func vmsInState(s *sim, state structs.VMState) []string {
	var ids []string
	for i := range s.view.VMs {
		if s.view.VMs[i].State == state {
			ids = append(ids, s.view.VMs[i].ID)
		}
	}
	return ids
}

func TestFailureCancelsDrains(t *testing.T) {
	s := newSmallWaveSim(structs.FailureDomainZone, 3)
	p := New(Options{Wave: wave.Options{StragglerTimeout: time.Hour}})
	for i := range s.workers {
		s.workers[i].longEnd = s.now.Add(20 * time.Minute) // no drain completes early
	}
	s.runFor(p, 15*time.Second)
	require.NotEmpty(t, vmsInState(s, structs.VMDraining))
	s.failWhere(testOutage, inZone(3))
	s.runFor(p, 15*time.Second)
	require.Empty(t, vmsInState(s, structs.VMDraining), "drains must be canceled while a zone is down")
	requireInvariants(t, s)
}

func TestNewLeaseHolderResumesWave(t *testing.T) {
	s := newSmallWaveSim(structs.FailureDomainRack, 5)
	s.longRequestShare = 0.05
	nodes := []string{"e-0-0", "e-1-0", "e-2-0"}
	old := New(Options{})
	for turn := 1; !s.finished() && s.now.Sub(s.start) < testLimit; turn++ {
		s.runFor(old, 95*time.Second)
		late := old.Round(s.input())
		s.takeLease(nodes[turn%len(nodes)])
		before := s.voidRecords
		for _, rec := range late.Records {
			s.apply(rec)
		}
		require.Equal(t, before+len(late.Records), s.voidRecords, "a record of the previous lease holder was applied")
		old = New(Options{})
	}
	require.True(t, s.finished())
	requireInvariants(t, s)
}

func TestWaveStopsWhenVMsFailProbation(t *testing.T) {
	s := newSmallWaveSim(structs.FailureDomainRack, 6)
	s.brokenImage = imageNew
	for i := range s.view.VMs { // the drains of one pool are still running when the wave stops
		if vm := &s.view.VMs[i]; vm.Pool == poolName(4) {
			s.workerOf(vm).longEnd = s.now.Add(testLimit)
		}
	}
	p := New(Options{})
	s.runFor(p, 2*time.Hour)
	status := s.view.Waves["march"]
	require.NotEmpty(t, status.Stopped)
	require.Contains(t, status.Stopped, "publish a wave with a mended image")
	require.Empty(t, vmsInState(s, structs.VMDraining))
	require.NotEmpty(t, vmsInState(s, structs.VMFailed))
	for i := range s.view.VMs {
		vm := &s.view.VMs[i]
		if vm.State == structs.VMActive {
			require.NotEqual(t, imageNew, s.workerOf(vm).image)
		}
	}
	requireInvariants(t, s)
}

func TestMustStopRequiresEnoughFailures(t *testing.T) {
	status := structs.WaveStatus{Wave: structs.Wave{MaxFailedPercent: 10}}
	for _, c := range []struct {
		returned, failed int
		stop             bool
	}{{0, 2, false}, {0, 3, true}, {27, 3, false}, {26, 3, true}, {100, 10, false}, {100, 12, true}} {
		status.Returned, status.FailedProbation = c.returned, c.failed
		require.Equal(t, c.stop, wave.Options{}.MustStop(status), "%d returned, %d failed", c.returned, c.failed)
	}
}

func TestStragglerDelaysOnlyItsVM(t *testing.T) {
	s := newSmallWaveSim(structs.FailureDomainRack, 8)
	stuck := map[string]bool{"w-00003": true, "w-00010": true}
	for id := range stuck {
		s.workers[s.byID[id]].longEnd = s.now.Add(365 * 24 * time.Hour)
	}
	p := New(Options{})
	s.runFor(p, 3*time.Hour)
	for i := range s.view.VMs {
		vm := &s.view.VMs[i]
		if stuck[vm.ID] {
			require.Equal(t, uint64(1), s.workerOf(vm).boot, "%s was rebooted", vm.ID)
			continue
		}
		require.Equal(t, structs.VMActive, vm.State, vm.ID)
		require.Equal(t, imageNew, vm.Image, vm.ID)
	}
	plan := s.step(p)
	require.Equal(t, len(s.view.VMs)-len(stuck), plan.Forecasts[0].Done)
	requireInvariants(t, s)
}

func TestStragglersDoNotBlockPool(t *testing.T) {
	s := newSmallWaveSim(structs.FailureDomainRack, 8)
	p := New(Options{})
	s.runFor(p, simRound)
	stuck := map[string]bool{}
	for _, id := range vmsInState(s, structs.VMDraining) { // as many as the budgets allow
		stuck[id] = true
		s.workers[s.byID[id]].longEnd = s.now.Add(testLimit)
	}
	require.NotEmpty(t, stuck)
	s.runFor(p, 2*time.Hour)
	for i := range s.view.VMs {
		vm := &s.view.VMs[i]
		require.Equal(t, stuck[vm.ID], vm.Image != imageNew, vm.ID)
	}
	requireInvariants(t, s)
}

func TestMovesReduceBurstShortage(t *testing.T) {
	demand := newDemand(5, meanSlots, time.Hour, learnTime+2*time.Hour, 4)
	ours := runDay(newView(movesShape()), New(Options{}), demand, learnTime, 4)
	withoutMoves := runDay(newView(movesShape()), newPlannerWithMover(noMover{}), demand, learnTime, 4)
	require.Positive(t, ours.moves)
	require.Zero(t, withoutMoves.moves)
	require.Less(t, ours.shortage, withoutMoves.shortage/5)
	requireInvariants(t, ours.sim)
	require.Zero(t, ours.sim.voidRecords, ours.sim.lastVoid.Detail)
}

func TestNothingIsPlannedInUnreachableZone(t *testing.T) {
	s := newSmallWaveSim(structs.FailureDomainRack, 9)
	s.unreachableZones = []string{zoneName(2)}
	p := New(Options{})
	s.runFor(p, 3*time.Hour)
	s.failWhere(10*time.Minute, inZone(2))
	s.runFor(p, 20*time.Minute)
	for i := range s.view.VMs {
		vm := &s.view.VMs[i]
		if vm.Zone == zoneName(2) {
			require.Equal(t, uint64(0), vm.Sequence, "%s was changed in an unreachable zone", vm.ID)
		}
	}
	requireInvariants(t, s)
	s.unreachableZones = nil
	s.runUntilFinished(New(Options{}), testLimit)
	require.True(t, s.finished())
}

func TestPausedWaveAndClosedWindowDrainNoVM(t *testing.T) {
	for name, w := range map[string]structs.Wave{
		"paused": {Name: "march", Image: imageNew, Paused: true},
		"window": {Name: "march", Image: imageNew, Window: "night"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(newView(smallShape(structs.FailureDomainRack)), 4)
			s.publishChanges(
				structs.Change{Kind: structs.ItemWindow, Name: "night", Window: &structs.Window{Name: "night", StartMinute: 60, EndMinute: 120}},
				structs.Change{Kind: structs.ItemWave, Name: "march", Wave: &w},
			)
			p := New(Options{})
			s.runFor(p, 55*time.Minute)
			require.Len(t, vmsInState(s, structs.VMActive), len(s.view.VMs))
			require.Zero(t, s.voidRecords, "the log refused a drain")
			s.runFor(p, 10*time.Minute)
			require.Zero(t, s.voidRecords)
			require.Equal(t, name == "paused", len(vmsInState(s, structs.VMActive)) == len(s.view.VMs))
		})
	}
}

func TestRoundOnStaleViewDrainsNoFurtherVM(t *testing.T) {
	s := newSmallWaveSim(structs.FailureDomainRack, 2)
	p := New(Options{})
	first := drainKeys(p.Round(s.input()))
	require.NotEmpty(t, first)
	s.now = s.now.Add(simRound)
	in := s.input()
	for i := range in.Observations {
		in.Observations[i].InProgress = i % 5
	}
	require.Equal(t, first, drainKeys(p.Round(in)), "drains not shown by the log yet must count against the budgets")
}

func drainKeys(plan Plan) map[string]string {
	keys := map[string]string{}
	for _, rec := range plan.Records {
		if rec.Transition != nil && rec.Transition.To == structs.VMDraining {
			keys[rec.Transition.VM] = rec.Key
		}
	}
	return keys
}

func TestRestartOnWaveImageCountsAsDone(t *testing.T) {
	s := newSmallWaveSim(structs.FailureDomainRack, 2)
	s.workers[0].image = imageNew
	s.runFor(New(Options{}), 3*time.Hour)
	require.True(t, s.finished())
	vm, _ := s.view.VMByID(s.workers[0].id)
	require.Zero(t, vm.Sequence, "the VM was drained although it runs the image")
}

func TestRemovedVMsAreDrainedAndDropped(t *testing.T) {
	s := newSim(newView(smallShape(structs.FailureDomainRack)), 2)
	s.publishChanges(structs.Change{Kind: structs.ItemVM, Name: "w-00005", Delete: true})
	s.runFor(New(Options{}), 5*time.Minute)
	_, found := s.view.VMByID("w-00005")
	require.False(t, found)
	requireInvariants(t, s)
}

// unboundedMover requests more VMs than any budget allows.
type unboundedMover struct{}

func (unboundedMover) Decide([]moves.Pool, time.Time, time.Duration) []moves.Shift {
	return []moves.Shift{{From: poolName(0), To: poolName(1), Count: 50}}
}

func TestMovesKeepBudgets(t *testing.T) {
	s := newSim(newView(smallShape(structs.FailureDomainRack)), 3)
	s.runFor(newPlannerWithMover(unboundedMover{}), time.Hour)
	require.Less(t, vmsPerPool(s)[0], 12, "at least one VM must have moved")
	require.Zero(t, s.voidRecords, s.lastVoid.Detail)
	requireInvariants(t, s)
}
