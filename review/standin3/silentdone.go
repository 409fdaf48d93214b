package main

import (
	"fmt"
	"time"
)

func init() { cases["silent-connections-done"] = playSilentDone }

// playSilentDone makes the open connections to the workers silent for good, once, a few
// seconds before the tasks of a job end; new ones work. No task that has ended done may run
// again, if its end counts as taken note of.
func playSilentDone(rec *record, program string) bool {
	c := newCluster(rec, program, []service{{name: "intake", path: "/lint/", workers: 4}, {name: "fire-desk", path: "/fire/", workers: 4}})
	defer c.close()
	c.judge.listedCounts = true
	const (
		id, tasks = "5c0e7a21d94b36f8", 48
		// work is how long the tasks work, silentBefore how long before their end the
		// connections go silent: a second longer than contact_ms.
		work, silentBefore = 12 * time.Second, 4000 * time.Millisecond
	)
	c.submit("/lint/"+id, map[string]any{"spec": fmt.Sprintf("work_ms=%d", work.Milliseconds()), "steps": []map[string]any{
		{"count": tasks, "cpu": 1200, "mem_mb": 256, "estimate_ms": work.Milliseconds()}}})
	time.Sleep(work - silentBefore)
	if trouble {
		n := 0
		for _, w := range c.workers() {
			n += w.gate.silence()
		}
		c.judge.disturbed()
		rec.printf("%d open connections to workers go silent; new ones work", n)
	}
	time.Sleep(silentBefore + 30*time.Second)
	c.state(c.nodes[0], "/lint/"+id)
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	rec.printf("%d breaks of TWICE", len(c.judge.twice))
	return len(c.judge.twice) > 0
}
