package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

func TestOperatorsSeeJobsAndTheirTasks(t *testing.T) {
	b := newBench(t, 2)
	b.take(b.submit(jobOf(1, small(2), spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 500}, EstimateMS: 100, After: []int{0}})).Starts)
	b.now += 10
	b.submit(jobOf(2, spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 4_000}, EstimateMS: 100}))

	list := b.core.Jobs("q", 10)
	require.Len(t, list, 2)
	assert.Equal(t, jobOf(2).ID, list[0].ID, "the newest first")
	assert.Len(t, b.core.Jobs("q", 1), 1)
	assert.Empty(t, b.core.Jobs("other", 10))

	j, runs, ok := b.core.Job(jobOf(1).ID)
	require.True(t, ok)
	assert.Equal(t, 3, j.Tasks)
	assert.Equal(t, 2, j.Running)
	require.Len(t, runs, 3)
	assert.Equal(t, "running", runs[0].State)
	assert.NotEmpty(t, runs[0].Worker)
	assert.Equal(t, "waiting", runs[2].State)
	_, _, ok = b.core.Job("none")
	assert.False(t, ok)
}
