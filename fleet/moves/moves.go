// Package moves decides how many VMs change pool, and from which pool to
// which, so that few moves remove the shortage.
//
//	shifts := moves.NewMover(moves.Options{}).Decide(pools, now, outDuration)
//	// for each shift, drain shift.Count VMs of shift.From for shift.To
//
// A move costs the VM's service for a drain, a reboot and a probation. It is
// made only for a shortage that was confirmed, that would use the VM for a
// good part, and that is expected to outlast the move.
package moves

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wigeonwinch/fleet/buffer"
)

// Pool is what a decision knows of one pool.
type Pool struct {
	Name string
	// Spare marks the pool that lends first.
	Spare bool
	// Serving is the number of VMs in service, Coming the number that will
	// return to or join the pool.
	Serving int
	Coming  int
	// Slots is the number of slots of one VM.
	Slots float64
	// Lendable is how many VMs the budgets let go now.
	Lendable int
	// Demand is the estimate of the pool's demand, in slots.
	Demand buffer.Estimate
	// Next says that the pool's burst is expected to begin next.
	Next bool
}

// Shift takes VMs from one pool to another.
type Shift struct {
	From  string
	To    string
	Count int
}

// Default thresholds of a decision.
const (
	defaultConfirm  = 30 * time.Second
	defaultAwait    = 90 * time.Second
	defaultLeastUse = 0.2
	defaultSettle   = 5 * time.Minute
	defaultMoreFrom = 0.9
	defaultPayback  = 1.0
	defaultKeep     = 1.25
	// shortestRest is the least share of a burst's usual length that is
	// expected to remain, however long the burst has lasted.
	shortestRest = 0.25
	// spareBonus is how many more VMs the spare pool counts as having.
	spareBonus = 1.0
)

// Options tune the decision. Zero values take the defaults.
type Options struct {
	// Confirm is how long a shortage must last before VMs move for it.
	Confirm time.Duration
	// Await is how long a short pool waits for a burst to end elsewhere before
	// other pools must lend.
	Await time.Duration
	// LeastUse is the least share of a VM that a move must be expected to use.
	LeastUse float64
	// Settle is how long after the beginning of a burst a shortage counts as
	// its first; after that only one of MoreFrom VMs counts.
	Settle   time.Duration
	MoreFrom float64
	// Payback is how often the time out of service a move must be expected to
	// serve.
	Payback float64
	// Keep is the multiple of its present demand that a pool keeps when it
	// lends VMs.
	Keep float64
}

func (o Options) withDefaults() Options {
	o.Confirm = cmp.Or(o.Confirm, defaultConfirm)
	o.Await = cmp.Or(o.Await, defaultAwait)
	o.LeastUse = cmp.Or(o.LeastUse, defaultLeastUse)
	o.Settle = cmp.Or(o.Settle, defaultSettle)
	o.MoreFrom = cmp.Or(o.MoreFrom, defaultMoreFrom)
	o.Payback = cmp.Or(o.Payback, defaultPayback)
	o.Keep = cmp.Or(o.Keep, defaultKeep)
	return o
}

// Mover decides moves. It remembers since when each pool is short; an empty
// memory only delays the next move.
type Mover struct {
	options    Options
	shortSince map[string]time.Time
}

// NewMover returns a mover with an empty memory.
func NewMover(options Options) *Mover {
	return &Mover{options: options.withDefaults(), shortSince: make(map[string]time.Time)}
}

// Decide returns the moves to begin now. The time out of service of one move
// is the argument out.
func (m *Mover) Decide(pools []Pool, now time.Time, out time.Duration) []Shift {
	short := m.shortPools(pools, now, out)
	donors := m.donors(pools)
	var shifts []Shift
	for _, s := range short {
		wait := s.early || now.Sub(s.since) < m.options.Await && burstsElsewhere(pools, s.pool)
		shifts = append(shifts, lend(s, donors, wait)...)
	}
	return shifts
}

// shortage is the number of VMs a pool is short of.
type shortage struct {
	pool  string
	vms   int
	since time.Time
	early bool // the burst has not begun
}

// shortPools returns the pools that VMs should move to, the shortest first.
func (m *Mover) shortPools(pools []Pool, now time.Time, out time.Duration) []shortage {
	var short []shortage
	for i := range pools {
		p := &pools[i]
		missing := m.missing(p, now)
		if missing <= 0 {
			delete(m.shortSince, p.Name)
			continue
		}
		since, found := m.shortSince[p.Name]
		if !found {
			m.shortSince[p.Name] = now
			since = now
		}
		early := p.Next && !p.Demand.Bursting
		known := p.Demand.Bursting && p.Demand.BurstLength > 0
		if (known || now.Sub(since) >= m.options.Confirm) && m.paysBack(p, now, out) {
			short = append(short, shortage{pool: p.Name, vms: missing, since: since, early: early})
		}
	}
	slices.SortStableFunc(short, func(a, b shortage) int { return cmp.Compare(b.vms, a.vms) })
	return short
}

