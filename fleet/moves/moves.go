// Package moves decides how many VMs to move between pools, and between which
// pools, so that a shortage is removed with few moves.
//
//	shifts := moves.NewMover(moves.Options{}).Decide(pools, now, downtime)
//	// for each shift, drain shift.Count VMs of shift.From for shift.To
//
// During a move the VM is out of service for a drain, a reboot and a probation.
// A move is therefore made only for a shortage that is confirmed, that would use
// a sufficient part of the VM, and that is expected to outlast the move.
package moves

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wigeonwinch/fleet/buffer"
)

// Pool is the state of one pool that a decision is based on.
type Pool struct {
	Name string
	// Spare marks the spare pool, which is preferred as a donor.
	Spare bool
	// Serving is the number of VMs in service, Incoming the number of VMs that
	// will return to the pool or join it.
	Serving  int
	Incoming int
	// Slots is the number of slots of one VM.
	Slots float64
	// Removable is the number of VMs that can leave the pool now without
	// breaking a budget.
	Removable int
	// Demand is the estimate of the pool's demand, in slots.
	Demand buffer.Estimate
	// BurstExpected is whether the next burst is expected in this pool.
	BurstExpected bool
}

// Shift moves VMs from one pool to another.
type Shift struct {
	From  string
	To    string
	Count int
}

// The defaults of Options, and other thresholds of a decision.
const (
	defaultConfirmTime     = 30 * time.Second
	defaultBurstEndWait    = 90 * time.Second
	defaultMinUse          = 0.2
	defaultSettleTime      = 5 * time.Minute
	defaultMinLateShortage = 0.9
	defaultPaybackFactor   = 1.0
	defaultKeepFactor      = 1.25
	// minRemainingShare is the minimum share of a burst's usual length that is
	// expected to remain, however long the burst has lasted.
	minRemainingShare = 0.25
	// spareBonus is added to the surplus of the spare pool, in VMs, when donors
	// are ranked.
	spareBonus = 1.0
)

// Options are the thresholds of the decision. Zero values are replaced by the
// defaults.
type Options struct {
	// ConfirmTime is how long a shortage must last before VMs are moved for it.
	ConfirmTime time.Duration
	// BurstEndWait is how long a pool that lacks VMs waits for the burst of
	// another pool to end before it takes VMs from the other donors.
	BurstEndWait time.Duration
	// MinUse is the minimum share of a VM that the destination pool must be
	// expected to use.
	MinUse float64
	// SettleTime is how long after the start of a burst any shortage counts.
	// Later in the burst only a shortage of at least MinLateShortage VMs counts.
	SettleTime      time.Duration
	MinLateShortage float64
	// PaybackFactor is the minimum ratio between the expected remaining time of
	// the burst and the downtime of a move.
	PaybackFactor float64
	// KeepFactor is the multiple of its current demand for which a donor keeps
	// VMs.
	KeepFactor float64
}

func (o Options) withDefaults() Options {
	o.ConfirmTime = cmp.Or(o.ConfirmTime, defaultConfirmTime)
	o.BurstEndWait = cmp.Or(o.BurstEndWait, defaultBurstEndWait)
	o.MinUse = cmp.Or(o.MinUse, defaultMinUse)
	o.SettleTime = cmp.Or(o.SettleTime, defaultSettleTime)
	o.MinLateShortage = cmp.Or(o.MinLateShortage, defaultMinLateShortage)
	o.PaybackFactor = cmp.Or(o.PaybackFactor, defaultPaybackFactor)
	o.KeepFactor = cmp.Or(o.KeepFactor, defaultKeepFactor)
	return o
}

// Mover decides moves. It records since when each pool has a shortage. The
// records are not persisted; their loss only delays the next move.
type Mover struct {
	options    Options
	shortSince map[string]time.Time
}

// NewMover returns a Mover without recorded shortages.
func NewMover(options Options) *Mover {
	return &Mover{options: options.withDefaults(), shortSince: make(map[string]time.Time)}
}

// Decide returns the moves to start now, given the downtime of a VM that is
// moved.
func (m *Mover) Decide(pools []Pool, now time.Time, downtime time.Duration) []Shift {
	short := m.shortPools(pools, now, downtime)
	donors := m.donors(pools)
	var shifts []Shift
	for _, s := range short {
		lastBurstOnly := s.beforeBurst || now.Sub(s.since) < m.options.BurstEndWait && otherPoolBursting(pools, s.pool)
		shifts = append(shifts, allocate(s, donors, lastBurstOnly)...)
	}
	return shifts
}

// shortage is the number of VMs that a pool lacks.
type shortage struct {
	pool        string
	vms         int
	since       time.Time
	beforeBurst bool // the burst is expected but has not begun
}

// shortPools returns the pools that need more VMs, the largest shortage first.
func (m *Mover) shortPools(pools []Pool, now time.Time, downtime time.Duration) []shortage {
	var short []shortage
	for i := range pools {
		p := &pools[i]
		missing := m.missingVMs(p, now)
		if missing <= 0 {
			delete(m.shortSince, p.Name)
			continue
		}
		since, found := m.shortSince[p.Name]
		if !found {
			m.shortSince[p.Name] = now
			since = now
		}
		beforeBurst := p.BurstExpected && !p.Demand.Bursting
		knownBurst := p.Demand.Bursting && p.Demand.BurstLength > 0
		if (knownBurst || now.Sub(since) >= m.options.ConfirmTime) && m.paysBack(p, now, downtime) {
			short = append(short, shortage{pool: p.Name, vms: missing, since: since, beforeBurst: beforeBurst})
		}
	}
	slices.SortStableFunc(short, func(a, b shortage) int { return cmp.Compare(b.vms, a.vms) })
	return short
}

