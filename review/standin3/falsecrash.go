package main

import "time"

func init() { cases["false-crash"] = playFalseCrash }

// playFalseCrash cuts the worker on which a task runs off, again and again: its connections
// are reset, it runs on and comes back. No worker crashes and no run ends failed, so that the
// job must not be shown as failed.
func playFalseCrash(rec *record, program string) bool {
	const (
		id = "5c0e7a21d94b36f8"
		// cutTime is how long a worker is cut off, as in the site's list of troubles.
		cutTime  = 5500 * time.Millisecond
		runFirst = 1500 * time.Millisecond
		limit    = 100 * time.Second
	)
	c := newCluster(rec, program, []service{{"survey-desk", "/survey/", 12}})
	defer c.close()
	path := "/survey/" + id
	c.submit(path, map[string]any{"spec": "work_ms=90000", "steps": []map[string]any{{"count": 1, "cpu": 1900, "mem_mb": 256, "estimate_ms": 90_000}}})
	cuts := 0
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		if w, r := c.findRun(id + ".0.0.0"); trouble && w != nil && time.Since(r.startedAt) > runFirst {
			cuts++
			rec.printf("cut %d: %s is cut off, its connections are reset; it runs on", cuts, w.id)
			w.gate.setCut(true)
			time.Sleep(cutTime)
			w.gate.setCut(false)
			rec.printf("cut %d is over", cuts)
			time.Sleep(time.Second)
		}
		if time.Since(began) > 0 && !trouble {
			time.Sleep(2 * time.Second)
		}
		switch c.state(c.nodes[cuts%len(c.nodes)], path) {
		case "failed":
			return !c.judge.hasFailedEnd()
		case "completed":
			return false
		}
	}
	return false
}

// hasFailedEnd reports whether a run has ended failed.
func (j *judge) hasFailedEnd() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, list := range j.ends {
		for _, e := range list {
			if e.how == "failed" {
				return true
			}
		}
	}
	return false
}
