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

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return out
}

func TestSharesAddUpAndSpread(t *testing.T) {
	for members := 1; members <= 9; members++ {
		ids := names("entry", members)
		sums := make(map[string]int)
		for _, w := range names("worker", 200) {
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

func TestShareOfStrangersAndOddSizes(t *testing.T) {
	ids := names("entry", 3)
	require.Zero(t, Share("w", 8, ids, "stranger"))
	require.Zero(t, Share("w", 8, nil, "entry-0"))
	require.Zero(t, Share("w", 0, ids, "entry-0"))
	require.Zero(t, Share("w", -1, ids, "entry-0"))
}

// pair returns two ledgers that share one worker of 8 slots.
func pair() (lender, borrower *Ledger) {
	ids := names("entry", 2)
	ledgers := make([]*Ledger, 2)
	for i, id := range ids {
		ledgers[i] = New(id, Options{})
		ledgers[i].SetEpoch(1, ids)
		ledgers[i].SetWorkers([]Size{{Worker: "w", Slots: 8, Pool: "p"}})
	}
	return ledgers[0], ledgers[1]
}

// busy is a usage with all slots taken.
func busy(l *Ledger) []Usage {
	return []Usage{{Worker: "w", InProgress: l.Usable("w"), Waiting: 4}}
}

func TestIdleSlotsAreBorrowedAndReturned(t *testing.T) {
	lender, borrower := pair()
	lender.Tick(epoch, []Usage{{Worker: "w"}})
	asked := borrower.Tick(epoch, busy(borrower))
	require.Len(t, asked, 1)
	granted := lender.Receive(epoch, "entry-1", asked[0].Message)
	require.Equal(t, 2, lender.Usable("w"), "half of the share is lent, before the borrower knows")
	require.Equal(t, 4, borrower.Usable("w"))
	borrower.Receive(epoch, "entry-0", granted[0].Message)
	require.Equal(t, 6, borrower.Usable("w"))

	require.Equal(t, granted, lender.Receive(epoch, "entry-1", asked[0].Message), "a repeated request grants nothing more")
	borrower.Receive(epoch, "entry-0", granted[0].Message)
	require.Equal(t, 6, borrower.Usable("w"))

	idle := []Usage{{Worker: "w", InProgress: 1}}
	require.Empty(t, borrower.Tick(epoch, idle))
	now := epoch.Add(defaultIdleReturn)
	back := borrower.Tick(now, idle)
	require.Equal(t, 4, borrower.Usable("w"))
	require.Equal(t, 2, lender.Usable("w"))
	acknowledged := lender.Receive(now, "entry-1", back[0].Message)
	require.Equal(t, 4, lender.Usable("w"))
	later := now.Add(defaultRetry)
	require.Equal(t, back, borrower.Tick(later, idle), "a return is told until it is acknowledged")
	borrower.Receive(later, "entry-0", acknowledged[0].Message)
	require.Empty(t, borrower.Tick(later.Add(defaultRetry), idle))
}

// TestLateRequestGrantsNothingMore: a request that doesn't know of the last
// grant is answered with that grant, though more could be lent.
func TestLateRequestGrantsNothingMore(t *testing.T) {
	lender, _ := pair()
	request := Message{Request: &Request{Epoch: 1, Worker: "w", Slots: 8, Want: 1}}
	first := lender.Receive(epoch, "entry-1", request)
	require.Equal(t, 3, lender.Usable("w"))
	require.Equal(t, first, lender.Receive(epoch, "entry-1", request))
	require.Equal(t, 3, lender.Usable("w"))
	request.Request.Known = 1
	lender.Receive(epoch, "entry-1", request)
	require.Equal(t, 2, lender.Usable("w"))
	request.Request.Known = 2
	lender.Receive(epoch, "entry-1", request)
	require.Equal(t, 2, lender.Usable("w"), "half of the share at most")
}

func TestRecalledSlotsComeBackOnceIdle(t *testing.T) {
	lender, borrower := pair()
	asked := borrower.Tick(epoch, busy(borrower))
	borrower.Receive(epoch, "entry-0", lender.Receive(epoch, "entry-1", asked[0].Message)[0].Message)
	recall := lender.Tick(epoch, busy(lender))
	require.NotNil(t, recall[0].Message.Recall)
	borrower.Receive(epoch, "entry-0", recall[0].Message)
	working := []Usage{{Worker: "w", InProgress: 6}}
	require.Empty(t, borrower.Tick(epoch, working), "work in progress keeps its slot")
	working[0].InProgress = 5
	back := borrower.Tick(epoch, working)
	lender.Receive(epoch, "entry-1", back[0].Message)
	require.Equal(t, 5, borrower.Usable("w"))
	require.Equal(t, 3, lender.Usable("w"))
}

func TestGrantsEndWithTheEpoch(t *testing.T) {
	lender, borrower := pair()
	asked := borrower.Tick(epoch, busy(borrower))
	granted := lender.Receive(epoch, "entry-1", asked[0].Message)
	ids := names("entry", 2)
	lender.SetEpoch(2, ids)
	borrower.SetEpoch(2, ids)
	require.Empty(t, borrower.Receive(epoch, "entry-0", granted[0].Message))
	require.Equal(t, 4, borrower.Usable("w"))
	require.Equal(t, 4, lender.Usable("w"))
	require.Empty(t, lender.Receive(epoch, "entry-1", asked[0].Message), "a request of the old epoch is void")
	borrower.SetEpoch(1, ids)
	require.Equal(t, uint64(2), borrower.Epoch())
}

// TestPoolsAskApart: each pool asks for itself, a bounded number of workers at
// a time, and a pool where requests wait lends nothing.
func TestPoolsAskApart(t *testing.T) {
	l := New("entry-0", Options{})
	l.SetEpoch(1, names("entry", 2))
	l.SetWorkers([]Size{{"a-0", 8, "a"}, {"a-1", 8, "a"}, {"a-2", 8, "a"}, {"b-0", 8, "b"}})
	require.Empty(t, l.Tick(epoch, []Usage{{Worker: "a-0"}, {Worker: "b-0"}}))
	sends := l.Tick(epoch, []Usage{{Worker: "a-0", InProgress: 4, Waiting: 9}})
	require.Len(t, sends, asksPerRound)
	for _, s := range sends {
		require.Contains(t, s.Message.Request.Worker, "a-")
		require.Equal(t, defaultMaxWant, s.Message.Request.Want)
	}
	require.Empty(t, l.Tick(epoch, nil), "not asked again before the time")
	request := Message{Request: &Request{Epoch: 1, Worker: "a-1", Slots: 8, Want: 1}}
	require.Empty(t, l.Receive(epoch, "entry-1", request))
	request.Request.Worker = "b-0"
	require.Len(t, l.Receive(epoch, "entry-1", request), 1)
}

func TestAbsurdMessagesAreIgnored(t *testing.T) {
	lender, borrower := pair()
	huge := ^uint64(0)
	borrower.Receive(epoch, "entry-0", Message{Grant: &Grant{Epoch: 1, Worker: "w", Slots: 8, Granted: huge}})
	require.Equal(t, 4, borrower.Usable("w"))
	lender.Receive(epoch, "entry-1", Message{Return: &Return{Epoch: 1, Worker: "w", Slots: 8, Returned: huge}})
	require.Equal(t, 4, lender.Usable("w"))
	lender.Receive(epoch, "entry-1", Message{Request: &Request{Epoch: 1, Worker: "w", Slots: 8, Want: -5}})
	require.Equal(t, 4, lender.Usable("w"))
	lender.Receive(epoch, "stranger", Message{Request: &Request{Epoch: 1, Worker: "w", Slots: 8, Want: 5}})
	require.Equal(t, 4, lender.Usable("w"))
	require.Empty(t, lender.Receive(epoch, "entry-1", Message{}))
}

func TestMessagesSurviveEncoding(t *testing.T) {
	m := Message{Grant: &Grant{Epoch: 1, Worker: "w", Slots: 8, Granted: 3, Returned: 1}}
	data, err := cbor.Marshal(m)
	require.NoError(t, err)
	var got Message
	require.NoError(t, cbor.Unmarshal(data, &got))
	require.Equal(t, m, got)
}

// network delivers messages late, repeatedly, out of order or not at all.
type network struct {
	rng      *rand.Rand
	lossy    bool
	inFlight []envelope
}

type envelope struct {
	from, to string
	message  Message
}

func (n *network) send(from string, sends []Send) {
	for _, s := range sends {
		n.inFlight = append(n.inFlight, envelope{from: from, to: s.To, message: s.Message})
	}
}

// take removes one message, or repeats it, or loses it.
func (n *network) take() (envelope, bool) {
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
// loses, repeats and delays messages, with epochs changing at different times
// on different nodes, and checks the sum in each epoch after each step.
func TestUsableSlotsNeverExceedTheWorker(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runRandom(t, seed) })
	}
}

func runRandom(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	net := &network{rng: rng, lossy: true}
	ids := names("entry", 2+rng.IntN(4))
	workers := []Size{{"w-0", 8, "p"}, {"w-1", 8, "p"}, {"w-2", 5, ""}}
	nodes := make(map[string]*Ledger)
	for _, id := range ids {
		nodes[id] = New(id, Options{})
		nodes[id].SetEpoch(1, ids)
		nodes[id].SetWorkers(workers)
	}
	now := epoch
	borrowedOnce := false
	for range 4000 {
		now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
		id := ids[rng.IntN(len(ids))]
		switch {
		case rng.IntN(200) == 0:
			nodes[id].SetEpoch(lastEpoch(nodes, ids)+1, ids)
		case rng.IntN(10) == 0:
			nodes[id].SetEpoch(lastEpoch(nodes, ids), ids)
		case rng.IntN(2) == 0:
			net.send(id, nodes[id].Tick(now, randomUsage(rng, nodes[id], workers)))
		default:
			if e, ok := net.take(); ok {
				net.send(e.to, nodes[e.to].Receive(now, e.from, e.message))
			}
		}
		requireWithin(t, nodes, ids, workers)
		borrowedOnce = borrowedOnce || anyBorrowed(nodes, ids, workers)
	}
	require.True(t, borrowedOnce)
	settle(t, net, nodes, ids, workers, now)
}

func lastEpoch(nodes map[string]*Ledger, ids []string) uint64 {
	last := uint64(0)
	for _, id := range ids {
		last = max(last, nodes[id].Epoch())
	}
	return last
}

func anyBorrowed(nodes map[string]*Ledger, ids []string, workers []Size) bool {
	for _, id := range ids {
		for _, w := range workers {
			if nodes[id].Borrowed(w.Worker) > 0 {
				return true
			}
		}
	}
	return false
}

// randomUsage is either some load or a full node with requests waiting.
func randomUsage(rng *rand.Rand, l *Ledger, workers []Size) []Usage {
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

func requireWithin(t *testing.T, nodes map[string]*Ledger, ids []string, workers []Size) {
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

// settle ends all faults and usage: every slot must find its way back.
func settle(t *testing.T, net *network, nodes map[string]*Ledger, ids []string, workers []Size, now time.Time) {
	t.Helper()
	net.lossy = false
	last := lastEpoch(nodes, ids)
	for _, id := range ids {
		nodes[id].SetEpoch(last, ids)
	}
	for range 100 {
		now = now.Add(defaultIdleReturn)
		for _, id := range ids {
			net.send(id, nodes[id].Tick(now, []Usage{{Worker: "w-0"}, {Worker: "w-1"}, {Worker: "w-2"}}))
		}
		for e, ok := net.take(); ok; e, ok = net.take() {
			net.send(e.to, nodes[e.to].Receive(now, e.from, e.message))
		}
	}
	require.Empty(t, net.inFlight, "a settled network is silent")
	for _, w := range workers {
		for _, id := range ids {
			require.Equal(t, Share(w.Worker, w.Slots, ids, id), nodes[id].Usable(w.Worker))
		}
	}
}
