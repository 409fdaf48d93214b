package eject

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTracker(n int, opts Options) (*Tracker, []string) {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("w%02d", i)
	}
	t := New(opts)
	t.SetWorkers(epoch, ids)
	return t, ids
}

// observeRounds records one outcome for each worker in each round, and returns
// the time of the last round.
func observeRounds(t *Tracker, ids []string, from time.Time, n int, outcome func(id string, round int) (service string, ok bool)) time.Time {
	for round := range n {
		from = from.Add(100 * time.Millisecond)
		for _, id := range ids {
			service, ok := outcome(id, round)
			t.Observe(from, id, service, ok)
		}
	}
	return from
}

func TestFailingWorkerIsEjectedProbedAndReadmitted(t *testing.T) {
	tr, ids := newTracker(10, Options{})
	now := observeRounds(tr, ids, epoch, 4, func(id string, _ int) (string, bool) { return "review", id != "w03" })
	require.Equal(t, Ejected, tr.State(now, "w03"))
	require.Zero(t, tr.Share(now, "w03"))
	require.Equal(t, 1, tr.Unavailable())

	now = tr.NextChange(now)
	require.Equal(t, Probing, tr.State(now, "w03"))
	require.True(t, tr.Admits(now, "w03", true, false))
	require.False(t, tr.Admits(now, "w03", false, false), "a request that is not repeatable must not be a probe")
	require.False(t, tr.Admits(now, "w03", true, true), "an urgent request must not be a probe")

	tr.Observe(now, "w03", "review", false)
	require.Equal(t, Ejected, tr.State(now, "w03"))
	again := tr.NextChange(now)
	require.Equal(t, 2*defaultBaseEjection, again.Sub(now), "the ejection time doubles")
	for range defaultProbeSuccesses {
		require.Equal(t, Probing, tr.State(again, "w03"))
		tr.Observe(again, "w03", "review", true)
	}
	require.Equal(t, Ramping, tr.State(again, "w03"))
	require.Less(t, tr.Share(again, "w03"), 0.1)
	require.Equal(t, 0.5, tr.Share(again.Add(defaultRampTime/2), "w03"))
	require.Equal(t, 1.0, tr.Share(again.Add(defaultRampTime), "w03"))
	require.Zero(t, tr.Unavailable())
}

func TestServiceFailingOnAllWorkersEjectsNone(t *testing.T) {
	tr, ids := newTracker(10, Options{})
	now := observeRounds(tr, ids, epoch, 50, func(_ string, round int) (string, bool) {
		if round%2 == 0 {
			return "broken", false
		}
		return "review", true
	})
	for _, id := range ids {
		require.Equal(t, Healthy, tr.State(now, id), id)
	}
}

func TestAllWorkersFailingEjectsAtMostOne(t *testing.T) {
	tr, ids := newTracker(10, Options{})
	observeRounds(tr, ids, epoch, 20, func(string, int) (string, bool) { return "review", false })
	require.LessOrEqual(t, tr.Unavailable(), 1)
}

// TestServiceStartingToFailOnAllWorkersEjectsAtMostOne covers a service that
// starts to fail on all workers after a long time without failures. The earlier
// successes on the other workers must not make each failure look like a fault
// of its worker.
func TestServiceStartingToFailOnAllWorkersEjectsAtMostOne(t *testing.T) {
	for _, size := range []int{3, 10} {
		tr, ids := newTracker(size, Options{})
		now := observeRounds(tr, ids, epoch, 100, func(string, int) (string, bool) { return "review", true })
		observeRounds(tr, ids, now, 50, func(string, int) (string, bool) { return "review", false })
		require.LessOrEqual(t, tr.Unavailable(), 1, "%d workers", size)
		require.False(t, tr.AllFailing())
	}
}

func TestWorkerFailingHalfOfRequestsIsEjected(t *testing.T) {
	tr, ids := newTracker(10, Options{})
	now := observeRounds(tr, ids, epoch, 40, func(id string, round int) (string, bool) {
		return "review", id != "w05" || round%2 == 0
	})
	require.Equal(t, Ejected, tr.State(now, "w05"))
}

