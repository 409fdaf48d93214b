package room

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

var seeds = flag.Int("seeds", 100, "number of random seeds to simulate")

// world simulates owners of shards and arbiters whose messages are late or lost. Only
// the newest owner of a shard may start something, as the windows of ownership ensure.
type world struct {
	rng             *rand.Rand
	now             int64
	events          eventHeap
	serial, version int64
	cap             spec.Resources
	owners          []*owner
	arbiter         *Arbiter
	// epoch is the newest epoch of an owner or arbiter.
	epoch      int64
	lossShare  float64
	maxDelayMS int64
	// capKnownAt is when every node knows the newest cap.
	capKnownAt int64
	violations []string
	messages   int
}

// owner is the owner of one shard with its demand.
type owner struct {
	w       *world
	shard   int
	holder  *Holder
	running []spec.Resources
	waiting []spec.Resources
	// silentUntil is when the shard has an owner again, or its links are back.
	silentUntil, cutUntil int64
	runMS                 int64
	// lastStart is when something was started here, hungrySince since when something
	// waits that has room while less than half of the cap is in use, longestHunger the longest such
	// time.
	lastStart, hungrySince, longestHunger int64
}

type event struct {
	at, serial int64
	do         func()
}
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any     { e := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return e }

const (
	customer      = "a"
	callTimeoutMS = 600
	passMS        = 50
)

func newWorld(seed uint64, shards int, limit spec.Resources) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 9)), now: 1, cap: limit, maxDelayMS: 4}
	for s := range shards {
		o := &owner{w: w, shard: s, runMS: 700}
		w.owners = append(w.owners, o)
		w.epoch++
		o.takeOver()
		w.after(w.rng.Int64N(passMS), o.pass)
	}
	w.replaceArbiter()
	return w
}

func (w *world) after(ms int64, do func()) {
	w.serial++
	heap.Push(&w.events, event{w.now + ms, w.serial, do})
}

func (w *world) run(until int64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) caps() Caps { return Caps{customer: w.cap} }

// replaceArbiter replaces the arbiter. The earlier one had its last right to answer
// before; its answers may still be on their way.
func (w *world) replaceArbiter() {
	w.epoch++
	w.arbiter = NewArbiter(w.epoch, w.now+callTimeoutMS)
	w.arbiter.SetCaps(w.version, w.caps())
	var required []int
	for _, o := range w.owners {
		required = append(required, o.shard)
	}
	w.arbiter.SetRequired(required)
}

func (w *world) setCap(limit spec.Resources) {
	w.cap = limit
	w.version++
	w.after(w.rng.Int64N(200), func() { w.arbiter.SetCaps(w.version, w.caps()) })
	for _, o := range w.owners {
		w.after(w.rng.Int64N(200), func() { o.holder.SetCaps(w.version, w.caps()) })
	}
}

// takeOver replaces the owner: the successor knows all runs.
func (o *owner) takeOver() {
	o.w.epoch++
	o.holder = NewHolder(o.shard, o.w.epoch)
	for _, r := range o.running {
		o.holder.Count(customer, r, 1)
	}
	o.holder.SetCaps(o.w.version, o.w.caps())
}

// pass starts what may start, and reports.
func (o *owner) pass() {
	w := o.w
	w.after(passMS, o.pass)
	if w.now < o.silentUntil {
		return
	}
	o.holder.BeginPass()
	for len(o.waiting) > 0 {
		need := o.waiting[0]
		if !o.holder.Allows(customer, need) {
			for _, r := range o.waiting {
				o.holder.Wait(customer, r, 1)
			}
			break
		}
		o.waiting = o.waiting[1:]
		o.start(need)
	}
	switch {
	case len(o.waiting) == 0 || !underHalf(w.cap, w.total()) || exceeds(w.cap, w.total().Add(o.waiting[0]), w.cap):
		o.hungrySince = 0
	case o.hungrySince == 0:
		o.hungrySince = w.now
	default:
		o.longestHunger = max(o.longestHunger, w.now-o.hungrySince)
	}
	o.report()
}

