package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func numberedIDs(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return out
}

func TestSharesAddUpAndSpread(t *testing.T) {
	for members := 1; members <= 9; members++ {
		ids := numberedIDs("entry", members)
		sums := make(map[string]int)
		for _, w := range numberedIDs("worker", 200) {
			total := 0
			for _, id := range ids {
				share := Share(w, 8, ids, id)
				require.GreaterOrEqual(t, share, 8/members)
				require.LessOrEqual(t, share, 8/members+1)
				sums[id] += share
				total += share
			}
			require.Equal(t, 8, total, "%d members, %s", members, w)
		}
		for _, id := range ids {
			require.InEpsilon(t, 200*8/float64(members), sums[id], 0.2, "%d members, %s", members, id)
		}
	}
}

func TestShareIsZeroWithoutMembershipOrSlots(t *testing.T) {
	ids := numberedIDs("entry", 3)
	require.Zero(t, Share("w", 8, ids, "stranger"))
	require.Zero(t, Share("w", 8, nil, "entry-0"))
	require.Zero(t, Share("w", 0, ids, "entry-0"))
	require.Zero(t, Share("w", -1, ids, "entry-0"))
}

// newPair returns two ledgers that share one worker with 8 slots.
func newPair() (lender, borrower *Ledger) {
	ids := numberedIDs("entry", 2)
	ledgers := make([]*Ledger, 2)
	for i, id := range ids {
		ledgers[i] = New(id, Options{})
		ledgers[i].SetEpoch(1, ids)
		ledgers[i].SetWorkers([]WorkerSlots{{Worker: "w", Slots: 8, Pool: "p"}})
	}
	return ledgers[0], ledgers[1]
}

// fullUsage returns a usage with a request on every usable slot and 4 requests
// waiting.
func fullUsage(l *Ledger) []Usage {
	return []Usage{{Worker: "w", InProgress: l.Usable("w"), Waiting: 4}}
}

func TestIdleSlotsAreBorrowedAndReturned(t *testing.T) {
	lender, borrower := newPair()
	lender.Tick(epoch, []Usage{{Worker: "w"}})
	requests := borrower.Tick(epoch, fullUsage(borrower))
	require.Len(t, requests, 1)
	grants := lender.Receive(epoch, "entry-1", requests[0].Message)
	require.Equal(t, 2, lender.Usable("w"), "half of the share is lent before the borrower receives the grant")
	require.Equal(t, 4, borrower.Usable("w"))
	borrower.Receive(epoch, "entry-0", grants[0].Message)
	require.Equal(t, 6, borrower.Usable("w"))

	require.Equal(t, grants, lender.Receive(epoch, "entry-1", requests[0].Message), "a duplicated request grants nothing more")
	borrower.Receive(epoch, "entry-0", grants[0].Message)
	require.Equal(t, 6, borrower.Usable("w"))

	idle := []Usage{{Worker: "w", InProgress: 1}}
	require.Empty(t, borrower.Tick(epoch, idle))
	now := epoch.Add(defaultIdleTimeout)
	returns := borrower.Tick(now, idle)
	require.Equal(t, 4, borrower.Usable("w"))
	require.Equal(t, 2, lender.Usable("w"))
	acks := lender.Receive(now, "entry-1", returns[0].Message)
	require.Equal(t, 4, lender.Usable("w"))
	later := now.Add(defaultRetryInterval)
	require.Equal(t, returns, borrower.Tick(later, idle), "a return is resent until it is acknowledged")
	borrower.Receive(later, "entry-0", acks[0].Message)
	require.Empty(t, borrower.Tick(later.Add(defaultRetryInterval), idle))
}

