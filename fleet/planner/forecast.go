package planner

import (
	"sort"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

const day = 24 * time.Hour

// poolProgress counts the VMs of one pool in a wave.
type poolProgress struct {
	pending int
	out     int
}

// forecast adds the progress and the expected end of each wave.
func (r *round) forecast() {
	for _, name := range r.waves {
		r.plan.Forecasts = append(r.plan.Forecasts, r.forecastWave(r.view.Waves[name]))
	}
}

func (r *round) forecastWave(status structs.WaveStatus) WaveForecast {
	f := WaveForecast{Wave: status.Name, Stopped: status.Stopped, Paused: status.Paused}
	pools := make(map[string]*poolProgress)
	for _, pool := range r.poolsOf(status) {
		pools[pool] = &poolProgress{}
	}
	for i := range r.view.VMs {
		vm := &r.view.VMs[i]
		if progress := pools[vm.Pool]; progress != nil && !vm.Removed {
			r.countProgress(&f, progress, vm, status)
		}
	}
	r.expectEnd(&f, pools, status)
	return f
}

func (r *round) countProgress(f *WaveForecast, progress *poolProgress, vm *structs.VMStatus, status structs.WaveStatus) {
	switch {
	case vm.State == structs.VMFailed:
		f.Failed++
	case vm.State != structs.VMActive:
		f.Out++
		progress.out++
	case r.done(vm, status.Image):
		f.Done++
	default:
		f.Pending++
		progress.pending++
	}
}

// expectEnd works out when the slowest pool is done.
func (r *round) expectEnd(f *WaveForecast, pools map[string]*poolProgress, status structs.WaveStatus) {
	var longest time.Duration
	for pool, progress := range pools {
		most := r.ledger.MaxOut(pool)
		if progress.pending > 0 && most == 0 {
			f.Blocked = append(f.Blocked, pool)
			continue
		}
		longest = max(longest, r.poolTime(progress, most))
	}
	sort.Strings(f.Blocked)
	if len(f.Blocked) > 0 || status.Paused || status.Stopped != "" {
		return
	}
	f.End = r.now.Add(r.stretchByWindow(longest, status.Window))
}

// poolTime is the time a pool needs with most VMs out at once. VMs that are
// out already are half done on average.
func (r *round) poolTime(progress *poolProgress, most int) time.Duration {
	each := r.p.tracker.OutDuration()
	if progress.pending == 0 {
		if progress.out == 0 {
			return 0
		}
		return each / 2
	}
	turns := (progress.pending + most - 1) / most
	return time.Duration(turns)*each + each/2*time.Duration(min(progress.out, 1))
}

// stretchByWindow turns working time into elapsed time.
func (r *round) stretchByWindow(work time.Duration, name string) time.Duration {
	window, found := r.view.Windows[name]
	if name == "" || !found {
		return work
	}
	open := wave.OpenTime(window)
	if open <= 0 {
		return work
	}
	return time.Duration(float64(work) * float64(day) / float64(open))
}
