package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unreadableRecords returns records of jobs that this program can't read.
func unreadableRecords(t *testing.T) map[string][]byte {
	newer, err := encMode.Marshal(jobRecord{Version: recordVersion + 1, Job: testJob(1)})
	require.NoError(t, err)
	return map[string][]byte{"damaged": {0xff, 0x00}, "of a newer version": newer}
}

// An owner that can't read the record of a job left the job out, and then proved to callers
// that there is no such job.
func TestUnreadableJobIsNotDenied(t *testing.T) {
	ask := map[string]func(c *Core, now int64, id string){
		"show":   func(c *Core, now int64, id string) { c.Lookup(now, 7, id) },
		"cancel": func(c *Core, now int64, id string) { c.Cancel(now, 7, id) },
		"yield":  func(c *Core, now int64, id string) { c.Yield(now, 7, id) },
		"submit": func(c *Core, now int64, _ string) { c.Submit(now, 7, testJob(1, smallStep(1))) },
	}
	for damage, value := range unreadableRecords(t) {
		for name, do := range ask {
			t.Run(damage+"/"+name, func(t *testing.T) {
				h := newHarness(t, 1)
				require.Error(t, h.core.Restore(Record{Key: jobKey(testJob(1).ID), Value: value}))
				do(h.core, h.now, testJob(1).ID)
				h.step(1)
				o := h.core.TakeOrders()
				assert.Equal(t, []Reply{{Ticket: 7, Outcome: Unavailable, Reason: "record_unreadable"}}, o.Replies)
				assert.Empty(t, o.Starts)
			})
		}
	}
}

// The record stays in the store for a program that can read it.
func TestUnreadableRecordIsKept(t *testing.T) {
	for damage, value := range unreadableRecords(t) {
		t.Run(damage, func(t *testing.T) {
			h := newHarness(t, 1)
			require.Error(t, h.core.Restore(Record{Key: jobKey(testJob(1).ID), Value: value}))
			h.core.Submit(h.now, 1, testJob(1, smallStep(1)))
			h.core.Submit(h.now, 2, testJob(2, smallStep(1)))
			records := map[string][]byte{}
			h.stepAndStore(1, records)
			h.stepAndStore(1_000+finalKeepMarginMS+1, records)
			assert.NotContains(t, records, jobKey(testJob(1).ID))
			assert.Contains(t, records, jobKey(testJob(2).ID))
		})
	}
}
