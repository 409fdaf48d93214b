package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

func smallShape(survive structs.FailureDomain) fleetShape {
	return fleetShape{zones: 4, pools: 5, vms: 50, rackSize: 4, budget: func(_, size int) structs.Budget {
		return structs.Budget{MinAvailable: size * 6 / 10, Survive: survive}
	}}
}

func TestWaveUpdatesEveryVM(t *testing.T) {
	for _, survive := range []structs.FailureDomain{
		structs.FailureDomainNone, structs.FailureDomainVM, structs.FailureDomainRack, structs.FailureDomainZone,
	} {
		t.Run(string(survive), func(t *testing.T) {
			s := newSmallWaveSim(survive, 1)
			s.longRequestShare = 0.1
			took := s.runUntilFinished(New(Options{}), 12*time.Hour)
			require.True(t, s.finished(), "after %s", took)
			require.Less(t, took, 12*time.Hour)
			requireInvariants(t, s)
			require.Zero(t, s.voidRecords, s.lastVoid.Detail)
		})
	}
}
