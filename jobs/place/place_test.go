package place

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScoreCandidate(t *testing.T) {
	base := Candidate{FreeMilliCPU: 8_000, NeedMilliCPU: 1_000, DataLocal: true}
	with := func(change func(*Candidate)) Score {
		c := base
		change(&c)
		return ScoreCandidate(c)
	}
	assert.True(t, with(func(c *Candidate) { c.FreeMilliCPU = 2_000 }).Better(ScoreCandidate(base)), "the tighter fit is preferred")
	assert.True(t, ScoreCandidate(base).Better(with(func(c *Candidate) { c.DataLocal = false })), "a worker near the data is preferred")
	assert.True(t, ScoreCandidate(base).Better(with(func(c *Candidate) { c.WorkerFailing = true })), "a healthy worker is preferred")
	assert.True(t, ScoreCandidate(base).Better(with(func(c *Candidate) { c.FailedHere = true })), "the worker of the last failed run is avoided")
	assert.True(t, with(func(c *Candidate) { c.Filler = true }).Better(with(func(c *Candidate) { c.Filler = true; c.ServingTasks = 1 })), "fillers avoid workers with serving tasks")
	assert.True(t, with(func(c *Candidate) { c.Lasting, c.HasLastingTasks = true, true }).Better(with(func(c *Candidate) { c.Lasting = true })), "lasting tasks are packed together")
}
