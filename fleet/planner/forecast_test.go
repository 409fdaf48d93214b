package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

func TestForecastApproximatesActualEnd(t *testing.T) {
	s := newSmallWaveSim(structs.FailureDomainRack, 3)
	p := New(Options{})
	var early, middle WaveForecast
	for !s.finished() && s.now.Sub(s.start) < testLimit {
		plan := s.step(p)
		switch s.now.Sub(s.start) {
		case 5 * time.Second:
			early = plan.Forecasts[0]
		case 15 * time.Minute:
			middle = plan.Forecasts[0]
		}
	}
	took := s.now.Sub(s.start)
	t.Log("took", took, "early", early.ExpectedEnd.Sub(s.start), "middle", middle.ExpectedEnd.Sub(s.start))
	require.Equal(t, 50, middle.Pending+middle.OutOfService+middle.Done+middle.Failed)
	require.Positive(t, middle.Done)
	require.InDelta(t, took.Minutes(), middle.ExpectedEnd.Sub(s.start).Minutes(), 0.25*took.Minutes())
	require.InDelta(t, took.Minutes(), early.ExpectedEnd.Sub(s.start).Minutes(), took.Minutes())
	last := s.step(p).Forecasts[0]
	require.Equal(t, 50, last.Done)
	require.Equal(t, s.now, last.ExpectedEnd)
}

func TestForecastListsBlockedPools(t *testing.T) {
	shape := smallShape(structs.FailureDomainNone)
	shape.budget = func(pool, size int) structs.Budget {
		if pool == 2 {
			return structs.Budget{MinAvailable: size}
		}
		return structs.Budget{MinAvailable: size / 2}
	}
	s := newSim(newView(shape), 1)
	s.addWave()
	plan := s.step(New(Options{}))
	require.Equal(t, []string{poolName(2)}, plan.Forecasts[0].Blocked)
	require.True(t, plan.Forecasts[0].ExpectedEnd.IsZero())
	for i := range s.view.VMs {
		if vm := &s.view.VMs[i]; vm.Pool == poolName(2) {
			require.Equal(t, structs.VMActive, vm.State)
		}
	}
}