// missingVMs returns the number of VMs that a pool lacks and would use
// sufficiently. After the settle time of a burst the pool gets more VMs only if
// its shortage is at least MinLateShortage.
func (m *Mover) missingVMs(p *Pool, now time.Time) int {
	if p.Slots <= 0 {
		return 0
	}
	shortfall := targetDemand(p)/p.Slots - float64(p.Serving+p.Incoming)
	late := p.Demand.Bursting && now.Sub(p.Demand.PhaseStart) > m.options.SettleTime
	if late && shortfall < m.options.MinLateShortage {
		return 0
	}
	return int(math.Floor(shortfall + 1 - m.options.MinUse))
}

// targetDemand returns the demand to provide for, in slots. As soon as a burst
// begins, or is expected next, it is the level that the pool's bursts usually
// reach. It is zero for a burst that is ending, so that no VM is moved for it.
func targetDemand(p *Pool) float64 {
	d := p.Demand
	learned := d.BurstLength > 0
	switch {
	case d.Ending:
		return 0
	case learned && (d.Bursting || p.BurstExpected):
		return d.BurstLevel
	case d.Bursting:
		return max(d.Current, d.BurstLevel)
	}
	return d.Current
}

// paysBack reports whether the burst is expected to last long enough to justify
// the downtime of a move.
func (m *Mover) paysBack(p *Pool, now time.Time, downtime time.Duration) bool {
	usualLength := p.Demand.BurstLength
	if usualLength == 0 || !p.Demand.Bursting {
		return true
	}
	remaining := usualLength - now.Sub(p.Demand.PhaseStart)
	remaining = max(remaining, time.Duration(minRemainingShare*float64(usualLength)))
	return float64(remaining) > m.options.PaybackFactor*float64(downtime)
}

// donor is a pool that can give VMs to other pools.
type donor struct {
	pool *Pool
	vms  int
	// surplus is the number of VMs that the pool has beyond the need of its
	// bursts.
	surplus float64
	// lastBurst is whether the pool's burst is the last that ended, or is
	// ending.
	lastBurst bool
}

// donors returns the pools that can give VMs. The pool whose burst ended last
// comes first: if the pools burst in rotation, its next burst is the furthest
// away. The others are sorted by surplus, the largest first; spareBonus is added
// to the surplus of the spare pool.
func (m *Mover) donors(pools []Pool) []donor {
	var donors []donor
	for i := range pools {
		if d, found := m.donor(&pools[i]); found {
			donors = append(donors, d)
		}
	}
	markLastBurst(donors)
	slices.SortStableFunc(donors, func(a, b donor) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(a.pool.Name, b.pool.Name))
	})
	return donors
}

func (m *Mover) donor(p *Pool) (donor, bool) {
	busy := p.BurstExpected || (p.Demand.Bursting && !p.Demand.Ending)
	if busy || p.Slots <= 0 {
		return donor{}, false
	}
	keep := int(math.Ceil(m.options.KeepFactor * p.Demand.Current / p.Slots))
	if p.Demand.Ending {
		keep = 0
	}
	assigned := p.Serving + p.Incoming
	vms := min(p.Removable, p.Serving-keep)
	surplus := float64(assigned) - p.Demand.BurstLevel/p.Slots
	return donor{pool: p, vms: vms, surplus: surplus}, vms > 0
}

// markLastBurst marks the donor whose burst ended last or is ending.
func markLastBurst(donors []donor) {
	last := -1
	for i := range donors {
		d := donors[i].pool.Demand
		if d.BurstLength == 0 && !d.Ending {
			continue
		}
		if last < 0 || d.PhaseStart.After(donors[last].pool.Demand.PhaseStart) || d.Ending {
			last = i
		}
	}
	if last >= 0 {
		donors[last].lastBurst = true
	}
}

func (d donor) rank() float64 {
	switch {
	case d.lastBurst:
		return math.Inf(1)
	case d.pool.Spare:
		return d.surplus + spareBonus
	}
	return d.surplus
}

// allocate covers a shortage from the donors in order and reduces their
// available VMs. With lastBurstOnly, only the donor whose burst ended last gives
// VMs.
func allocate(s shortage, donors []donor, lastBurstOnly bool) []Shift {
	var shifts []Shift
	for i := range donors {
		count := min(s.vms, donors[i].vms)
		if count <= 0 || (lastBurstOnly && !donors[i].lastBurst) {
			continue
		}
		shifts = append(shifts, Shift{From: donors[i].pool.Name, To: s.pool, Count: count})
		donors[i].vms -= count
		s.vms -= count
	}
	return shifts
}

// otherPoolBursting reports whether a pool other than the named one is in a
// burst, which may end soon.
func otherPoolBursting(pools []Pool, name string) bool {
	for i := range pools {
		if pools[i].Name != name && pools[i].Demand.Bursting {
			return true
		}
	}
	return false
}
