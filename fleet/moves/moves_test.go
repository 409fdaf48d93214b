package moves

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/buffer"
)

var start = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

const out = 6 * time.Minute

func idle(name string, vms int) Pool {
	return Pool{Name: name, Serving: vms, Slots: 8, Lendable: 4, Demand: buffer.Estimate{Now: 1, Mean: 20}}
}

// bursting is a pool whose bursts are known to reach 100 slots for an hour.
func bursting(name string, vms int) Pool {
	p := idle(name, vms)
	p.Demand = buffer.Estimate{Now: 60, Burst: 100, Bursting: true, Since: start, BurstLength: time.Hour}
	return p
}

func TestDecide(t *testing.T) {
	ended := idle("ended", 13)
	ended.Demand.Burst, ended.Demand.BurstLength, ended.Demand.Since = 100, time.Hour, start
	spare := idle("spare", 10)
	spare.Spare = true
	brief := bursting("brief", 10)
	brief.Demand.BurstLength = 5 * time.Minute
	ending := bursting("ending", 10)
	ending.Demand.Ending = true
	next := idle("next", 10)
	next.Demand.Burst, next.Demand.BurstLength, next.Next = 100, time.Hour, true
	cases := map[string]struct {
		pools []Pool
		want  []Shift
	}{
		"a known burst gets its level at once":  {[]Pool{bursting("b", 10), idle("i", 10)}, []Shift{{From: "i", To: "b", Count: 3}}},
		"the pool whose burst ended last lends": {[]Pool{bursting("b", 10), idle("a", 10), ended}, []Shift{{From: "ended", To: "b", Count: 3}}},
		"then the spare pool":                   {[]Pool{bursting("b", 10), idle("a", 10), spare}, []Shift{{From: "spare", To: "b", Count: 3}}},
		"budgets bound what a pool lends":       {[]Pool{bursting("b", 6), idle("a", 10), idle("c", 10)}, []Shift{{From: "a", To: "b", Count: 4}, {From: "c", To: "b", Count: 3}}},
		"a burst too short to pay back":         {[]Pool{brief, idle("i", 10)}, nil},
		"nothing moves for an ending burst":     {[]Pool{ending, idle("i", 10)}, nil},
		"the expected pool is prepared":         {[]Pool{next, ended}, []Shift{{From: "ended", To: "next", Count: 3}}},
		"but only from the last":                {[]Pool{next, idle("i", 10)}, nil},
		"less than a fifth of a VM is no need":  {[]Pool{bursting("b", 13), idle("i", 10)}, nil},
		"a VM on its way counts":                {[]Pool{withComing(bursting("b", 10), 3), idle("i", 10)}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := NewMover(Options{})
			m.Decide(c.pools, start, out) // a shortage must be confirmed
			got := m.Decide(c.pools, start.Add(time.Minute), out)
			require.Equal(t, c.want, got)
		})
	}
}

func withComing(p Pool, coming int) Pool {
	p.Coming = coming
	return p
}

func TestAnUnknownShortageIsConfirmedFirst(t *testing.T) {
	short := idle("short", 10)
	short.Demand.Now = 100
	pools := []Pool{short, idle("i", 10)}
	m := NewMover(Options{Confirm: time.Minute})
	require.Empty(t, m.Decide(pools, start, out))
	require.Empty(t, m.Decide(pools, start.Add(30*time.Second), out))
	calm := []Pool{idle("short", 10), idle("i", 10)}
	require.Empty(t, m.Decide(calm, start.Add(45*time.Second), out))
	require.Empty(t, m.Decide(pools, start.Add(50*time.Second), out), "the shortage began anew")
	require.NotEmpty(t, m.Decide(pools, start.Add(2*time.Minute), out))
}

func TestAShortPoolWaitsForABurstToEndElsewhere(t *testing.T) {
	other := bursting("other", 13)
	other.Demand.Now = 100
	short := bursting("short", 10)
	pools := []Pool{other, short, idle("i", 10)}
	m := NewMover(Options{Await: 90 * time.Second})
	require.Empty(t, m.Decide(pools, start, out))
	require.Equal(t, []Shift{{From: "i", To: "short", Count: 3}}, m.Decide(pools, start.Add(90*time.Second), out))
}
