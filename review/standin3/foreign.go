package main

import (
	"fmt"
	"hash/fnv"
	"time"
)

func init() { cases["foreign-entry"] = playForeignEntry }

// shardOf is the partition that holds the jobs of a service.
func shardOf(service string) uint32 {
	f := fnv.New32a()
	_, _ = f.Write([]byte(service))
	return f.Sum32() % storeParts
}

// playForeignEntry lets another writer replace a worker's entry by one with a service that
// the configuration does not name. The worker itself writes its entry again at its next
// heartbeat. Tasks that last must stay at work, but for may_miss of them.
func playForeignEntry(rec *record, program string) bool {
	c := newCluster(rec, program, []service{{name: "intake", path: "/lint/", workers: 4}, {name: "fire-desk", path: "/fire/", workers: 4}})
	defer c.close()
	const id, tasks, mayMiss = "5c0e7a21d94b36f8", 8, 1
	c.judge.mayMiss[id+".0.0"] = mayMiss
	c.submit("/lint/"+id, map[string]any{"spec": "lasts", "steps": []map[string]any{
		{"count": tasks, "cpu": 2000, "mem_mb": 256, "estimate_ms": 700, "long_running": true, "may_miss": mayMiss, "image": "sync"}}})
	c.awaitAtWork(id, tasks)
	// A long calm stretch before the disruption.
	time.Sleep(8 * time.Second)
	if trouble {
		c.writeForeignEntry()
	}
	time.Sleep(12 * time.Second)
	rec.printf("%d breaks of AVAIL", len(c.judge.violations))
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	return len(c.judge.violations) > 0
}

// awaitAtWork waits until all tasks of the first step of a job are at work.
func (c *cluster) awaitAtWork(id string, tasks int) {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		c.judge.mu.Lock()
		started := 0
		for i := range tasks {
			if len(c.judge.starts[fmt.Sprintf("%s.0.0.%d", id, i)]) > 0 {
				started++
			}
		}
		done := started == tasks && len(c.judge.away) == 0
		c.judge.mu.Unlock()
		if done {
			return
		}
	}
	fail("the tasks that last were not all at work within 30 s")
}

// writeForeignEntry replaces the entry of the worker with most tasks.
func (c *cluster) writeForeignEntry() {
	var target *worker
	most := 0
	for _, w := range c.workers() {
		w.mu.Lock()
		if n := len(w.runs); n > most && w.service != "fire-desk" {
			target, most = w, n
		}
		w.mu.Unlock()
	}
	if target == nil {
		fail("no worker runs a task")
	}
	name := ""
	for i := 0; name == "" || shardOf(name) != shardOf("fire-desk"); i++ {
		name = fmt.Sprintf("legacy-%d", i)
	}
	target.mu.Lock()
	entry := target.entry()
	target.mu.Unlock()
	entry["service"] = name
	c.record.printf("another writer: the entry of %s (%d tasks run there) names the service %q", target.id, most, name)
	c.store.put(topicWorkers, target.id, entry)
}
