package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// sendMany sends requests that each run for one second.
func sendMany(node *Server, n int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range n {
		r := httptest.NewRequest(http.MethodPut, "/fire", nil)
		r.Header.Set(HeaderRequestID, fmt.Sprintf("w%d", i))
		r.Header.Set(headerRun, "1000")
		wg.Go(func() { (&responseRecorder{header: http.Header{}}).serve(node.Handler(), r) })
	}
	return &wg
}

// TestRequestsUseFreeSlotsOfOtherZones checks that requests that would have to
// wait are relayed to a zone that announced free slots.
func TestRequestsUseFreeSlotsOfOtherZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(1)
		a := f.nodes["entry-a1"].server
		time.Sleep(2 * time.Second) // the first summaries have been sent
		sendMany(a, 40).Wait()
		elsewhere := uint64(0)
		for _, n := range f.all {
			if n.zone != "a" {
				elsewhere += n.server.Stats().Answered
			}
			require.Zero(t, n.server.Stats().RefusedByWorker)
		}
		require.GreaterOrEqual(t, elsewhere, uint64(8))
		require.GreaterOrEqual(t, a.Stats().Relayed, elsewhere)
		f.stop()
	})
}

// TestSlotsAreLentAndReturned checks that a busy entry node borrows slots from
// the other node's share while that node is idle, and returns them.
func TestSlotsAreLentAndReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(1)
		f.setCondition(func(bool) { f.isolatedZones["a"] = true }, nil)
		node := f.nodes["entry-a1"].server
		borrowed := func() int {
			node.lending.lock.Lock()
			defer node.lending.lock.Unlock()
			total := 0
			for _, w := range f.workers {
				total += node.lending.ledger.Borrowed(w.id)
			}
			return total
		}
		all := sendMany(node, 12) // three workers with four slots each
		time.Sleep(600 * time.Millisecond)
		require.Positive(t, borrowed(), "%+v %+v", node.Stats(), f.nodes["entry-a2"].server.Stats())
		all.Wait()
		time.Sleep(10 * time.Second)
		require.Zero(t, borrowed())
		require.Zero(t, node.Stats().RefusedByWorker)
		f.stop()
	})
}

// TestLeavingIsBroadcastInZone checks that when one entry node observes that a
// worker is leaving, the other entry nodes of its zone send it no new requests.
// The signal is either a refusal by the worker or the VM list.
func TestLeavingIsBroadcastInZone(t *testing.T) {
	for _, sign := range []string{"refusal", "list"} {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(1)
			a1, a2 := f.nodes["entry-a1"].server, f.nodes["entry-a2"].server
			leaving := f.workers[0]
			if sign == "list" {
				a1.MarkLeaving(leaving.id)
			} else {
				leaving.update(func() { leaving.refusesWork = true })
				sendMany(a1, 6).Wait()
				require.Positive(t, a1.Stats().RefusedByWorker)
			}
			time.Sleep(100 * time.Millisecond)
			all := sendMany(a2, 6)
			time.Sleep(100 * time.Millisecond)
			require.Zero(t, a2.InProgress(leaving.id))
			require.Positive(t, a2.InProgress(f.workers[1].id)+a2.InProgress(f.workers[2].id))
			all.Wait()
			require.Zero(t, a2.Stats().RefusedByWorker)
			f.stop()
		})
	}
}

// Pools that do not fit into one summary must follow in the next one. Pools that
// count as sent without having been sent would stay unknown for half a minute.
func TestPoolsBeyondOneSummaryFollowInTheNext(t *testing.T) {
	var sp remoteSlots
	sp.init()
	var current []poolFreeSlots
	for i := range 2*freeSlotsMaxPools + 5 {
		current = append(current, poolFreeSlots{Pool: fmt.Sprintf("pool-%d", i), Free: 4})
	}
	sent := map[string]bool{}
	for range 3 {
		changed := sp.takeChanged(current)
		require.LessOrEqual(t, len(changed), freeSlotsMaxPools)
		for _, p := range changed {
			sent[p.Pool] = true
		}
	}
	require.Len(t, sent, len(current))
	require.Empty(t, sp.takeChanged(current))
}
