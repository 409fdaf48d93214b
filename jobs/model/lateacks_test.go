package model

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// restartedWorkers returns a world whose workers lose their power all the time and come back
// under their IDs, while polls are carried out seconds late, also by later lives.
func restartedWorkers(seed uint64) *World {
	o := troubledOwners(seed)
	o.DarkRestartIntervalMS, o.LatePollsAcrossRestarts, o.DelayedShare, o.StaleListShare = 700, true, 0.15, 0
	return longTasks(o)
}

// An acknowledgement that was held up reached the next life of the worker, which forgot the
// end of a run that its owner had not seen; the task ran again.
func TestLateAcknowledgements(t *testing.T) {
	for i := range *seeds {
		seed := uint64(i + 1)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := restartedWorkers(seed)
			require.Empty(t, w.Violations)
			require.Empty(t, w.Unfinished())
		})
	}
}
