package planner

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// faultInjector is a policy that injects random faults: a rack or a VM fails,
// a zone becomes unreachable, or the lease changes holders while records of
// the previous holder are still being appended.
type faultInjector struct {
	rng             *rand.Rand
	sim             *sim
	planner         *Planner
	nextFailure     time.Time
	nextTakeover    time.Time
	nextUnreachable time.Time
	takeovers       int
}

func newFaultInjector(s *sim, seed int64) *faultInjector {
	return &faultInjector{
		rng: rand.New(rand.NewSource(seed)), sim: s, planner: New(Options{}),
		nextFailure: s.now.Add(10 * time.Minute), nextTakeover: s.now.Add(5 * time.Minute), nextUnreachable: s.now,
	}
}

func (f *faultInjector) Round(in Input) Plan { return f.planner.Round(in) }

// randomTime returns a random time between minDelay and maxDelay from now.
func (f *faultInjector) randomTime(minDelay, maxDelay time.Duration) time.Time {
	return f.sim.now.Add(minDelay + time.Duration(f.rng.Int63n(int64(maxDelay-minDelay))))
}

func (f *faultInjector) injectFaults() {
	s := f.sim
	if !s.now.Before(f.nextFailure) {
		f.failRandomVMs()
		f.nextFailure = f.randomTime(25*time.Minute, 50*time.Minute)
	}
	if !s.now.Before(f.nextTakeover) {
		f.changeHolder()
		f.nextTakeover = f.randomTime(time.Minute, 30*time.Minute)
	}
	if !s.now.Before(f.nextUnreachable) {
		s.unreachableZones = nil
		if f.rng.Intn(3) == 0 {
			s.unreachableZones = []string{zoneName(f.rng.Intn(len(s.view.Zones)))}
		}
		f.nextUnreachable = f.randomTime(5*time.Minute, 20*time.Minute)
	}
}

func (f *faultInjector) failRandomVMs() {
	target := f.sim.view.VMs[f.rng.Intn(len(f.sim.view.VMs))]
	rack := f.rng.Intn(2) == 0
	length := time.Minute + time.Duration(f.rng.Int63n(int64(10*time.Minute)))
	f.sim.failWhere(length, func(vm *structs.VMStatus) bool {
		return vm.ID == target.ID || (rack && vm.Zone == target.Zone && vm.Rack == target.Rack)
	})
}

// changeHolder transfers the lease to another node before the records of the
// previous holder's last round reach the log.
func (f *faultInjector) changeHolder() {
	late := f.planner.Round(f.sim.input())
	f.takeovers++
	zone := f.takeovers % len(f.sim.view.Zones)
	f.sim.takeLease(fmt.Sprintf("e-%d-%d", zone, f.takeovers%simEntries))
	for _, rec := range late.Records {
		f.sim.apply(rec)
	}
	f.sim.view = f.sim.log.View()
	f.planner = New(Options{})
}

func TestRandomFailuresAndTakeovers(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSmallWaveSim(structs.FailureDomainRack, seed)
			s.longRequestShare = 0.02
			f := newFaultInjector(s, seed)
			demand := newDemand(5, meanSlots, 40*time.Minute, 8*time.Hour, seed)
			d := &demandPolicy{inner: f, sim: s, demand: demand}
			for d.round = range demand[0] {
				f.injectFaults()
				d.recordServing()
				s.step(d)
			}
			requireInvariants(t, s)
			require.Positive(t, d.moves)
			require.Greater(t, f.takeovers, 10)
			s.unreachableZones = nil
			s.runFor(New(Options{}), 3*time.Hour)
			require.True(t, s.finished())
			require.Empty(t, vmsInState(s, structs.VMFailed))
		})
	}
}
