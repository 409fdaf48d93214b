package shard

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
	"wigeonwinch/jobs/suspect"
)

// The platform's limit for one record.
const storeRecordBytes = 262_144

// overdueJob returns a job whose occurrences are all due.
func overdueJob(id, occurrences int, steps ...spec.Step) spec.Job {
	j := testJob(id, steps...)
	j.Repeat, j.FirstRunMS, j.IntervalMS = occurrences, 0, 0
	return j
}

// takeOver replaces the owner by one that restores the stored records.
func (h *harness) takeOver(records map[string][]byte) {
	epoch := h.core.cfg.Epoch + 1
	h.core = New(Config{Epoch: epoch, MaxLeaseMS: 6_000, StatusKeepMS: 1_000}, h.now, h.now)
	h.core.SetOwnershipDeadlines(forever, forever)
	for key, value := range records {
		require.NoError(h.t, h.core.Restore(Record{Key: key, Value: value}))
	}
	h.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
}

// stepAndStore is step, and keeps the stored records.
func (h *harness) stepAndStore(ms int64, records map[string][]byte) {
	h.now += ms
	h.core.Advance(h.now, h.now)
	for {
		batch, ok := h.core.NextBatch()
		if !ok {
			return
		}
		for _, r := range batch.Records {
			records[r.Key] = r.Value
			require.LessOrEqual(h.t, len(r.Value), storeRecordBytes)
		}
		h.core.HandleCommit(h.now, batch)
		h.core.Advance(h.now, h.now)
	}
}

// An accepted job with 9,000 due occurrences was stored in a record that no owner could
// read. The next owner went on without the job, and callers were told that it does not
// exist.
func TestJobWithManyDueOccurrencesOutlivesTakeover(t *testing.T) {
	h := newHarness(t, 4)
	records := map[string][]byte{}
	j := overdueJob(1, 9_000, smallStep(1))
	h.core.Submit(h.now, 1, j)
	h.stepAndStore(1, records)
	starts := h.core.TakeOrders().Starts
	require.Len(t, starts, 16)
	h.acceptStarts(starts)
	h.stepAndStore(1, records)

	h.takeOver(records)
	assert.Equal(t, JobStatus{State: spec.Running, Known: true}, h.core.JobStatus(j.ID))
}

// A record that an earlier version wrote with all of its occurrences open is read.
func TestRecordWithManyOpenOccurrencesIsRead(t *testing.T) {
	const occurrences = 9_000
	h := newHarness(t, 4)
	j := h.core.newJob(overdueJob(1, occurrences, smallStep(1)), h.core.queues["q"], h.now)
	for n := range occurrences {
		j.occurrences[n] = newOccurrence(&j.spec, n)
	}
	j.nextOccurrence = occurrences
	rec, err := h.core.encodeJob(j)
	require.NoError(t, err)
	h.takeOver(map[string][]byte{rec.Key: rec.Value})
	assert.True(t, h.core.JobStatus(j.spec.ID).Known)
	assert.Len(t, h.core.jobs[j.spec.ID].occurrences, occurrences)
}

// All occurrences of a job that is far behind are run, oldest first, and its record stays
// below the store's limit throughout.
func TestOverdueOccurrencesAreOpenedAsOthersEnd(t *testing.T) {
	const occurrences = 25_000
	h := newHarness(t, 0)
	list := testWorkers(1)
	list[0].Capacity.MilliCPU, list[0].Capacity.MemoryMB = 1_000_000, 1_000_000
	h.core.SetWorkers(h.now, list)
	h.step(1)
	target := h.core.TakeOrders().Polls[0].Target
	h.core.HandlePollResponse(h.now, h.now, target, PollResponse{ClockMS: 100, Incarnation: 1})

	records := map[string][]byte{}
	j := overdueJob(1, occurrences, spec.Step{Count: 1, Need: spec.Resources{MilliCPU: 1_000, MemoryMB: 1}, EstimateMS: 500})
	h.core.Submit(h.now, 1, j)
	h.stepAndStore(1, records)
	next, end := 0, 0
	for range occurrences/1_000 + 1 {
		starts := h.core.TakeOrders().Starts
		h.acceptStarts(starts)
		var ends []ListedEnd
		for _, s := range starts {
			require.Equal(t, next, s.Key.Occurrence)
			next++
			end++
			ends = append(ends, ListedEnd{End: end, RunRef: s.RunRef, Kind: EndDone})
		}
		h.core.HandlePollResponse(h.now, h.now, target, PollResponse{ClockMS: 100 + h.now, Incarnation: 1, Ended: ends})
		h.stepAndStore(10, records)
	}
	assert.Equal(t, occurrences, next)
	assert.Equal(t, spec.Completed, h.core.JobStatus(j.ID).State)
}

// A job may have any number of occurrences that are due at once.
func TestOpenOccurrencesOfAnEndlessJobAreBounded(t *testing.T) {
	h := newHarness(t, 4)
	records := map[string][]byte{}
	j := overdueJob(1, 1<<40, smallStep(1))
	h.core.Submit(h.now, 1, j)
	h.stepAndStore(1, records)
	assert.Len(t, h.core.TakeOrders().Starts, 16)
	assert.LessOrEqual(t, len(h.core.jobs[j.ID].occurrences), 3_000)
	h.takeOver(records)
	assert.True(t, h.core.JobStatus(j.ID).Known)
}

