package place

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRate(t *testing.T) {
	base := Candidate{FreeMilliCPU: 8_000, NeedMilliCPU: 1_000, NearData: true}
	with := func(change func(*Candidate)) Score {
		c := base
		change(&c)
		return Rate(c)
	}
	assert.True(t, with(func(c *Candidate) { c.FreeMilliCPU = 2_000 }).Better(Rate(base)), "the tighter fit")
	assert.True(t, Rate(base).Better(with(func(c *Candidate) { c.NearData = false })), "near the data")
	assert.True(t, Rate(base).Better(with(func(c *Candidate) { c.Failing = true })), "a sound worker")
	assert.True(t, Rate(base).Better(with(func(c *Candidate) { c.Avoid = true })), "not where the last run failed")
	assert.True(t, with(func(c *Candidate) { c.Filler = true }).Better(with(func(c *Candidate) { c.Filler = true; c.Serving = 1 })), "fillers away from serving tasks")
	assert.True(t, with(func(c *Candidate) { c.Lasting, c.HasLasting = true, true }).Better(with(func(c *Candidate) { c.Lasting = true })), "lasting tasks together")
}
