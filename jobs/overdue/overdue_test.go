package overdue

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPollIsDueAfterTheExpectedEnd(t *testing.T) {
	assert.Equal(t, int64(1_000+1_500+graceMS), PollDue(Run{StartedAt: 1_000, ExpectedMS: 1_000}))
	assert.Equal(t, int64(1_000+1_500+graceMS), PollDue(Run{StartedAt: 1_000, ExpectedMS: 1_000, SeenAt: 2_000}), "seen before it was due")
}

// A straggler that takes seven times as long as expected is looked for a few times only.
func TestStragglersAreCheckedLessAndLessOften(t *testing.T) {
	r := Run{ExpectedMS: 1_000}
	checks := 0
	for due := PollDue(r); due < 7_000; due = PollDue(r) {
		r.SeenAt = due
		checks++
	}
	assert.Equal(t, 4, checks)
}
