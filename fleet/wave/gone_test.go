package wave

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// The platform's list of VMs lags, so a VM that it does not contain may be new
// or still working. Such a VM is marked as failed only after its probes failed
// several times in a row.
func TestVMMissingFromListFailsOnlyAfterProbes(t *testing.T) {
	for name, c := range map[string]struct {
		obs  Observation
		want structs.VMState
	}{
		"absent, healthy":       {Observation{Presence: PresenceAbsent, ProbeOK: true}, 0},
		"absent, not probed":    {Observation{Presence: PresenceAbsent}, 0},
		"absent, probes failed": {Observation{Presence: PresenceAbsent, ConsecutiveFailures: 3}, structs.VMFailed},
		"terminated":            {Observation{Presence: PresenceTerminated, ProbeOK: true}, structs.VMFailed},
	} {
		t.Run(name, func(t *testing.T) {
			for _, state := range []structs.VMState{structs.VMActive, structs.VMProbation} {
				s := newHarness(state)
				require.Equal(t, c.want, s.step(time.Second, c.obs, Context{}).To, state)
			}
		})
	}
}
