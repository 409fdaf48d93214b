package quota

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func accept(string) Choice { return Accept }

// TestBackloggedFlowsShareByWeight guards against service that is not
// proportional to the weights while every flow has queued entries.
func TestBackloggedFlowsShareByWeight(t *testing.T) {
	var q FairQueue[string]
	weights := map[string]float64{"a": 1, "b": 2, "c": 5}
	for _, name := range []string{"a", "b", "c"} {
		f := q.NewFlow(weights[name])
		for range 1000 {
			q.Push(f, name, 0.1)
		}
	}
	served := make(map[string]int)
	for range 800 {
		v, ok := q.Take(accept)
		require.True(t, ok)
		served[v]++
	}
	require.InDelta(t, 100, served["a"], 1)
	require.InDelta(t, 200, served["b"], 1)
	require.InDelta(t, 500, served["c"], 1)
}

// TestIdleFlowAccumulatesNoCredit guards against a flow that was empty for a
// while and then gets more than its share, because its start tag is old.
func TestIdleFlowAccumulatesNoCredit(t *testing.T) {
	var q FairQueue[string]
	a, b := q.NewFlow(1), q.NewFlow(1)
	for range 300 {
		q.Push(a, "a", 1)
	}
	for range 100 {
		q.Take(accept)
	}
	for range 100 {
		q.Push(b, "b", 1)
	}
	served := make(map[string]int)
	for range 100 {
		v, _ := q.Take(accept)
		served[v]++
	}
	require.InDelta(t, 50, served["b"], 1, "a flow gets no more than its share after it was idle")
}

func TestCorrectionChargesActualCost(t *testing.T) {
	var q FairQueue[string]
	a, b := q.NewFlow(1), q.NewFlow(1)
	served := make(map[string]int)
	for range 400 {
		q.Push(a, "a", 1)
		q.Push(b, "b", 1)
	}
	for range 300 {
		v, _ := q.Take(accept)
		served[v]++
		if v == "a" {
			q.AdjustCost(a, 2)
		}
	}
	require.InDelta(t, 75, served["a"], 2, "each entry of flow a costs three times its declared cost")
}

func TestParkedFlowIsNotOfferedAndSkippedEntryStays(t *testing.T) {
	var q FairQueue[string]
	a, b := q.NewFlow(1), q.NewFlow(1)
	q.Push(a, "a", 1)
	q.Push(b, "b", 1)
	v, ok := q.Take(func(v string) Choice {
		if v == "a" {
			return Park
		}
		return Accept
	})
	require.True(t, ok)
	require.Equal(t, "b", v)
	_, ok = q.Take(accept)
	require.False(t, ok, "entries of a parked flow must not be offered")
	q.Unpark(a)
	_, ok = q.Take(func(string) Choice { return Skip })
	require.False(t, ok)
	_, ok = q.Take(func(string) Choice { return Stop })
	require.False(t, ok)
	v, ok = q.Take(accept)
	require.True(t, ok, "a skipped entry must stay queued")
	require.Equal(t, "a", v)
}

// TestRemoveTakesConstantSteps guards against a removal whose cost grows with
// the length of the queue.
func TestRemoveTakesConstantSteps(t *testing.T) {
	perRemoval := func(n int) float64 {
		var q FairQueue[int]
		flows := make([]*Flow[int], 250)
		for i := range flows {
			flows[i] = q.NewFlow(1)
		}
		entries := make([]*Entry[int], n)
		for i := range entries {
			entries[i] = q.Push(flows[i%len(flows)], i, 1)
		}
		before := q.Steps()
		for _, i := range rand.New(rand.NewPCG(1, 1)).Perm(n) {
			q.Remove(entries[i])
		}
		require.Zero(t, q.Len())
		require.Zero(t, q.ActiveWeight())
		return float64(q.Steps()-before) / float64(n)
	}
	require.Equal(t, 1.0, perRemoval(1000))
	require.Equal(t, 1.0, perRemoval(100_000))
}

// TestRandomOperationsMatchPlainLists runs random operations on the queue and
// compares it with one plain list per flow after each of them. It also removes
// entries twice, which must have no effect the second time.
func TestRandomOperationsMatchPlainLists(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var q FairQueue[string]
		flows := make([]*Flow[string], 5)
		lists := make([][]string, 5)
		entries := make(map[string]*Entry[string])
		for i := range flows {
			flows[i] = q.NewFlow(float64(1 + i))
		}
		for n := range 3000 {
			i := rng.IntN(5)
			value := strconv.Itoa(i) + "/" + strconv.Itoa(n)
			switch rng.IntN(5) {
			case 0, 1:
				entries[value] = q.Push(flows[i], value, rng.Float64())
				lists[i] = append(lists[i], value)
			case 2:
				entries[value] = q.PushFront(flows[i], value, rng.Float64())
				lists[i] = append([]string{value}, lists[i]...)
			case 3:
				if len(lists[i]) > 0 {
					k := rng.IntN(len(lists[i]))
					q.Remove(entries[lists[i][k]])
					q.Remove(entries[lists[i][k]])
					lists[i] = append(lists[i][:k:k], lists[i][k+1:]...)
				}
			case 4:
				if v, ok := q.Take(accept); ok {
					owner, _ := strconv.Atoi(v[:1])
					require.Equal(t, lists[owner][0], v)
					lists[owner] = lists[owner][1:]
				}
			}
			total := 0
			for _, list := range lists {
				total += len(list)
			}
			require.Equal(t, total, q.Len())
		}
	}
}

func TestLimiterEnforcesRatePerTeam(t *testing.T) {
	var l Limiter
	l.SetRates(epoch, []Rate{{Team: "a", PerSecond: 10, Burst: 5}, {Team: "free"}})
	allowed := 0
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		if ok, _ := l.Allow(now, "a"); ok {
			allowed++
		}
		ok, _ := l.Allow(now, "free")
		require.True(t, ok)
	}
	require.InDelta(t, 104, allowed, 1)
	now := epoch.Add(10*time.Second + 50*time.Millisecond)
	for ok := true; ok; ok, _ = l.Allow(now, "a") {
	}
	_, wait := l.Allow(now, "a")
	require.InDelta(t, 50*time.Millisecond, wait, float64(time.Millisecond))
	ok, _ := l.Allow(now.Add(wait-time.Millisecond), "a")
	require.False(t, ok)
	ok, _ = l.Allow(now.Add(wait+time.Microsecond), "a")
	require.True(t, ok, "a request sent after the reported delay must be admitted")
	l.SetRates(now, []Rate{{Team: "a", PerSecond: 10, Burst: 5}})
	ok, _ = l.Allow(now, "a")
	require.False(t, ok, "replacing the rates must not refill the burst")
}