// TestStaleRequestGrantsNothingMore checks that a lender answers a request that
// does not include the latest grant with that grant, even if it could lend more
// slots. Otherwise, a duplicated or delayed request would be granted twice.
func TestStaleRequestGrantsNothingMore(t *testing.T) {
	lender, _ := newPair()
	request := Message{Request: &Request{Epoch: 1, Worker: "w", Slots: 8, Requested: 1}}
	first := lender.Receive(epoch, "entry-1", request)
	require.Equal(t, 3, lender.Usable("w"))
	require.Equal(t, first, lender.Receive(epoch, "entry-1", request))
	require.Equal(t, 3, lender.Usable("w"))
	request.Request.KnownGranted = 1
	lender.Receive(epoch, "entry-1", request)
	require.Equal(t, 2, lender.Usable("w"))
	request.Request.KnownGranted = 2
	lender.Receive(epoch, "entry-1", request)
	require.Equal(t, 2, lender.Usable("w"), "at most half of the share is lent")
}

func TestRecalledSlotsAreReturnedOnceIdle(t *testing.T) {
	lender, borrower := newPair()
	requests := borrower.Tick(epoch, fullUsage(borrower))
	borrower.Receive(epoch, "entry-0", lender.Receive(epoch, "entry-1", requests[0].Message)[0].Message)
	recall := lender.Tick(epoch, fullUsage(lender))
	require.NotNil(t, recall[0].Message.Recall)
	borrower.Receive(epoch, "entry-0", recall[0].Message)
	usage := []Usage{{Worker: "w", InProgress: 6}}
	require.Empty(t, borrower.Tick(epoch, usage), "a slot with a request in progress is not returned")
	usage[0].InProgress = 5
	returns := borrower.Tick(epoch, usage)
	lender.Receive(epoch, "entry-1", returns[0].Message)
	require.Equal(t, 5, borrower.Usable("w"))
	require.Equal(t, 3, lender.Usable("w"))
}

func TestGrantsExpireWithEpoch(t *testing.T) {
	lender, borrower := newPair()
	requests := borrower.Tick(epoch, fullUsage(borrower))
	grants := lender.Receive(epoch, "entry-1", requests[0].Message)
	ids := numberedIDs("entry", 2)
	lender.SetEpoch(2, ids)
	borrower.SetEpoch(2, ids)
	require.Empty(t, borrower.Receive(epoch, "entry-0", grants[0].Message))
	require.Equal(t, 4, borrower.Usable("w"))
	require.Equal(t, 4, lender.Usable("w"))
	require.Empty(t, lender.Receive(epoch, "entry-1", requests[0].Message), "a request of the previous epoch is ignored")
	borrower.SetEpoch(1, ids)
	require.Equal(t, uint64(2), borrower.Epoch())
}

// TestPoolsRequestSlotsIndependently checks that pools request slots
// independently of each other, each for a bounded number of workers at a time,
// and that a pool with waiting requests lends no slots.
func TestPoolsRequestSlotsIndependently(t *testing.T) {
	l := New("entry-0", Options{})
	l.SetEpoch(1, numberedIDs("entry", 2))
	l.SetWorkers([]WorkerSlots{{"a-0", 8, "a"}, {"a-1", 8, "a"}, {"a-2", 8, "a"}, {"b-0", 8, "b"}})
	require.Empty(t, l.Tick(epoch, []Usage{{Worker: "a-0"}, {Worker: "b-0"}}))
	sends := l.Tick(epoch, []Usage{{Worker: "a-0", InProgress: 4, Waiting: 9}})
	require.Len(t, sends, maxRequestsPerRound)
	for _, s := range sends {
		require.Contains(t, s.Message.Request.Worker, "a-")
		require.Equal(t, defaultMaxRequested, s.Message.Request.Requested)
	}
	require.Empty(t, l.Tick(epoch, nil), "no request is repeated before the retry interval")
	request := Message{Request: &Request{Epoch: 1, Worker: "a-1", Slots: 8, Requested: 1}}
	require.Empty(t, l.Receive(epoch, "entry-1", request))
	request.Request.Worker = "b-0"
	require.Len(t, l.Receive(epoch, "entry-1", request), 1)
}

