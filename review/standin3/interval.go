package main

import (
	"math"
	"time"
)

func init() { cases["long-interval"] = playLongInterval }

// playLongInterval hands in a job of two occurrences, the second of which is due after an
// interval that no clock reaches. It must not start.
func playLongInterval(rec *record, program string) bool {
	c := newCluster(rec, program, []service{{name: "intake", path: "/lint/", workers: 4}})
	defer c.close()
	const id = "5c0e7a21d94b36f8"
	interval := int64(3_600_000)
	if trouble {
		interval = math.MaxInt64
	}
	first := time.Now().Add(3 * time.Second)
	c.submit("/lint/"+id, map[string]any{"spec": "work_ms=850", "repeat_count": 2, "first_run_ms": first.UnixMilli(), "interval_ms": interval,
		"steps": []map[string]any{{"count": 2, "cpu": 880, "mem_mb": 256, "estimate_ms": 850}}})
	time.Sleep(time.Until(first) + 10*time.Second)
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	if len(c.judge.starts[id+".0.0.0"]) == 0 {
		fail("occurrence 0 has not started")
	}
	return len(c.judge.starts[id+".1.0.0"]) > 0
}
