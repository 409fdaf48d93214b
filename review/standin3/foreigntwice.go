package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["foreign-entry-load"] = playForeignEntryUnderLoad }

// playForeignEntryUnderLoad hands in small jobs all the time. Another writer replaces the
// entry of a worker from time to time; no task whose end was taken note of may run again.
func playForeignEntryUnderLoad(rec *record, program string) bool {
	c := newCluster(rec, program, []service{{name: "intake", path: "/lint/", workers: 4}, {name: "fire-desk", path: "/fire/", workers: 4}})
	defer c.close()
	const (
		jobEvery   = 40 * time.Millisecond
		entryEvery = 2500 * time.Millisecond
		first      = 5 * time.Second
		entries    = 28
		length     = first + entries*entryEvery
	)
	began := time.Now()
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; time.Since(began) < length; n++ {
			clients.Go(func() { c.submitOnce(fmt.Sprintf("/lint/%016x", 0x5c0e7a2100000000+n), n) })
			time.Sleep(jobEvery)
		}
	})
	for n := range entries {
		time.Sleep(time.Until(began.Add(first + time.Duration(n)*entryEvery)))
		if trouble {
			c.writeForeignEntry()
		}
	}
	clients.Wait()
	time.Sleep(6 * time.Second)
	c.judge.mu.Lock()
	defer c.judge.mu.Unlock()
	rec.printf("%d breaks of TWICE", len(c.judge.twice))
	return len(c.judge.twice) > 0
}

// submitOnce hands a job in until it is accepted, at most five times.
func (c *cluster) submitOnce(path string, n int) {
	job := map[string]any{"spec": fmt.Sprintf("work_ms=%d", 150+n*37%250), "steps": []map[string]any{{"count": 6, "cpu": 880, "mem_mb": 256, "estimate_ms": 300}}}
	for try := range 5 {
		if status, _ := c.call(c.nodes[(n+try)%len(c.nodes)], http.MethodPost, path, job); status/100 == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
