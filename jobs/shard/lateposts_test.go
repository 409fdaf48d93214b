package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A submission was held up in a node that was suspended. Its caller got no answer and
// cancelled the job at another node, which found none; the job ran when the node went
// on.
func TestCancelTakesEffectOnALateSubmission(t *testing.T) {
	h := newHarness(t, 1)
	h.step(1)
	h.core.TakeOrders()
	j := testJob(1, smallStep(1))
	h.core.Cancel(h.now, 2, j.ID)
	h.step(1)
	require.Equal(t, []Reply{{Ticket: 2, Outcome: Unknown}}, h.core.TakeOrders().Replies)
	assert.Empty(t, h.submit(j).Starts, "its cancel was acknowledged")
}
