package main

import "time"

func init() { cases["silent-connections"] = playSilentConnections }

// playSilentConnections makes the open connections to the workers silent for good, once;
// new ones work. Tasks that last must stay at work, but for may_miss of them.
func playSilentConnections(rec *record, program string) bool {
	c := newCluster(rec, program, []service{{name: "intake", path: "/lint/", workers: 4}, {name: "fire-desk", path: "/fire/", workers: 4}})
	defer c.close()
	const id, tasks, mayMiss = "5c0e7a21d94b36f8", 8, 1
	c.judge.mayMiss[id+".0.0"] = mayMiss
	c.submit("/lint/"+id, map[string]any{"spec": "lasts", "steps": []map[string]any{
		{"count": tasks, "cpu": 2000, "mem_mb": 256, "estimate_ms": 700, "long_running": true, "may_miss": mayMiss, "image": "sync"}}})
	c.awaitAtWork(id, tasks)
	time.Sleep(8 * time.Second)
	if trouble {
		n := 0
		for _, w := range c.workers() {
			n += w.gate.silence()
		}
		c.judge.disturbed()
		rec.printf("%d open connections to workers go silent; new ones work", n)
	}
	time.Sleep(20 * time.Second)
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	rec.printf("%d breaks of AVAIL", len(c.judge.violations))
	return len(c.judge.violations) > 0
}
