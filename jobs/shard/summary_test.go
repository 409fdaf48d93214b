package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

func TestJobAndJobsSummaries(t *testing.T) {
	h := newHarness(t, 2)
	h.acceptStarts(h.submit(testJob(1, smallStep(2), spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 500}, EstimateMS: 100, After: []int{0}})).Starts)
	h.now += 10
	h.submit(testJob(2, spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 4_000}, EstimateMS: 100}))

	list := h.core.Jobs("q", 10)
	require.Len(t, list, 2)
	assert.Equal(t, testJob(2).ID, list[0].ID, "the newest job is first")
	assert.Len(t, h.core.Jobs("q", 1), 1)
	assert.Empty(t, h.core.Jobs("other", 10))

	j, runs, ok := h.core.Job(testJob(1).ID)
	require.True(t, ok)
	assert.Equal(t, 3, j.Tasks)
	assert.Equal(t, 2, j.Running)
	require.Len(t, runs, 3)
	assert.Equal(t, "running", runs[0].State)
	assert.NotEmpty(t, runs[0].Worker)
	assert.Equal(t, "waiting", runs[2].State)
	_, _, ok = h.core.Job("none")
	assert.False(t, ok)
}

// The tasks of a job are shown through other nodes, which read a bounded number of them. With
// many occurrences whose last task is at work, the tasks that are done are left out.
func TestTasksOfAWideJobCanBeShown(t *testing.T) {
	h := newHarness(t, 1)
	j := h.core.newJob(overdueJob(1, 1<<40, smallStep(1_000)), h.core.queues["q"], h.now)
	j.stored = true
	h.core.jobs[j.spec.ID] = j
	for range 40 {
		h.core.openNextOccurrences(j)
		for _, o := range j.occurrences {
			for t := 1; t < len(o.steps[0].tasks); t++ {
				o.steps[0].tasks[t].done = true
			}
			o.steps[0].openTasks, o.openTasks = 1, 1
		}
	}
	require.Greater(t, len(j.occurrences), 10)
	summary, runs, ok := h.core.Job(j.spec.ID)
	require.True(t, ok)
	assert.Equal(t, len(j.occurrences)*1_000, summary.Tasks)
	assert.Len(t, runs, len(j.occurrences))
	for _, r := range runs {
		assert.Equal(t, "waiting", r.State)
	}
}
