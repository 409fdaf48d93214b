package model

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// longJob returns a job of two steps of one task that takes ten seconds each.
func longJob(id string) spec.Job {
	st := spec.Step{Count: 1, EstimateMS: 10_000, Need: spec.Resources{MilliCPU: 1_000, MemoryMB: 100}}
	next := st
	next.After = []int{0}
	return spec.Job{ID: id, Queue: Queue, Steps: []spec.Step{st, next}}
}

// jobAtSuccessor returns a world in which the successor of an owner has accepted and
// started a job. The owner is cut off and does not know that it is deposed.
func jobAtSuccessor(t *testing.T) (*World, *owner, string) {
	t.Helper()
	w := New(Options{Seed: 1, Workers: 2, MilliCPU: 16_000, MemoryMB: 64_000, CutOffShare: 1})
	w.Run(1_000)
	w.takeover()
	require.Len(t, w.deposed, 1)
	old := w.deposed[0]
	old.cutOffUntil = w.now + maxCutOffMS
	j := longJob("000000000000000a")
	w.Submit(j)
	w.Run(1_500)
	require.True(t, w.groundTruth[j.ID].accepted)
	require.Equal(t, 1, w.StartedRuns)
	return w, old, j.ID
}

// A deposed owner replied to the cancel of a job that its successor had accepted
// that the job was unknown, which callers take for an acknowledgement: the job ran
// on.
func TestCancelAtDeposedOwnerOfJobOfItsSuccessor(t *testing.T) {
	w, old, id := jobAtSuccessor(t)
	w.cancelAt(old, id)
	w.Run(20_000)
	assert.Empty(t, w.Violations)
	assert.Zero(t, w.RunsOfCancelledJobs())
	assert.Equal(t, spec.Cancelled, w.JobStatus(id).State)
}

// A deposed owner reported that a job was unknown that its successor had accepted.
func TestStatusAtDeposedOwnerOfJobOfItsSuccessor(t *testing.T) {
	w, old, id := jobAtSuccessor(t)
	w.showAt(old, id)
	w.Run(20_000)
	assert.Empty(t, w.Violations)
}

// A deposed owner acknowledged a cancel that the store had refused.
func TestCancelAtDeposedOwnerOfItsOwnJob(t *testing.T) {
	w := New(Options{Seed: 1, Workers: 2, MilliCPU: 16_000, MemoryMB: 64_000, CutOffShare: 1})
	j := longJob("000000000000000b")
	w.Submit(j)
	w.Run(1_000)
	w.takeover()
	require.Len(t, w.deposed, 1)
	w.cancelAt(w.deposed[0], j.ID)
	w.Run(1_000 + cancelRetryMS - 1)
	assert.Zero(t, w.groundTruth[j.ID].cancelledAt)
	w.Run(20_000)
	assert.Empty(t, w.Violations)
	assert.Zero(t, w.RunsOfCancelledJobs())
	assert.Equal(t, spec.Cancelled, w.JobStatus(j.ID).State)
}

// The run of a cancelled job ran on after a takeover during or after the append of the
// cancel: the successor did not know it. Before the append the successor may start
// the task once more.
func TestCancelBeforeTakeover(t *testing.T) {
	for _, afterMS := range []int64{0, 1, 3, 5, 6, 7, 8, 20, 200} {
		w := New(Options{Seed: 1, Workers: 2, MilliCPU: 16_000, MemoryMB: 64_000})
		j := longJob("000000000000000c")
		w.Submit(j)
		w.Run(1_000)
		require.Equal(t, 1, w.StartedRuns)
		w.Cancel(j.ID)
		w.Run(1_000 + afterMS)
		w.takeover()
		w.Run(20_000)
		assert.Empty(t, w.Violations, afterMS)
		assert.NotZero(t, w.groundTruth[j.ID].cancelledAt, afterMS)
		assert.Zero(t, w.RunsOfCancelledJobs(), afterMS)
		if afterMS >= appendMS {
			assert.Equal(t, 1, w.StartedRuns, afterMS)
		}
	}
}

// A cancel that came while its job's acceptance, its placement or its start was
// under way left a run behind.
func TestPromptCancel(t *testing.T) {
	for afterMS := range int64(40) {
		w := New(Options{Seed: 1, Workers: 2, MilliCPU: 16_000, MemoryMB: 64_000})
		w.Run(1_000)
		j := longJob("000000000000000d")
		w.Submit(j)
		w.Run(1_000 + afterMS)
		w.Cancel(j.ID)
		w.Run(1_000 + afterMS + maxRunAfterCancelMS)
		assert.Empty(t, w.Violations, afterMS)
		assert.NotZero(t, w.groundTruth[j.ID].cancelledAt, afterMS)
		assert.Zero(t, w.RunsOfCancelledJobs(), afterMS)
		w.Run(20_000)
		assert.LessOrEqual(t, w.StartedRuns, 1, afterMS)
		assert.Empty(t, w.Violations, afterMS)
	}
}
