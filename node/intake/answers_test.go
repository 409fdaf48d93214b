package intake

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"wigeonwinch/node/events"
)

// Load pattern: answers wait for callers that do not take them. What does not fit into their
// budget is not held, and the budget comes back with the last user.
func TestAnswersHaveABudget(t *testing.T) {
	limits := LimitsFor(0, 0)
	limits.AnswerBytes = 100
	gate := NewGate(limits, events.Discard{})
	first, second := gate.HoldAnswer(), gate.HoldAnswer()
	assert.True(t, first.Take(60))
	assert.False(t, second.Take(60))
	assert.True(t, second.Take(40))
	first.Keep()
	first.Release()
	assert.False(t, second.Take(1), "the caller has left, the run goes on")
	first.Release()
	assert.True(t, second.Take(60))
	second.Release()
	assert.Zero(t, gate.answers.Load())
	var none *AnswerHold
	none.Keep()
	assert.True(t, none.Take(1))
	none.Release()
}
