package wave

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// The list lags: a worker it lacks may be new or may still work.
func TestAWorkerTheListLacksFailsOnlyWithItsProbes(t *testing.T) {
	for name, c := range map[string]struct {
		seen Observation
		want structs.VMState
	}{
		"absent, well":          {Observation{Present: PresenceAbsent, ProbeOK: true}, 0},
		"absent, not probed":    {Observation{Present: PresenceAbsent}, 0},
		"absent, probes failed": {Observation{Present: PresenceAbsent, Failures: 3}, structs.VMFailed},
		"terminated":            {Observation{Present: PresenceTerminated, ProbeOK: true}, structs.VMFailed},
	} {
		t.Run(name, func(t *testing.T) {
			for _, state := range []structs.VMState{structs.VMActive, structs.VMProbation} {
				s := newScene(state)
				require.Equal(t, c.want, s.at(time.Second, c.seen, Context{}).To, state)
			}
		})
	}
}
