package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/room"
	"wigeonwinch/jobs/spec"
)

// advanceWithArbiter lets time pass while an arbiter hands out the caps. Each pass commits
// once, as an owner does. It returns the starts.
func (h *harness) advanceWithArbiter(a *room.Arbiter, passes int) (starts []Start, placed int) {
	for range passes {
		h.now += 50
		h.core.Advance(h.now, h.now)
		if report, ok := h.core.RoomReport(h.now, 1); ok {
			answer, err := a.Handle(h.now, report)
			require.NoError(h.t, err)
			h.core.ApplyRoom(report.Sequence, answer)
		}
		if batch, ok := h.core.NextBatch(); ok {
			h.core.HandleCommit(h.now, batch)
		}
		orders := h.core.TakeOrders()
		starts = append(starts, orders.Starts...)
		h.acceptStarts(orders.Starts)
		for _, e := range orders.Events {
			if e.Name == EventPlaced {
				placed++
			}
		}
	}
	return starts, placed
}

func newTestArbiter(version int64, milliCPU int) *room.Arbiter {
	a := room.NewArbiter(1, 0)
	a.SetCaps(version, room.Caps{"c": {MilliCPU: milliCPU}})
	a.SetRequired([]int{0})
	return a
}

func capped(milliCPU int) []customer.Customer {
	return []customer.Customer{{Name: "c", Weight: 1, Cap: spec.Resources{MilliCPU: milliCPU}}}
}

// A task above its customer's cap was placed in each pass and found above the cap just
// before its start: it never ran, and its placements were stored without end.
func TestTaskAboveItsCapRunsAlone(t *testing.T) {
	h := newHarness(t, 2)
	h.core.SetCustomers(1, capped(600))
	a := newTestArbiter(1, 600)
	s := testJob(1, smallStep(2))
	s.Customer = "c"
	h.core.Submit(h.now, 1, s)
	starts, placed := h.advanceWithArbiter(a, 60)
	assert.Len(t, starts, 1, "one at a time")
	assert.Equal(t, 1, placed)
}

// A gang that was accepted before its customer's cap was lowered waits until it is raised.
func TestGangAboveALoweredCapWaits(t *testing.T) {
	h := newHarness(t, 2)
	h.core.SetCustomers(1, capped(4_000))
	gang := smallStep(2)
	gang.Gang = true
	s := testJob(1, gang)
	s.Customer = "c"
	h.core.Submit(h.now, 1, s)
	h.core.SetCustomers(2, capped(1_500))
	a := newTestArbiter(2, 1_500)
	starts, placed := h.advanceWithArbiter(a, 40)
	assert.Empty(t, starts)
	assert.Zero(t, placed)
	h.core.SetCustomers(3, capped(4_000))
	a.SetCaps(3, room.Caps{"c": {MilliCPU: 4_000}})
	starts, _ = h.advanceWithArbiter(a, 60)
	require.Len(t, starts, 2)
}
