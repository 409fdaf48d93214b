package planner

import (
	"sort"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

const day = 24 * time.Hour

// poolProgress counts the VMs of one pool that a wave still has to process.
type poolProgress struct {
	pending      int
	outOfService int
}

// forecastWaves adds the progress and the expected end of each wave to the
// plan.
func (r *round) forecastWaves() {
	for _, name := range r.waves {
		r.plan.Forecasts = append(r.plan.Forecasts, r.forecastWave(r.view.Waves[name]))
	}
}

func (r *round) forecastWave(status structs.WaveStatus) WaveForecast {
	f := WaveForecast{Wave: status.Name, Stopped: status.Stopped, Paused: status.Paused}
	pools := make(map[string]*poolProgress)
	for _, pool := range r.poolsOfWave(status) {
		pools[pool] = &poolProgress{}
	}
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if progress := pools[vm.Pool]; progress != nil && !vm.Removed {
			r.countProgress(&f, progress, vm, status)
		}
	}
	r.estimateEnd(&f, pools, status)
	return f
}

func (r *round) countProgress(f *WaveForecast, progress *poolProgress, vm *structs.VMStatus, status structs.WaveStatus) {
	switch {
	case vm.State == structs.VMFailed:
		f.Failed++
	case vm.State != structs.VMActive:
		f.OutOfService++
		progress.outOfService++
	case r.runsImage(vm, status.Image):
		f.Done++
	default:
		f.Pending++
		progress.pending++
	}
}

// estimateEnd sets the time at which the slowest pool is expected to finish,
// or the pools that block the wave.
func (r *round) estimateEnd(f *WaveForecast, pools map[string]*poolProgress, status structs.WaveStatus) {
	var longest time.Duration
	for pool, progress := range pools {
		maxUnavailable := r.ledger.MaxUnavailable(pool)
		if progress.pending > 0 && maxUnavailable == 0 {
			f.Blocked = append(f.Blocked, pool)
			continue
		}
		longest = max(longest, r.poolDuration(progress, maxUnavailable))
	}
	sort.Strings(f.Blocked)
	if len(f.Blocked) > 0 || status.Paused || status.Stopped != "" {
		return
	}
	f.ExpectedEnd = r.now.Add(r.scaleByWindow(longest, status.Window))
}

// poolDuration returns the time that a pool needs with at most maxUnavailable
// VMs out of service at once. VMs that are already out of service are assumed
// to be half done on average.
func (r *round) poolDuration(progress *poolProgress, maxUnavailable int) time.Duration {
	downtime := r.p.tracker.Downtime()
	if progress.pending == 0 {
		if progress.outOfService == 0 {
			return 0
		}
		return downtime / 2
	}
	batches := (progress.pending + maxUnavailable - 1) / maxUnavailable
	return time.Duration(batches)*downtime + downtime/2*time.Duration(min(progress.outOfService, 1))
}

// scaleByWindow converts working time to elapsed time, given the daily opening
// time of the named maintenance window.
func (r *round) scaleByWindow(working time.Duration, name string) time.Duration {
	window, found := r.view.Windows[name]
	if name == "" || !found {
		return working
	}
	open := wave.WindowDuration(window)
	if open <= 0 {
		return working
	}
	return time.Duration(float64(working) * float64(day) / float64(open))
}