func TestRareFailuresEjectNoWorker(t *testing.T) {
	tr, ids := newTracker(10, Options{})
	rng := rand.New(rand.NewPCG(7, 7))
	observeRounds(tr, ids, epoch, 2000, func(string, int) (string, bool) { return "review", rng.IntN(100) > 0 })
	require.Zero(t, tr.Unavailable())
}

func TestEjectionsRespectLimits(t *testing.T) {
	for _, c := range []struct {
		name string
		opts Options
		most int
	}{
		{"share", Options{MaxEjectedShare: 0.3}, 3},
		{"minimum available", Options{MaxEjectedShare: 1, MinAvailable: 8}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr, ids := newTracker(10, c.opts)
			now := observeRounds(tr, ids, epoch, 20, func(id string, _ int) (string, bool) { return "review", id >= "w05" })
			require.Equal(t, c.most, tr.Unavailable())
			suspects := 0
			for _, id := range ids {
				if tr.State(now, id) == Suspect {
					suspects++
					require.Positive(t, tr.Share(now, id))
				}
			}
			require.Equal(t, 5-c.most, suspects)
		})
	}
}

func TestAllFailing(t *testing.T) {
	tr, ids := newTracker(3, Options{})
	require.False(t, tr.AllFailing())
	now := observeRounds(tr, ids, epoch, 5, func(string, int) (string, bool) { return "review", true })
	observeRounds(tr, ids, now, 30, func(string, int) (string, bool) { return "review", false })
	require.False(t, tr.AllFailing(), "a single service that fails on all workers is not a failure of the pool")
	good := observeRounds(tr, ids, now.Add(time.Hour), 5, func(string, int) (string, bool) { return "review", true })
	for _, id := range ids {
		for range 20 {
			tr.Observe(good, id, "of "+id, false)
		}
	}
	require.True(t, tr.AllFailing(), "each worker fails a service that only it runs")
	tr, ids = newTracker(3, Options{})
	now = observeRounds(tr, ids, epoch, 5, func(string, int) (string, bool) { return "review", true })
	now = observeRounds(tr, ids, now, 4, func(_ string, round int) (string, bool) { return strconv.Itoa(round % 2), false })
	require.True(t, tr.AllFailing(), "every worker fails every service")
	tr.Observe(now, ids[0], "review", true)
	require.False(t, tr.AllFailing())
	empty, _ := newTracker(0, Options{})
	require.False(t, empty.AllFailing())
}

func TestLaterWorkersRampUp(t *testing.T) {
	tr, ids := newTracker(3, Options{})
	require.Equal(t, 1.0, tr.Share(epoch, ids[0]), "the first workers are healthy at once")
	tr.SetWorkers(epoch, append(ids, "w99"))
	require.Less(t, tr.Share(epoch, "w99"), 0.1)
	require.Equal(t, epoch.Add(defaultRampTime/rampSteps), tr.NextChange(epoch))
	tr.StartRamp(epoch, ids[0])
	require.Less(t, tr.Share(epoch, ids[0]), 0.1)
}

func TestAnyRequestProbesAfterDelay(t *testing.T) {
	tr, ids := newTracker(4, Options{})
	now := observeRounds(tr, ids, epoch, 4, func(id string, _ int) (string, bool) { return "review", id != "w01" })
	now = tr.NextChange(now)
	require.Equal(t, Probing, tr.State(now, "w01"))
	require.False(t, tr.Admits(now, "w01", false, false))
	require.True(t, tr.Admits(tr.NextChange(now), "w01", false, false))
}

func TestServiceRecordsAreBounded(t *testing.T) {
	tr, ids := newTracker(2, Options{MaxServices: 8})
	for i := range 1000 {
		tr.Observe(epoch, ids[0], strconv.Itoa(i), true)
	}
	require.LessOrEqual(t, len(tr.services), 8)
	require.LessOrEqual(t, len(tr.workers[ids[0]].services), 8)
	tr.SetWorkers(epoch, nil)
	require.Empty(t, tr.workers)
}
