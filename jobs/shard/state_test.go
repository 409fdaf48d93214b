package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// Load pattern: valid jobs of the largest kind come at once. They are refused at once when
// they fill half of their room, ordinary ones are still accepted, and the room comes back
// when the jobs are forgotten, also at a successor.
func TestJobsBeyondTheOwnersMemoryAreRefused(t *testing.T) {
	h := newHarness(t, 4)
	// The jobs have hardly any work, so that the pool would take them all.
	short := smallStep(spec.MaxTasksPerStep)
	short.EstimateMS = 0
	large := testJob(1, short, short)
	h.core.SetStateRoom(5 * stateBytes(&large))
	outcomes := map[Outcome]int{}
	submit := func(j spec.Job) {
		h.core.Submit(h.now, 1, j)
	}
	records := map[string][]byte{}
	for id := range 8 {
		j := large
		j.ID = testJob(id + 1).ID
		submit(j)
	}
	submit(testJob(100, spec.Step{Count: 1, Need: short.Need}))
	h.stepAndStore(1, records)
	for _, r := range h.core.TakeOrders().Replies {
		outcomes[r.Outcome]++
		if r.Outcome == Refused {
			assert.Equal(t, "owner_memory_full", r.Reason)
			assert.Positive(t, r.RetryAfterMS)
		}
	}
	assert.Equal(t, map[Outcome]int{Accepted: 3, Refused: 6}, outcomes, "first come, first served takes all 9")
	held := h.core.StateBytes()
	require.Positive(t, held)
	h.takeOver(records)
	assert.Equal(t, held, h.core.StateBytes(), "a successor counts what it restores")
	for id := range 2 {
		h.core.Cancel(h.now, 2, testJob(id+1).ID)
	}
	h.stepAndStore(1, records)
	h.stepAndStore(1_000+finalKeepMarginMS+1, records)
	assert.Less(t, h.core.StateBytes(), held-2*stateBytes(&large)+1)
}