func (o *owner) start(need spec.Resources) {
	w := o.w
	o.holder.Count(customer, need, 1)
	o.running = append(o.running, need)
	o.hungrySince, o.lastStart = 0, w.now
	total := w.total()
	if exceeds(w.cap, total, w.cap) && w.now > w.capKnownAt {
		w.violations = append(w.violations, fmt.Sprintf("%d: %+v is above the cap %+v", w.now, total, w.cap))
	}
	w.after(1+w.rng.Int64N(2*o.runMS), func() { o.end(need) })
}

// total returns what runs in all shards.
func (w *world) total() spec.Resources {
	total := spec.Resources{}
	for _, o := range w.owners {
		for _, r := range o.running {
			total = total.Add(r)
		}
	}
	return total
}

// underHalf reports whether less than half of a cap is in use.
func underHalf(limit, used spec.Resources) bool {
	return !exceeds(limit, times(used, 2), limit)
}

func (o *owner) end(need spec.Resources) {
	for i, r := range o.running {
		if r == need {
			o.running = append(o.running[:i:i], o.running[i+1:]...)
			break
		}
	}
	o.holder.Count(customer, need, -1)
}

func (o *owner) report() {
	w, h := o.w, o.holder
	arbiter := w.arbiter
	r, ok := h.Report(w.now, arbiter.epoch)
	if !ok {
		return
	}
	w.messages++
	w.after(callTimeoutMS, func() { h.Fail(r.Sequence) })
	if w.now < o.cutUntil || w.rng.Float64() < w.lossShare {
		return
	}
	w.after(w.delay(), func() {
		if arbiter != w.arbiter {
			return
		}
		answer, err := arbiter.Handle(w.now, r)
		if err != nil || w.rng.Float64() < w.lossShare {
			return
		}
		w.after(w.delay(), func() { h.Apply(r.Sequence, answer) })
	})
}

func (w *world) delay() int64 { return 1 + w.rng.Int64N(w.maxDelayMS) }

// demand keeps a backlog at an owner.
func (o *owner) demand(everyMS int64, need func() spec.Resources) {
	o.w.after(1+o.w.rng.Int64N(2*everyMS), func() {
		if len(o.waiting) < 40 {
			o.waiting = append(o.waiting, need())
		}
		o.demand(everyMS, need)
	})
}

// TestCapIsNeverExceeded runs owners and arbiters that are replaced, cut off and silent,
// with late and lost messages, and caps that change.
func TestCapIsNeverExceeded(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulateFaults(t, seed) })
	}
}

func simulateFaults(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	w := newWorld(seed, 2+r.IntN(6), spec.Resources{MilliCPU: 4_000 + r.IntN(60_000), MemoryMB: r.IntN(2) * 40_000})
	w.lossShare, w.maxDelayMS = 0.1*r.Float64(), 1+r.Int64N(400)
	for _, o := range w.owners {
		o.demand(20+r.Int64N(300), func() spec.Resources {
			return spec.Resources{MilliCPU: 100 + w.rng.IntN(3_900), MemoryMB: 100 + w.rng.IntN(4_000)}
		})
	}
	for at := int64(2_000); at < 30_000; at += 200 + r.Int64N(2_000) {
		o := w.owners[r.IntN(len(w.owners))]
		fault := r.IntN(5)
		w.after(at, func() {
			switch fault {
			case 0:
				o.takeOver()
			case 1:
				o.silentUntil = w.now + 2_000
				w.after(1_900, o.takeOver)
			case 2:
				o.cutUntil = w.now + w.rng.Int64N(3_000)
			case 3:
				w.replaceArbiter()
			case 4:
				limit := spec.Resources{MilliCPU: 4_000 + w.rng.IntN(60_000), MemoryMB: w.cap.MemoryMB}
				if limit.MilliCPU < w.cap.MilliCPU {
					// Until every node has the configuration, the higher cap counts.
					w.capKnownAt = w.now + 200
				}
				w.setCap(limit)
			}
		})
	}
	w.run(30_000)
	// From here on nothing fails: every owner gets room again, and soon.
	w.lossShare, w.maxDelayMS = 0, 4
	w.run(36_000)
	for _, o := range w.owners {
		o.longestHunger, o.hungrySince = 0, 0
	}
	w.run(60_000)
	require.Empty(t, w.violations)
	for _, o := range w.owners {
		require.Less(t, o.longestHunger, int64(2_000), "shard %d", o.shard)
		require.Greater(t, o.lastStart, int64(45_000), "shard %d", o.shard)
	}
}
