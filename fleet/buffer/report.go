// Package buffer estimates the demand of each pool from lagging usage and
// works out how many VMs the fleet must have beyond what the budgets ask for.
//
//	estimator := buffer.NewEstimator()
//	estimator.Add(samples)
//	sizer := buffer.NewSizer(buffer.Options{})
//	reports := sizer.Reports(needs, now)
//
// Each pool keeps what its budgets need at once when something fails: the
// loss of the domain that a budget names and one more VM. Everything that can
// be brought in within a move is kept once for all pools: VMs for random
// failures, and the larger of what joint bursts need beyond the pools' own VMs
// and what maintenance has out.
package buffer

import (
	"cmp"
	"math"
	"time"
)

// Report compares a pool's workers with what its budgets and demand need, in
// VMs.
type Report struct {
	// Pool is the pool, or empty for the whole fleet.
	Pool string `json:"pool"`
	// Have is the number of workers, Available those in service.
	Have      int `json:"have"`
	Available int `json:"available"`
	// Required is the least number that keeps the budgets.
	Required int `json:"required"`
	// Shared is the part of Required that all pools share; only the report of
	// the whole fleet has it.
	Shared int `json:"shared"`
	// Bound is what no plan that keeps the budgets can go below, wherever its
	// VMs stand.
	Bound int `json:"bound"`
}

// Need is what is known of one pool.
type Need struct {
	Pool      string
	Have      int
	Available int
	// Own is the least number of the pool's VMs, as they stand in racks and
	// zones, that bears the named loss and one more VM.
	Own int
	// OwnBound is the same for the best placement there could be.
	OwnBound int
	// Demand is the estimate of the pool's demand.
	Demand Estimate
	// Slots is the number of slots of one VM.
	Slots float64
}

// Default rates and times of failures and maintenance.
const (
	defaultFailures      = 12.0 / 950  // failures a VM and day
	defaultRestarts      = 110.0 / 950 // restarts and replacements a VM and day
	defaultRepairTime    = 4 * time.Hour
	defaultRestartTime   = 5 * time.Minute
	defaultMaintainEvery = 14 * 24 * time.Hour
	defaultOutDuration   = 10 * time.Minute
	defaultTailChance    = 0.001
	day                  = 24 * time.Hour
	peakHorizon          = 3 * day // time constant with which a joint peak fades
)

// Options are the rates the shared part is sized for. Zero values take the
// defaults.
type Options struct {
	// FailuresPerDay and RestartsPerDay are the rates of one VM.
	FailuresPerDay float64
	RestartsPerDay float64
	// RepairTime and RestartTime are how long such a VM is out.
	RepairTime  time.Duration
	RestartTime time.Duration
	// MaintainEvery is the time within which each VM is maintained once, and
	// OutDuration how long it is out for it.
	MaintainEvery time.Duration
	OutDuration   time.Duration
	// TailChance is the share of the time in which more VMs may have failed
	// than the shared part holds.
	TailChance float64
}

func (o Options) withDefaults() Options {
	o.FailuresPerDay = cmp.Or(o.FailuresPerDay, defaultFailures)
	o.RestartsPerDay = cmp.Or(o.RestartsPerDay, defaultRestarts)
	o.RepairTime = cmp.Or(o.RepairTime, defaultRepairTime)
	o.RestartTime = cmp.Or(o.RestartTime, defaultRestartTime)
	o.MaintainEvery = cmp.Or(o.MaintainEvery, defaultMaintainEvery)
	o.OutDuration = cmp.Or(o.OutDuration, defaultOutDuration)
	o.TailChance = cmp.Or(o.TailChance, defaultTailChance)
	return o
}

// Failed returns the number of VMs, of the given number, that are out for
// random failures at once in all but the tail of the time.
func (o Options) Failed(vms int) int {
	o = o.withDefaults()
	perVM := o.FailuresPerDay*o.RepairTime.Hours() + o.RestartsPerDay*o.RestartTime.Hours()
	return poissonQuantile(float64(vms)*perVM/day.Hours(), o.TailChance)
}

// Maintained returns the number of VMs, of the given number, that maintenance
// has out at once on average, rounded up.
func (o Options) Maintained(vms int) int {
	o = o.withDefaults()
	return int(math.Ceil(float64(vms) * o.OutDuration.Hours() / o.MaintainEvery.Hours()))
}

// poissonQuantile returns the least n that a Poisson variable exceeds with at
// most the given chance.
func poissonQuantile(mean, chance float64) int {
	term := math.Exp(-mean)
	rest := 1 - term
	n := 0
	for rest > chance {
		n++
		term *= mean / float64(n)
		rest -= term
	}
	return n
}

// Sizer works out reports. It remembers the largest joint need of bursts; an
// empty memory only knows fewer bursts.
type Sizer struct {
	options Options
	peak    float64 // VMs beyond the pools' own
	at      time.Time
}

// NewSizer returns a sizer with an empty memory.
func NewSizer(options Options) *Sizer {
	return &Sizer{options: options.withDefaults()}
}

// Reports returns the fleet's report followed by those of the pools.
func (s *Sizer) Reports(needs []Need, now time.Time) []Report {
	s.notePeak(jointExcess(needs), now)
	fleet := Report{}
	reports := make([]Report, 1, len(needs)+1)
	for _, need := range needs {
		report := Report{
			Pool:      need.Pool,
			Have:      need.Have,
			Available: need.Available,
			Required:  need.Own,
			Bound:     need.OwnBound,
		}
		reports = append(reports, report)
		fleet.Have += need.Have
		fleet.Available += need.Available
		fleet.Required += need.Own
		fleet.Bound += need.OwnBound
	}
	failed := s.options.Failed(fleet.Have)
	fleet.Shared = failed + max(int(math.Ceil(s.peak)), s.options.Maintained(fleet.Have))
	fleet.Required += fleet.Shared
	fleet.Bound += failed
	reports[0] = fleet
	return reports
}

// notePeak keeps the largest joint need, which fades over days.
func (s *Sizer) notePeak(excess int, now time.Time) {
	if !s.at.IsZero() && now.After(s.at) {
		s.peak *= math.Exp(-float64(now.Sub(s.at)) / float64(peakHorizon))
	}
	s.at = now
	s.peak = max(s.peak, float64(excess))
}

// jointExcess is the number of VMs that the pools' demand needs now beyond
// their own.
func jointExcess(needs []Need) int {
	sum := 0
	for _, need := range needs {
		if need.Slots > 0 {
			sum += max(int(math.Ceil(steadyDemand(need.Demand)/need.Slots))-need.Own, 0)
		}
	}
	return sum
}

// steadyDemand is the demand in slots without the noise on top of a burst's
// learned level.
func steadyDemand(d Estimate) float64 {
	if d.Bursting && d.BurstLength > 0 {
		return min(d.Now, d.Burst)
	}
	return d.Now
}