// Occurrences overlap: one with its last task still at work does not hold up the next one.
func TestWideOccurrencesOverlap(t *testing.T) {
	h := newHarness(t, 4)
	j := h.core.newJob(overdueJob(1, 10, smallStep(1_000), smallStep(1_000)), h.core.queues["q"], h.now)
	h.core.openNextOccurrences(j)
	require.Len(t, j.occurrences, 1)
	j.occurrences[0].openTasks = 1
	h.core.openNextOccurrences(j)
	assert.Len(t, j.occurrences, 2)
}

// An occurrence that waited for earlier ones does not make its job younger: the job would
// go ahead of others for as long as it is behind.
func TestJobThatIsBehindKeepsItsDeadline(t *testing.T) {
	h := newHarness(t, 4)
	j := h.core.newJob(overdueJob(1, 10_000, smallStep(1)), h.core.queues["q"], h.now)
	h.core.openNextOccurrences(j)
	deadline, opened := j.deadline, j.nextOccurrence
	h.core.now += 5_000
	delete(j.occurrences, 0)
	h.core.openNextOccurrences(j)
	assert.Equal(t, opened+1, j.nextOccurrence)
	assert.Equal(t, deadline, j.deadline)
}

// fillRecord lets all tasks of the open occurrences be at work, with checkpoints and a part
// in crashes.
func fillRecord(c *Core, j *job) {
	i := 0
	for _, o := range j.occurrences {
		for s := range o.steps {
			for t := range o.steps[s].tasks {
				w := c.ensureWorker(fmt.Sprintf("worker-with-a-long-id-%03d", i%350), 1_800_000_000_000)
				w.info.VM = fmt.Sprintf("vm-with-a-longer-name-%03d", i%350)
				tk := &o.steps[s].tasks[t]
				tk.lastRun, tk.lastEnded, tk.failures, tk.checkpoint = 60_000, 60_000, 20, "0123456789abcdef"
				tk.history = suspect.History{Crashes: 4, Prompt: 3, Suspicions: 2, Immediate: 2}
				tk.current = &run{worker: w}
				i++
			}
		}
	}
}

// longestJob returns a valid job with the longest record of its kind.
func longestJob(occurrences, steps, tasks int) spec.Job {
	j := overdueJob(1, occurrences)
	j.FirstRunMS, j.Payload = 1_700_000_000_000, strings.Repeat("x", spec.MaxPayloadBytes)
	for s := range steps {
		st := spec.Step{Count: tasks, Need: spec.Resources{MilliCPU: 30_000, MemoryMB: 100_000, GPUs: 8}, EstimateMS: 100_000, MaxPerWorker: 1_000,
			OneRack: true, Copies: true, Checkpoints: true, TailTargetMS: 10_000, MaxUnavailable: 1_000, HasMaxUnavailable: true,
			Label: strings.Repeat("l", 80), DataRack: strings.Repeat("r", 80), Image: strings.Repeat("i", 90)}
		for d := range s {
			st.After = append(st.After, d)
		}
		j.Steps = append(j.Steps, st)
	}
	return j
}

// The record of each valid job fits into a record of the store and can be read, whatever
// its tasks do. A record that does not would stop its shard, or lose its job.
func TestLongestRecordsCanBeStoredAndRead(t *testing.T) {
	cases := map[string]spec.Job{
		"many short occurrences":      longestJob(1<<40, 1, 1),
		"several steps":               longestJob(1<<40, 8, 3),
		"the largest occurrence":      longestJob(1<<40, 1, spec.MaxTasksPerStep),
		"all steps, wide":             longestJob(1<<40, spec.MaxSteps, spec.MaxTasks/spec.MaxSteps),
		"all steps, narrow":           longestJob(1<<40, spec.MaxSteps, 1),
		"without times, all tasks":    longestJob(0, spec.MaxSteps, spec.MaxTasks/spec.MaxSteps),
		"two steps of the most tasks": longestJob(1<<40, 2, spec.MaxTasksPerStep),
	}
	for name, s := range cases {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, s.Validate())
			h := newHarness(t, 1)
			j := h.core.newJob(s, h.core.queues["q"], h.now)
			j.nextOccurrence, h.core.wallMS = 1<<30, j.spec.FirstRunMS
			if s.Repeat == 0 {
				h.core.openOccurrence(j, 0)
			} else {
				h.core.openNextOccurrences(j)
			}
			require.NotEmpty(t, j.occurrences)
			fillRecord(h.core, j)
			rec, err := h.core.encodeJob(j)
			require.NoError(t, err)
			assert.LessOrEqual(t, len(rec.Key)+len(rec.Value), storeRecordBytes)
			h.takeOver(map[string][]byte{rec.Key: rec.Value})
			assert.True(t, h.core.JobStatus(s.ID).Known)
		})
	}
}
