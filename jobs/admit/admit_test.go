package admit

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDecide(t *testing.T) {
	busy := Load{WaitingWork: 128_000 * 2_000, CapacityMilliCPU: 128_000}
	tests := []struct {
		name   string
		load   Load
		ask    Request
		accept bool
	}{
		{"idle pool", Load{CapacityMilliCPU: 128_000, FreeMilliCPU: 128_000}, Request{CriticalPathMS: 1_000, SlackMS: 2_000}, true},
		{"two seconds of work ahead, not enough slack", busy, Request{CriticalPathMS: 1_000, SlackMS: 2_200}, false},
		{"two seconds of work ahead, enough slack", busy, Request{CriticalPathMS: 1_000, SlackMS: 4_000}, true},
		{"already late but workers are idle", Load{CapacityMilliCPU: 128_000, FreeMilliCPU: 100_000}, Request{CriticalPathMS: 1_000, SlackMS: 0, InitialMilliCPU: 5_000}, true},
		{"already late and workers are full", Load{CapacityMilliCPU: 128_000, FreeMilliCPU: 1_000}, Request{CriticalPathMS: 1_000, SlackMS: 0, InitialMilliCPU: 5_000}, false},
		{"lasting jobs are always admitted", busy, Request{Lasting: true}, true},
		{"scheduled jobs are always admitted", busy, Request{Scheduled: true}, true},
		{"no reachable worker", Load{}, Request{CriticalPathMS: 1, SlackMS: 5_000}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Decide(tt.load, tt.ask)
			assert.Equal(t, tt.accept, d.Accept)
			if !tt.accept {
				assert.NotEmpty(t, d.Reason)
				assert.Positive(t, d.RetryAfterMS)
			}
		})
	}
}

// Incoming capacity shortens the estimated wait: the peak of a demand phase is
// served by VMs that arrive within two seconds.
func TestDecideCountsIncomingCapacity(t *testing.T) {
	load := Load{WaitingWork: 48_000 * 4_000, CapacityMilliCPU: 48_000}
	ask := Request{CriticalPathMS: 900, SlackMS: 3_000}
	assert.False(t, Decide(load, ask).Accept)
	load.IncomingMilliCPU = 16 * 16_000
	assert.True(t, Decide(load, ask).Accept)
}

func TestRetryAfterGrowsWithLoad(t *testing.T) {
	ask := Request{CriticalPathMS: 900, SlackMS: 1_000}
	last := int64(0)
	for seconds := int64(1); seconds < 6; seconds++ {
		d := Decide(Load{WaitingWork: 100_000 * 1_000 * seconds, CapacityMilliCPU: 100_000}, ask)
		assert.False(t, d.Accept)
		assert.GreaterOrEqual(t, d.RetryAfterMS, last)
		last = d.RetryAfterMS
	}
}