// missing is the number of VMs that a pool lacks and would put to good use. A
// burst that has had its VMs gets more only for a whole VM's worth.
func (m *Mover) missing(p *Pool, now time.Time) int {
	if p.Slots <= 0 {
		return 0
	}
	lack := level(p)/p.Slots - float64(p.Serving+p.Coming)
	settled := p.Demand.Bursting && now.Sub(p.Demand.Since) > m.options.Settle
	if settled && lack < m.options.MoreFrom {
		return 0
	}
	return int(math.Floor(lack + 1 - m.options.LeastUse))
}

// level is the demand to provide for, in slots. From the beginning of a burst
// on it is the level that the pool's bursts reach. Nothing moves for a burst
// that is ending.
func level(p *Pool) float64 {
	d := p.Demand
	learned := d.BurstLength > 0
	switch {
	case d.Ending:
		return 0
	case learned && (d.Bursting || p.Next):
		return d.Burst
	case d.Bursting:
		return max(d.Now, d.Burst)
	}
	return d.Now
}

// paysBack says that the burst is expected to outlast the move.
func (m *Mover) paysBack(p *Pool, now time.Time, out time.Duration) bool {
	usual := p.Demand.BurstLength
	if usual == 0 || !p.Demand.Bursting {
		return true
	}
	rest := usual - now.Sub(p.Demand.Since)
	rest = max(rest, time.Duration(shortestRest*float64(usual)))
	return float64(rest) > m.options.Payback*float64(out)
}

// donor is a pool that can lend VMs.
type donor struct {
	pool *Pool
	vms  int
	// extra is how many VMs the pool has beyond what its bursts need.
	extra float64
	// last says that the pool's burst is the last that ended, or is ending.
	last bool
}

// donors returns the pools that can lend. The pool whose burst ended last
// comes first: where pools take turns, its next burst is the furthest away.
// The others follow by what they have beyond the need of their own bursts; the
// spare pool counts as having some more.
func (m *Mover) donors(pools []Pool) []donor {
	var donors []donor
	for i := range pools {
		if d, found := m.donor(&pools[i]); found {
			donors = append(donors, d)
		}
	}
	markLast(donors)
	slices.SortStableFunc(donors, func(a, b donor) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(a.pool.Name, b.pool.Name))
	})
	return donors
}

func (m *Mover) donor(p *Pool) (donor, bool) {
	busy := p.Next || (p.Demand.Bursting && !p.Demand.Ending)
	if busy || p.Slots <= 0 {
		return donor{}, false
	}
	keep := int(math.Ceil(m.options.Keep * p.Demand.Now / p.Slots))
	if p.Demand.Ending {
		keep = 0
	}
	have := p.Serving + p.Coming
	vms := min(p.Lendable, p.Serving-keep)
	extra := float64(have) - p.Demand.Burst/p.Slots
	return donor{pool: p, vms: vms, extra: extra}, vms > 0
}

// markLast marks the pool whose burst ended last or is ending.
func markLast(donors []donor) {
	best := -1
	for i := range donors {
		d := donors[i].pool.Demand
		if d.BurstLength == 0 && !d.Ending {
			continue
		}
		if best < 0 || d.Since.After(donors[best].pool.Demand.Since) || d.Ending {
			best = i
		}
	}
	if best >= 0 {
		donors[best].last = true
	}
}

func (d donor) rank() float64 {
	switch {
	case d.last:
		return math.Inf(1)
	case d.pool.Spare:
		return d.extra + spareBonus
	}
	return d.extra
}

// lend serves a shortage from the donors in turn and lowers what they have.
// While the pool waits for a burst to end elsewhere, only the pool whose burst
// ended last lends.
func lend(s shortage, donors []donor, wait bool) []Shift {
	var shifts []Shift
	for i := range donors {
		count := min(s.vms, donors[i].vms)
		if count <= 0 || (wait && !donors[i].last) {
			continue
		}
		shifts = append(shifts, Shift{From: donors[i].pool.Name, To: s.pool, Count: count})
		donors[i].vms -= count
		s.vms -= count
	}
	return shifts
}

// burstsElsewhere says that another pool has a burst, which may end soon.
func burstsElsewhere(pools []Pool, name string) bool {
	for i := range pools {
		if pools[i].Name != name && pools[i].Demand.Bursting {
			return true
		}
	}
	return false
}
