// Package buffer estimates the demand of each pool from usage samples that
// arrive with a lag, and computes how many VMs the fleet needs beyond those that
// the budgets require.
//
//	estimator := buffer.NewEstimator()
//	estimator.Add(samples)
//	sizer := buffer.NewSizer(buffer.Options{})
//	reports := sizer.Reports(needs, now)
//
// Each pool has the VMs that its budgets need immediately after a failure: for
// the loss of the failure domain that a budget names and of one more VM. VMs
// that can be moved to a pool when they are needed are shared by all pools: those
// for random failures, and the larger of the number that simultaneous bursts
// need beyond the pools' own VMs and the number that is out of service for
// maintenance.
package buffer

import (
	"cmp"
	"math"
	"time"
)

// Report compares the number of a pool's workers with the number that its
// budgets and demand require, in VMs.
type Report struct {
	// Pool is the name of the pool; empty for the whole fleet.
	Pool string `json:"pool"`
	// Total is the number of workers, Available the number of those in service.
	Total     int `json:"have"`
	Available int `json:"available"`
	// Required is the minimum number of workers that keeps the budgets.
	Required int `json:"required"`
	// Shared is the part of Required that all pools share. It is set only in
	// the report of the whole fleet.
	Shared int `json:"shared"`
	// LowerBound is a lower bound on the number of workers of any plan that
	// keeps the budgets, whatever the placement of its VMs.
	LowerBound int `json:"bound"`
}

// Need is the input of a report about one pool.
type Need struct {
	Pool      string
	Total     int
	Available int
	// Required is the minimum number of the pool's VMs, in their current racks
	// and zones, that keeps the budgets after the loss of the named failure
	// domain and of one more VM.
	Required int
	// RequiredBound is the same number for the best possible placement.
	RequiredBound int
	// Demand is the estimate of the pool's demand.
	Demand Estimate
	// Slots is the number of slots of one VM.
	Slots float64
}

// The defaults of Options, and the decay of the joint peak.
const (
	defaultFailuresPerDay      = 12.0 / 950  // failures per VM and day
	defaultRestartsPerDay      = 110.0 / 950 // restarts and replacements per VM and day
	defaultRepairTime          = 4 * time.Hour
	defaultRestartTime         = 5 * time.Minute
	defaultMaintenanceInterval = 14 * 24 * time.Hour
	defaultDowntime            = 10 * time.Minute
	defaultTailProbability     = 0.001
	day                        = 24 * time.Hour
	peakHorizon                = 3 * day // time constant with which the joint peak decays
)

// Options are the failure and maintenance rates for which the shared part is
// sized. Zero values are replaced by the defaults.
type Options struct {
	// FailuresPerDay and RestartsPerDay are the rates of a single VM.
	FailuresPerDay float64
	RestartsPerDay float64
	// RepairTime and RestartTime are how long a VM is out of service after a
	// failure or a restart.
	RepairTime  time.Duration
	RestartTime time.Duration
	// MaintenanceInterval is the time within which each VM is maintained once,
	// and Downtime how long it is then out of service.
	MaintenanceInterval time.Duration
	Downtime            time.Duration
	// TailProbability is the share of the time in which more VMs may be out of
	// service for failures than the shared part covers.
	TailProbability float64
}

func (o Options) withDefaults() Options {
	o.FailuresPerDay = cmp.Or(o.FailuresPerDay, defaultFailuresPerDay)
	o.RestartsPerDay = cmp.Or(o.RestartsPerDay, defaultRestartsPerDay)
	o.RepairTime = cmp.Or(o.RepairTime, defaultRepairTime)
	o.RestartTime = cmp.Or(o.RestartTime, defaultRestartTime)
	o.MaintenanceInterval = cmp.Or(o.MaintenanceInterval, defaultMaintenanceInterval)
	o.Downtime = cmp.Or(o.Downtime, defaultDowntime)
	o.TailProbability = cmp.Or(o.TailProbability, defaultTailProbability)
	return o
}

// MaxFailed returns an upper limit on how many of the given number of VMs are
// out of service for random failures at once. It is exceeded only for a share
// of the time of TailProbability.
func (o Options) MaxFailed(vms int) int {
	o = o.withDefaults()
	perVM := o.FailuresPerDay*o.RepairTime.Hours() + o.RestartsPerDay*o.RestartTime.Hours()
	return poissonQuantile(float64(vms)*perVM/day.Hours(), o.TailProbability)
}

// InMaintenance returns how many of the given number of VMs are out of service
// for maintenance at once on average, rounded up.
func (o Options) InMaintenance(vms int) int {
	o = o.withDefaults()
	return int(math.Ceil(float64(vms) * o.Downtime.Hours() / o.MaintenanceInterval.Hours()))
}

// poissonQuantile returns the smallest n that a Poisson variable with the given
// mean exceeds with at most the given probability.
func poissonQuantile(mean, probability float64) int {
	term := math.Exp(-mean)
	tail := 1 - term
	n := 0
	for tail > probability {
		n++
		term *= mean / float64(n)
		tail -= term
	}
	return n
}

// Sizer computes reports. It records the largest joint need of bursts. The record
// is not persisted: a new Sizer knows only the bursts since its start.
type Sizer struct {
	options Options
	peak    float64 // decaying maximum of the joint need of bursts, in VMs beyond the pools' own
	peakAt  time.Time
}

// NewSizer returns a Sizer without a recorded peak.
func NewSizer(options Options) *Sizer {
	return &Sizer{options: options.withDefaults()}
}

// Reports returns the fleet's report followed by those of the pools.
func (s *Sizer) Reports(needs []Need, now time.Time) []Report {
	s.updatePeak(jointBurstExcess(needs), now)
	fleet := Report{}
	reports := make([]Report, 1, len(needs)+1)
	for _, need := range needs {
		report := Report{
			Pool:       need.Pool,
			Total:      need.Total,
			Available:  need.Available,
			Required:   need.Required,
			LowerBound: need.RequiredBound,
		}
		reports = append(reports, report)
		fleet.Total += need.Total
		fleet.Available += need.Available
		fleet.Required += need.Required
		fleet.LowerBound += need.RequiredBound
	}
	failed := s.options.MaxFailed(fleet.Total)
	fleet.Shared = failed + max(int(math.Ceil(s.peak)), s.options.InMaintenance(fleet.Total))
	fleet.Required += fleet.Shared
	fleet.LowerBound += failed
	reports[0] = fleet
	return reports
}

// updatePeak records the largest joint need, which decays over days.
func (s *Sizer) updatePeak(excess int, now time.Time) {
	if !s.peakAt.IsZero() && now.After(s.peakAt) {
		s.peak *= math.Exp(-float64(now.Sub(s.peakAt)) / float64(peakHorizon))
	}
	s.peakAt = now
	s.peak = max(s.peak, float64(excess))
}

// jointBurstExcess returns the number of VMs that the current demand of the
// pools needs beyond the VMs that their budgets require.
func jointBurstExcess(needs []Need) int {
	sum := 0
	for _, need := range needs {
		if need.Slots > 0 {
			sum += max(int(math.Ceil(steadyDemand(need.Demand)/need.Slots))-need.Required, 0)
		}
	}
	return sum
}

// steadyDemand returns the demand in slots. During a burst it is limited to the
// known level of the pool's bursts, to remove noise above that level.
func steadyDemand(d Estimate) float64 {
	if d.Bursting && d.BurstLength > 0 {
		return min(d.Current, d.BurstLevel)
	}
	return d.Current
}
