package main

import "time"

func init() { cases["false-crash"] = playFalseCrash }

// playFalseCrash cuts two workers off at the same time, again and again, as a switch does that
// fails now and then: their connections are reset, they run on and come back. They are the
// only ones of their kind, which a job requires. No worker crashes and no run ends failed, so
// that the job must not be shown as failed.
func playFalseCrash(rec *record, program string) bool {
	const (
		id = "5c0e7a21d94b36f8"
		// cutTime is how long the workers are cut off, as in the site's list of troubles.
		cutTime = 5500 * time.Millisecond
		upTime  = 2 * time.Second
		limit   = 104 * time.Second
	)
	c := newCluster(rec, program, []service{{name: "survey-desk", path: "/survey/", workers: 12, special: 2}})
	defer c.close()
	path := "/survey/" + id
	began := time.Now()
	c.submit(path, map[string]any{"spec": "work_ms=120000", "steps": []map[string]any{
		{"count": 2, "cpu": 1900, "mem_mb": 256, "estimate_ms": 120_000, "requirements": "b", "anti_affinity": 1}}})
	for cuts := 0; time.Since(began) < limit; {
		time.Sleep(upTime)
		if trouble {
			cuts++
			c.cutSpecial(true)
			rec.printf("cut %d: the workers of kind b are cut off, their connections are reset; they run on", cuts)
		}
		time.Sleep(cutTime)
		if trouble {
			c.cutSpecial(false)
			rec.printf("cut %d is over", cuts)
		}
		switch c.state(c.nodes[cuts%len(c.nodes)], path) {
		case "failed":
			return !c.judge.hasFailedEnd()
		case "completed":
			fail("the job was completed before its time")
		}
	}
	return false
}

// cutSpecial begins or ends a cut of the workers of kind "b".
func (c *cluster) cutSpecial(cut bool) {
	for _, w := range c.workers() {
		if w.kind == "b" {
			w.gate.setCut(cut)
		}
	}
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
