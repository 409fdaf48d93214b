package moves

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/buffer"
)

var start = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

const downtime = 6 * time.Minute

func idlePool(name string, vms int) Pool {
	return Pool{Name: name, Serving: vms, Slots: 8, Removable: 4, Demand: buffer.Estimate{Current: 1, Mean: 20}}
}

// burstingPool returns a pool in a burst whose bursts are known to reach 100
// slots and to last an hour.
func burstingPool(name string, vms int) Pool {
	p := idlePool(name, vms)
	p.Demand = buffer.Estimate{Current: 60, BurstLevel: 100, Bursting: true, PhaseStart: start, BurstLength: time.Hour}
	return p
}

func TestDecide(t *testing.T) {
	ended := idlePool("ended", 13)
	ended.Demand.BurstLevel, ended.Demand.BurstLength, ended.Demand.PhaseStart = 100, time.Hour, start
	spare := idlePool("spare", 10)
	spare.Spare = true
	brief := burstingPool("brief", 10)
	brief.Demand.BurstLength = 5 * time.Minute
	ending := burstingPool("ending", 10)
	ending.Demand.Ending = true
	next := idlePool("next", 10)
	next.Demand.BurstLevel, next.Demand.BurstLength, next.BurstExpected = 100, time.Hour, true
	cases := map[string]struct {
		pools []Pool
		want  []Shift
	}{
		"a known burst gets its level at once":               {[]Pool{burstingPool("b", 10), idlePool("i", 10)}, []Shift{{From: "i", To: "b", Count: 3}}},
		"the pool whose burst ended last is the first donor": {[]Pool{burstingPool("b", 10), idlePool("a", 10), ended}, []Shift{{From: "ended", To: "b", Count: 3}}},
		"the spare pool is the next donor":                   {[]Pool{burstingPool("b", 10), idlePool("a", 10), spare}, []Shift{{From: "spare", To: "b", Count: 3}}},
		"budgets limit what a donor gives":                   {[]Pool{burstingPool("b", 6), idlePool("a", 10), idlePool("c", 10)}, []Shift{{From: "a", To: "b", Count: 4}, {From: "c", To: "b", Count: 3}}},
		"no move for a burst too short to pay back":          {[]Pool{brief, idlePool("i", 10)}, nil},
		"no move for an ending burst":                        {[]Pool{ending, idlePool("i", 10)}, nil},
		"the next expected pool gets VMs early":              {[]Pool{next, ended}, []Shift{{From: "ended", To: "next", Count: 3}}},
		"but only from the donor whose burst ended last":     {[]Pool{next, idlePool("i", 10)}, nil},
		"a shortage below a fifth of a VM is ignored":        {[]Pool{burstingPool("b", 13), idlePool("i", 10)}, nil},
		"incoming VMs count":                                 {[]Pool{withIncoming(burstingPool("b", 10), 3), idlePool("i", 10)}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := NewMover(Options{})
			m.Decide(c.pools, start, downtime) // records the shortage, which must be confirmed
			got := m.Decide(c.pools, start.Add(time.Minute), downtime)
			require.Equal(t, c.want, got)
		})
	}
}

func withIncoming(p Pool, incoming int) Pool {
	p.Incoming = incoming
	return p
}

func TestShortageOutsideBurstMustBeConfirmed(t *testing.T) {
	short := idlePool("short", 10)
	short.Demand.Current = 100
	pools := []Pool{short, idlePool("i", 10)}
	m := NewMover(Options{ConfirmTime: time.Minute})
	require.Empty(t, m.Decide(pools, start, downtime))
	require.Empty(t, m.Decide(pools, start.Add(30*time.Second), downtime))
	noShortage := []Pool{idlePool("short", 10), idlePool("i", 10)}
	require.Empty(t, m.Decide(noShortage, start.Add(45*time.Second), downtime))
	require.Empty(t, m.Decide(pools, start.Add(50*time.Second), downtime), "the shortage began again")
	require.NotEmpty(t, m.Decide(pools, start.Add(2*time.Minute), downtime))
}

func TestShortPoolWaitsForOtherBurstToEnd(t *testing.T) {
	other := burstingPool("other", 13)
	other.Demand.Current = 100
	short := burstingPool("short", 10)
	pools := []Pool{other, short, idlePool("i", 10)}
	m := NewMover(Options{BurstEndWait: 90 * time.Second})
	require.Empty(t, m.Decide(pools, start, downtime))
	require.Equal(t, []Shift{{From: "i", To: "short", Count: 3}}, m.Decide(pools, start.Add(90*time.Second), downtime))
}
