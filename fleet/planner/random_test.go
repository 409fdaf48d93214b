package planner

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// storm strikes a fleet at random times: one rack or one VM fails at a time,
// zones are cut off, and the lease changes hands while the old holder still
// appends.
type storm struct {
	rng        *rand.Rand
	sim        *sim
	holder     *Planner
	nextStrike time.Time
	nextHolder time.Time
	nextCut    time.Time
	holders    int
}

func newStorm(s *sim, seed int64) *storm {
	return &storm{
		rng: rand.New(rand.NewSource(seed)), sim: s, holder: New(Options{}),
		nextStrike: s.now.Add(10 * time.Minute), nextHolder: s.now.Add(5 * time.Minute), nextCut: s.now,
	}
}

func (st *storm) Round(in Input) Plan { return st.holder.Round(in) }

// between returns a random time from now on.
func (st *storm) between(least, most time.Duration) time.Time {
	return st.sim.now.Add(least + time.Duration(st.rng.Int63n(int64(most-least))))
}

func (st *storm) before() {
	s := st.sim
	if !s.now.Before(st.nextStrike) {
		st.strike()
		st.nextStrike = st.between(25*time.Minute, 50*time.Minute)
	}
	if !s.now.Before(st.nextHolder) {
		st.changeHolder()
		st.nextHolder = st.between(time.Minute, 30*time.Minute)
	}
	if !s.now.Before(st.nextCut) {
		s.cut = nil
		if st.rng.Intn(3) == 0 {
			s.cut = []string{zoneName(st.rng.Intn(len(s.view.Zones)))}
		}
		st.nextCut = st.between(5*time.Minute, 20*time.Minute)
	}
}

func (st *storm) strike() {
	struck := st.sim.view.VMs[st.rng.Intn(len(st.sim.view.VMs))]
	rack := st.rng.Intn(2) == 0
	length := time.Minute + time.Duration(st.rng.Int63n(int64(10*time.Minute)))
	st.sim.failWhere(length, func(vm *structs.VMStatus) bool {
		return vm.ID == struck.ID || (rack && vm.Zone == struck.Zone && vm.Rack == struck.Rack)
	})
}

// changeHolder lets another node take the lease while the records of the old
// holder's last round are still on their way.
func (st *storm) changeHolder() {
	late := st.holder.Round(st.sim.input())
	st.holders++
	zone := st.holders % len(st.sim.view.Zones)
	st.sim.takeLease(fmt.Sprintf("e-%d-%d", zone, st.holders%simEntries))
	for _, rec := range late.Records {
		st.sim.fold(rec)
	}
	st.sim.view = st.sim.log.View()
	st.holder = New(Options{})
}

func TestRandomFailuresAndHolders(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := smallWave(structs.FailureDomainRack, seed)
			s.longShare = 0.02
			st := newStorm(s, seed)
			line := newDemand(5, meanSlots, 40*time.Minute, 8*time.Hour, seed)
			d := &demandPolicy{inner: st, sim: s, line: line}
			for d.round = range line[0] {
				st.before()
				d.serving()
				s.step(d)
			}
			requireSound(t, s)
			require.Positive(t, d.moves)
			require.Greater(t, st.holders, 10)
			s.cut = nil
			s.runFor(New(Options{}), 3*time.Hour)
			require.True(t, s.finished())
			require.Empty(t, vmsIn(s, structs.VMFailed))
		})
	}
}
