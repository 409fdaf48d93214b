package main

import (
	"strings"
	"sync"
	"time"
)

// judge notes what workers run.
type judge struct {
	c  *cluster
	mu sync.Mutex
	// starts and ends list what happened to each task.
	starts map[string][]startSeen
	ends   map[string][]endSeen
	// away holds the lasting tasks that are not at work, since when and why.
	away map[string]awayTask
	// violations are breaks of AVAIL, by the job's ID.
	violations []string
	mayMiss    map[string]int
}

type startSeen struct {
	at     time.Time
	worker string
	run    int
	token  int64
}

type endSeen struct {
	at     time.Time
	worker string
	run    int
	how    string
}

type awayTask struct {
	since   time.Time
	ordered bool
}

func newJudge(c *cluster) *judge {
	return &judge{c: c, starts: map[string][]startSeen{}, ends: map[string][]endSeen{}, away: map[string]awayTask{}, mayMiss: map[string]int{}}
}

// stepOf returns ID.K.STEP of the task ID.K.STEP.INDEX.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (j *judge) runStarted(w *worker, r *run, o order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.c.record.printf("worker %s (%s): starts %s run %d, token %d", w.id, w.service, r.task, r.number, o.Token)
	j.starts[r.task] = append(j.starts[r.task], startSeen{time.Now(), w.id, r.number, o.Token})
	if !r.lasts {
		return
	}
	if _, ok := j.away[r.task]; !ok {
		j.away[r.task] = awayTask{since: time.Now()}
	}
	time.AfterFunc(startup, func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		if list := j.ends[r.task]; len(list) == 0 || list[len(list)-1].run < r.number {
			j.c.record.printf("worker %s: %s run %d is at work", w.id, r.task, r.number)
			delete(j.away, r.task)
		}
	})
}

// runEnded notes an end. A stop ends a lasting task that was at work as AVAIL has it: not
// while as many others of its step are away as may be.
func (j *judge) runEnded(w *worker, r *run, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.c.record.printf("worker %s (%s): %s run %d ends %s", w.id, w.service, r.task, r.number, how)
	j.ends[r.task] = append(j.ends[r.task], endSeen{time.Now(), w.id, r.number, how})
	if !r.lasts {
		return
	}
	_, wasAway := j.away[r.task]
	limit, limited := j.mayMiss[stepOf(r.task)]
	if how == "stopped" && !wasAway && limited {
		others := 0
		for task, a := range j.away {
			if stepOf(task) == stepOf(r.task) && (a.ordered || time.Since(a.since) >= noticeMS*time.Millisecond) {
				others++
			}
		}
		if others >= limit {
			text := w.id + ": a stop ends " + r.task + " at work while others of its step are away"
			j.c.record.printf("AVAIL: %s: %d, may_miss %d", text, others, limit)
			j.violations = append(j.violations, text)
		}
	}
	if !wasAway {
		j.away[r.task] = awayTask{since: time.Now(), ordered: how == "stopped"}
	}
}