func TestInvalidMessagesAreIgnored(t *testing.T) {
	lender, borrower := newPair()
	huge := ^uint64(0)
	borrower.Receive(epoch, "entry-0", Message{Grant: &Grant{Epoch: 1, Worker: "w", Slots: 8, Granted: huge}})
	require.Equal(t, 4, borrower.Usable("w"))
	lender.Receive(epoch, "entry-1", Message{Return: &Return{Epoch: 1, Worker: "w", Slots: 8, Returned: huge}})
	require.Equal(t, 4, lender.Usable("w"))
	lender.Receive(epoch, "entry-1", Message{Request: &Request{Epoch: 1, Worker: "w", Slots: 8, Requested: -5}})
	require.Equal(t, 4, lender.Usable("w"))
	lender.Receive(epoch, "stranger", Message{Request: &Request{Epoch: 1, Worker: "w", Slots: 8, Requested: 5}})
	require.Equal(t, 4, lender.Usable("w"))
	require.Empty(t, lender.Receive(epoch, "entry-1", Message{}))
}

func TestMessageCBORRoundTrip(t *testing.T) {
	m := Message{Grant: &Grant{Epoch: 1, Worker: "w", Slots: 8, Granted: 3, Returned: 1}}
	data, err := cbor.Marshal(m)
	require.NoError(t, err)
	var got Message
	require.NoError(t, cbor.Unmarshal(data, &got))
	require.Equal(t, m, got)
}

// network delays, duplicates, reorders and drops messages.
type network struct {
	rng      *rand.Rand
	lossy    bool
	inFlight []envelope
}

type envelope struct {
	from, to string
	message  Message
}

func (n *network) send(from string, sends []OutgoingMessage) {
	for _, s := range sends {
		n.inFlight = append(n.inFlight, envelope{from: from, to: s.To, message: s.Message})
	}
}

// next picks a random message in flight. On a lossy network it may keep the
// message in flight, which duplicates it, or drop it.
func (n *network) next() (envelope, bool) {
	if len(n.inFlight) == 0 {
		return envelope{}, false
	}
	i := n.rng.IntN(len(n.inFlight))
	e := n.inFlight[i]
	if n.lossy && n.rng.IntN(4) == 0 && len(n.inFlight) < 200 {
		return e, true
	}
	n.inFlight[i] = n.inFlight[len(n.inFlight)-1]
	n.inFlight = n.inFlight[:len(n.inFlight)-1]
	return e, !n.lossy || n.rng.IntN(4) > 0
}

// TestUsableSlotsNeverExceedTheWorker runs random usage over a network that
// drops, duplicates and delays messages while nodes change epochs at different
// times. After each step, the usable slots of all nodes in one epoch must not
// exceed the slots of the worker.
func TestUsableSlotsNeverExceedTheWorker(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandomized(t, seed) })
	}
}

func runRandomized(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	net := &network{rng: rng, lossy: true}
	ids := numberedIDs("entry", 2+rng.IntN(4))
	workers := []WorkerSlots{{"w-0", 8, "p"}, {"w-1", 8, "p"}, {"w-2", 5, ""}}
	nodes := make(map[string]*Ledger)
	for _, id := range ids {
		nodes[id] = New(id, Options{})
		nodes[id].SetEpoch(1, ids)
		nodes[id].SetWorkers(workers)
	}
	now := epoch
	borrowed := false
	for range 4000 {
		now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
		id := ids[rng.IntN(len(ids))]
		switch {
		case rng.IntN(200) == 0:
			nodes[id].SetEpoch(maxEpoch(nodes, ids)+1, ids)
		case rng.IntN(10) == 0:
			nodes[id].SetEpoch(maxEpoch(nodes, ids), ids)
		case rng.IntN(2) == 0:
			net.send(id, nodes[id].Tick(now, randomUsage(rng, nodes[id], workers)))
		default:
			if e, ok := net.next(); ok {
				net.send(e.to, nodes[e.to].Receive(now, e.from, e.message))
			}
		}
		requireWithinCapacity(t, nodes, ids, workers)
		borrowed = borrowed || anyBorrowed(nodes, ids, workers)
	}
	require.True(t, borrowed)
	requireConvergence(t, net, nodes, ids, workers, now)
}

func maxEpoch(nodes map[string]*Ledger, ids []string) uint64 {
	newest := uint64(0)
	for _, id := range ids {
		newest = max(newest, nodes[id].Epoch())
	}
	return newest
}

