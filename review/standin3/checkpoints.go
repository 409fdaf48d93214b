package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["long-checkpoints"] = playLongCheckpoints }

// playLongCheckpoints hands in one job of many tasks whose checkpoints are as long as a path,
// and small jobs of two steps before and after it. All have to be done in the end.
func playLongCheckpoints(rec *record, program string) bool {
	c := newCluster(rec, program, []service{{name: "survey-desk", path: "/survey/", workers: 8}})
	defer c.close()
	saved := 200
	if !trouble {
		saved = 16
	}
	var mu sync.Mutex
	var accepted []string
	step := func(count, cpu int, work int64, after ...int) map[string]any {
		s := map[string]any{"count": count, "cpu": cpu, "mem_mb": 32, "estimate_ms": work}
		if len(after) > 0 {
			s["depends_on"] = after
		}
		return s
	}
	submit := func(n int) {
		id := fmt.Sprintf("%016x", 0x5c0e7a2100000000+n)
		job := map[string]any{"spec": "work_ms=850", "steps": []map[string]any{step(4, 500, 850), step(2, 500, 850, 0)}}
		for try := range 5 {
			if status, _ := c.call(c.nodes[(n+try)%len(c.nodes)], http.MethodPost, "/survey/"+id, job); status/100 == 2 {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	const large = "a1d94b36f85c0e72"
	began := time.Now()
	var clients sync.WaitGroup
	for n := 0; time.Since(began) < 20*time.Second; n++ {
		if n == 10 {
			big := step(1000, 20, 48_000)
			big["checkpointing"] = true
			c.submit("/survey/"+large, map[string]any{"spec": fmt.Sprintf("work_ms=8000 vary_ms=80000 saved=%d", saved), "steps": []map[string]any{big, big}})
			accepted = append(accepted, large)
		}
		clients.Go(func() { submit(n) })
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	// finish_s, and the 3 s for which a job may have nothing running.
	time.Sleep(14 * time.Second)
	open := c.judge.openJobs(accepted, 3*time.Second, func(id string) int {
		if id == large {
			return 2000
		}
		return 6
	})
	rec.printf("%d of %d accepted jobs are not done and have nothing running for 3 s: %v", len(open), len(accepted), open)
	for i, id := range open {
		if i < 3 {
			c.state(c.nodes[i], "/survey/"+id)
		}
	}
	return len(open) > 0
}

// openJobs returns the jobs of which fewer tasks have ended done than they have, and of which
// nothing has run for a time.
func (j *judge) openJobs(ids []string, idle time.Duration, tasks func(id string) int) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	done, busy := map[string]int{}, map[string]bool{}
	for task, list := range j.ends {
		id := task[:16]
		ended := false
		for _, e := range list {
			ended = ended || e.how == "done"
			busy[id] = busy[id] || time.Since(e.at) < idle
		}
		if ended {
			done[id]++
		}
	}
	for task, list := range j.running {
		busy[task[:16]] = busy[task[:16]] || len(list) > 0
	}
	var open []string
	for _, id := range ids {
		if done[id] < tasks(id) && !busy[id] {
			open = append(open, id)
		}
	}
	return open
}
