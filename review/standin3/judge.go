package main

import (
	"fmt"
	"slices"
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
	// violations are breaks of AVAIL, twice those of TWICE.
	violations, twice []string
	mayMiss           map[string]int
	// disturbedAt is when the last disruption ended.
	disturbedAt time.Time
	// listedCounts reports whether ends count as taken note of once they are listed for
	// noteTime with no disruption near.
	listedCounts bool
	// running lists the runs of each task that are on a worker.
	running map[string][]startSeen
}

const (
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
	// noteTime is after which an end that a worker has listed counts as taken note of.
	noteTime = 100 * time.Millisecond
)

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
	// noted reports that the end was taken note of.
	noted bool
}

type awayTask struct {
	since   time.Time
	ordered bool
}

func newJudge(c *cluster) *judge {
	return &judge{c: c, starts: map[string][]startSeen{}, ends: map[string][]endSeen{}, away: map[string]awayTask{}, mayMiss: map[string]int{}, running: map[string][]startSeen{}}
}

// stepOf returns ID.K.STEP of the task ID.K.STEP.INDEX.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func (j *judge) runStarted(w *worker, r *run, o order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.c.record.printf("worker %s (%s): starts %s run %d, token %d", w.id, w.service, r.task, r.number, o.Token)
	seen := startSeen{time.Now(), w.id, r.number, o.Token}
	for _, other := range j.running[r.task] {
		j.breakTwice("%s: run %d starts on %s while run %d is on %s", r.task, r.number, w.id, other.run, other.worker)
	}
	for _, e := range j.ends[r.task] {
		if e.how == "done" && e.noted {
			j.breakTwice("%s: run %d starts on %s after run %d ended done on %s, which was taken note of", r.task, r.number, w.id, e.run, e.worker)
		}
	}
	j.starts[r.task] = append(j.starts[r.task], seen)
	j.running[r.task] = append(j.running[r.task], seen)
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
	j.ends[r.task] = append(j.ends[r.task], endSeen{at: time.Now(), worker: w.id, run: r.number, how: how})
	j.running[r.task] = slices.DeleteFunc(j.running[r.task], func(s startSeen) bool { return s.worker == w.id && s.run == r.number })
	if j.listedCounts && how == "done" && j.calmAt(time.Now()) {
		time.AfterFunc(noteTime, func() { w.noteListed(r.task, r.number) })
	}
	if !r.lasts {
		return
	}
	_, wasAway := j.away[r.task]
	limit, limited := j.mayMiss[stepOf(r.task)]
	ordered := how == "stopped" || how == "lapsed" && j.calmAt(time.Now())
	if ordered && !wasAway && limited {
		others := 0
		for task, a := range j.away {
			if stepOf(task) == stepOf(r.task) && (a.ordered || time.Since(a.since) >= noticeMS*time.Millisecond) {
				others++
			}
		}
		if others >= limit {
			text := w.id + ": " + r.task + " is " + how + " at work while others of its step are away"
			j.c.record.printf("AVAIL: %s: %d, may_miss %d", text, others, limit)
			j.violations = append(j.violations, text)
		}
	}
	if !wasAway {
		j.away[r.task] = awayTask{since: time.Now(), ordered: ordered}
	}
}

// endNoted notes that acked_upto has reached an end, as TWICE has it.
func (j *judge) endNoted(w *worker, e endedRun, token int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, end := range j.ends[e.task] {
		if end.worker != w.id || end.run != e.run || end.how != "done" {
			continue
		}
		j.ends[e.task][i].noted = true
		j.c.record.printf("worker %s: the end done of %s run %d is taken note of, token %d", w.id, e.task, e.run, token)
		for _, s := range j.starts[e.task] {
			if s.run > e.run && s.at.After(end.at) {
				j.breakTwice("%s: run %d has started on %s after run %d ended done on %s, which is taken note of now", e.task, s.run, s.worker, e.run, w.id)
			}
		}
	}
}

// breakTwice notes a break of TWICE. The caller holds the lock.
func (j *judge) breakTwice(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.c.record.printf("TWICE: %s", text)
	j.twice = append(j.twice, text)
}

// disturbed notes that a disruption is over.
func (j *judge) disturbed() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.disturbedAt = time.Now()
}

// calmAt reports whether no disruption is near. The caller holds the lock.
func (j *judge) calmAt(now time.Time) bool { return now.Sub(j.disturbedAt) > contactTime }
