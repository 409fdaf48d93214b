package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testJob  = "00000000000000a1"
	testTask = testJob + ".0.0.0"
	nextTask = testJob + ".0.1.0"
)

// judged returns a judge that knows of an accepted job of two steps with one task
// each, and of two workers.
func judged(t *testing.T) *Judge {
	t.Helper()
	record, err := NewRecord(t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() { _ = record.Close() })
	j := NewJudge(record, NewCalm())
	j.WorkerUp("w1", "intake")
	j.WorkerUp("w2", "intake")
	j.Submitting(testJob, "node-1", "intake", NewJob(time.Second, 0, 1, 1))
	j.Submitted(testJob, "node-1", 200)
	return j
}

func start(j *Judge, worker, task string, run int) {
	j.RunStarted(Start{Worker: worker, Sender: "node-1", Token: 1, Task: task, Run: run, Spec: formatSpec(time.Second, 0)})
}

func cancel(j *Judge, status int) {
	time.Sleep(time.Millisecond)
	sent := time.Now()
	j.Cancelling(testJob, "node-2")
	j.Cancelled(testJob, "node-2", status, sent)
}

// The judge tells each breach, and nothing in the case that is like it and allowed.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		play       func(j *Judge)
	}{
		{"a start long after a cancel", ruleUnasked, func(j *Judge) {
			cancel(j, 410)
			time.Sleep(cancelTime + 2*judgeSlack)
			start(j, "w1", testTask, 1)
		}},
		{"a start soon after a cancel", "", func(j *Judge) {
			cancel(j, 200)
			time.Sleep(cancelTime / 2)
			start(j, "w1", testTask, 1)
		}},
		{"a cancel that was not acknowledged", "", func(j *Judge) {
			cancel(j, 504)
			time.Sleep(2 * cancelTime)
			start(j, "w1", testTask, 1)
		}},
		{"a cancel that waits too long for its acknowledgement", ruleUnasked, func(j *Judge) {
			start(j, "w1", testTask, 1)
			for range 4 {
				cancel(j, 503)
				time.Sleep(ackTime/3 + time.Millisecond)
			}
			j.Check()
			time.Sleep(2 * cancelTime)
			j.Check()
		}},
		{"a late start by a node that was frozen", "", func(j *Judge) {
			cancel(j, 200)
			end := j.calm.Begin("node-1")
			time.Sleep(2 * cancelTime)
			end()
			start(j, "w1", testTask, 1)
		}},
		{"a cancelled job that runs on", ruleUnasked, func(j *Judge) {
			start(j, "w1", testTask, 1)
			cancel(j, 410)
			time.Sleep(2 * cancelTime)
			j.Check()
		}},
		{"a cancelled job that runs on beside faults", "", func(j *Judge) {
			start(j, "w1", testTask, 1)
			cancel(j, 200)
			time.Sleep(2 * cancelTime)
			j.calm.Begin("w1")()
			time.Sleep(cancelTime / 2)
			j.Check()
		}},
		{"a task that nobody sent", ruleUnasked, func(j *Judge) { start(j, "w1", "00000000000000b2.0.0.0", 1) }},
		{"two runs at once", ruleTwice, func(j *Judge) {
			start(j, "w1", testTask, 1)
			start(j, "w2", testTask, 2)
		}},
		{"a run after one that was lost with its worker", "", func(j *Judge) {
			start(j, "w1", testTask, 1)
			j.WorkerDown("w1", false)
			start(j, "w2", testTask, 2)
		}},
		{"a start after an end that is noted later", ruleTwice, func(j *Judge) {
			start(j, "w1", testTask, 1)
			j.RunEnded("w1", testTask, 1, endDone)
			start(j, "w2", testTask, 2)
			j.EndAcked("w1", testTask, 1)
		}},
		{"a start after an end that is never noted", "", func(j *Judge) {
			start(j, "w1", testTask, 1)
			j.RunEnded("w1", testTask, 1, endDone)
			start(j, "w2", testTask, 2)
			j.RunEnded("w2", testTask, 2, endDone)
			j.EndAcked("w2", testTask, 2)
		}},
		{"a step before the one it depends on", ruleOrder, func(j *Judge) { start(j, "w1", nextTask, 1) }},
		{"completed too early", ruleMixed, func(j *Judge) {
			start(j, "w1", testTask, 1)
			j.RunEnded("w1", testTask, 1, endDone)
			j.Shown(testJob, "node-1", 200, "completed", time.Now())
		}},
		{"410 for an accepted job", ruleLost, func(j *Judge) {
			time.Sleep(visibleTime + time.Second)
			start(j, "w1", testTask, 1)
			j.Shown(testJob, "node-1", 410, "", time.Now())
		}},
		{"410 from a node that was frozen", "", func(j *Judge) {
			time.Sleep(visibleTime + time.Second)
			start(j, "w1", testTask, 1)
			j.calm.Begin("node-1")()
			j.Shown(testJob, "node-1", 410, "", time.Now())
		}},
		{"failed without failures", ruleLost, func(j *Judge) { j.Shown(testJob, "node-1", 200, "failed", time.Now()) }},
		{"failed after one worker crashed under its task", ruleLost, func(j *Judge) {
			start(j, "w1", testTask, 1)
			j.WorkerDown("w1", true)
			start(j, "w2", testTask, 2)
			j.WorkerDown("w2", false)
			j.Shown(testJob, "node-1", 200, "failed", time.Now())
		}},
		{"failed after two workers crashed under its task", "", func(j *Judge) {
			start(j, "w1", testTask, 1)
			j.WorkerDown("w1", true)
			start(j, "w2", testTask, 2)
			j.WorkerDown("w2", true)
			j.Shown(testJob, "node-1", 200, "failed", time.Now())
		}},
		{"cancelled without a cancel", ruleLost, func(j *Judge) { j.Shown(testJob, "node-1", 200, "cancelled", time.Now()) }},
		{"an idle job", ruleLost, func(j *Judge) {
			time.Sleep(calmBeforeIdle + idleTime + time.Second)
			j.Check()
		}},
		{"a job that runs", "", func(j *Judge) {
			start(j, "w1", testTask, 1)
			time.Sleep(calmBeforeIdle + idleTime + time.Second)
			j.Check()
		}},
		{"a refused job that starts", ruleRefused, func(j *Judge) {
			j.Submitting("00000000000000b2", "node-1", "intake", NewJob(time.Second, 0, 1))
			j.Submitted("00000000000000b2", "node-1", 503)
			start(j, "w1", "00000000000000b2.0.0.0", 1)
			j.Finish()
		}},
		{"a job that starts after an attempt without answer", "", func(j *Judge) {
			for _, status := range []int{503, 0} {
				j.Submitting("00000000000000b2", "node-1", "intake", NewJob(time.Second, 0, 1))
				j.Submitted("00000000000000b2", "node-1", status)
			}
			start(j, "w1", "00000000000000b2.0.0.0", 1)
			j.Finish()
		}},
		{"a worker with more than it holds", ruleLimit, func(j *Judge) {
			job := NewJob(time.Second, 0, 2)
			job.Steps[0].CPU = workerMilliCPU/2 + 1
			j.Submitting("00000000000000b2", "node-1", "intake", job)
			start(j, "w1", "00000000000000b2.0.0.0", 1)
			start(j, "w1", "00000000000000b2.0.0.1", 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := judged(t)
				c.play(j)
				var rules []string
				for _, v := range j.Violations() {
					rules = append(rules, v.Rule)
				}
				if c.rule == "" {
					assert.Empty(t, rules)
					return
				}
				assert.Equal(t, []string{c.rule}, rules)
			})
		})
	}
}