func anyBorrowed(nodes map[string]*Ledger, ids []string, workers []WorkerSlots) bool {
	for _, id := range ids {
		for _, w := range workers {
			if nodes[id].Borrowed(w.Worker) > 0 {
				return true
			}
		}
	}
	return false
}

// randomUsage returns either a random load or full usage with requests waiting.
func randomUsage(rng *rand.Rand, l *Ledger, workers []WorkerSlots) []Usage {
	var out []Usage
	full := rng.IntN(2) == 0
	for _, w := range workers {
		u := Usage{Worker: w.Worker, InProgress: rng.IntN(l.Usable(w.Worker) + 1)}
		if full {
			u.InProgress = l.Usable(w.Worker)
			u.Waiting = 1 + rng.IntN(6)
		}
		out = append(out, u)
	}
	return out
}

func requireWithinCapacity(t *testing.T, nodes map[string]*Ledger, ids []string, workers []WorkerSlots) {
	t.Helper()
	for _, w := range workers {
		sums := make(map[uint64]int)
		for _, id := range ids {
			usable := nodes[id].Usable(w.Worker)
			if usable < 0 {
				t.Fatalf("%s may use %d slots of %s", id, usable, w.Worker)
			}
			sums[nodes[id].Epoch()] += usable
		}
		for e, sum := range sums {
			if sum > w.Slots {
				t.Fatalf("epoch %d: %d usable slots of %s, which has %d", e, sum, w.Worker, w.Slots)
			}
		}
	}
}

// requireConvergence ends message loss and all usage. Every borrowed slot must
// then return to its lender.
func requireConvergence(t *testing.T, net *network, nodes map[string]*Ledger, ids []string, workers []WorkerSlots, now time.Time) {
	t.Helper()
	net.lossy = false
	newest := maxEpoch(nodes, ids)
	for _, id := range ids {
		nodes[id].SetEpoch(newest, ids)
	}
	for range 100 {
		now = now.Add(defaultIdleTimeout)
		for _, id := range ids {
			net.send(id, nodes[id].Tick(now, []Usage{{Worker: "w-0"}, {Worker: "w-1"}, {Worker: "w-2"}}))
		}
		for e, ok := net.next(); ok; e, ok = net.next() {
			net.send(e.to, nodes[e.to].Receive(now, e.from, e.message))
		}
	}
	require.Empty(t, net.inFlight, "converged nodes send no messages")
	for _, w := range workers {
		for _, id := range ids {
			require.Equal(t, Share(w.Worker, w.Slots, ids, id), nodes[id].Usable(w.Worker))
		}
	}
}

// TestPoolChangeKeepsLentSlots checks that a worker that changes its pool keeps
// its lent slots. The nodes see the change at different times, and a grant may be
// under way. If the counts began anew, the nodes would use more slots than the
// worker has.
func TestPoolChangeKeepsLentSlots(t *testing.T) {
	moved := []WorkerSlots{{Worker: "w", Slots: 8, Pool: "other"}}
	grant := func(lender, borrower *Ledger) Message {
		requests := borrower.Tick(epoch, fullUsage(borrower))
		return lender.Receive(epoch, "entry-1", requests[0].Message)[0].Message
	}
	t.Run("the lender sees the change first", func(t *testing.T) {
		lender, borrower := newPair()
		borrower.Receive(epoch, "entry-0", grant(lender, borrower))
		lender.SetWorkers(moved)
		require.LessOrEqual(t, lender.Usable("w")+borrower.Usable("w"), 8)
		borrower.SetWorkers(moved)
		require.Equal(t, 8, lender.Usable("w")+borrower.Usable("w"))
	})
	t.Run("the grant arrives after the change", func(t *testing.T) {
		lender, borrower := newPair()
		late := grant(lender, borrower)
		lender.SetWorkers(moved)
		borrower.SetWorkers(moved)
		borrower.Receive(epoch, "entry-0", late)
		require.LessOrEqual(t, lender.Usable("w")+borrower.Usable("w"), 8)
	})
}
