package shard

import (
	"cmp"
	"slices"

	"wigeonwinch/jobs/spec"
)

// JobSummary is the operators' view of one job.
type JobSummary struct {
	ID       string     `cbor:"1,keyasint" json:"id"`
	Queue    string     `cbor:"2,keyasint" json:"queue"`
	State    spec.State `cbor:"3,keyasint" json:"state"`
	Priority int        `cbor:"4,keyasint,omitempty" json:"priority"`
	// AcceptedMS is the Unix time of the acceptance.
	AcceptedMS int64 `cbor:"5,keyasint,omitempty" json:"accepted_ms"`
	// Tasks and Done count the tasks of the open occurrences, Running those that may
	// be on a worker, because a start was sent.
	Tasks   int `cbor:"6,keyasint,omitempty" json:"tasks"`
	Done    int `cbor:"7,keyasint,omitempty" json:"done"`
	Running int `cbor:"8,keyasint,omitempty" json:"running"`
	// SlackMS is the slack until the deadline for the job's full value.
	SlackMS int64 `cbor:"9,keyasint,omitempty" json:"slack_ms"`
}

// RunSummary is the operators' view of one task's current or last run.
type RunSummary struct {
	Occurrence int `cbor:"1,keyasint,omitempty" json:"occurrence"`
	Step       int `cbor:"2,keyasint,omitempty" json:"step"`
	Index      int `cbor:"3,keyasint,omitempty" json:"index"`
	// Run is the number of the task's last run; 0 means that none was placed.
	Run   int    `cbor:"4,keyasint,omitempty" json:"run"`
	Fails int    `cbor:"5,keyasint,omitempty" json:"fails"`
	State string `cbor:"6,keyasint,omitempty" json:"state"`
	// Worker is where the task may be running.
	Worker string `cbor:"7,keyasint,omitempty" json:"worker,omitempty"`
	// SinceMS is how long the run has been in its state.
	SinceMS int64 `cbor:"8,keyasint,omitempty" json:"since_ms"`
	// Crashes is the number of workers that crashed soon after they were told to
	// start the task.
	Crashes int `cbor:"9,keyasint,omitempty" json:"crashes"`
}

// phaseNames are the states of runs that may be on a worker.
var phaseNames = map[phase]string{phasePlaced: "placed", phaseStartSent: "ordered", phaseRunning: "running", phaseStopping: "stopping"}

// Jobs lists at most the given number of the queue's stored jobs, newest
// first.
func (c *Core) Jobs(queue string, most int) []JobSummary {
	type listed struct {
		id         string
		acceptedMS int64
	}
	var list []listed
	for id, j := range c.jobs {
		if j.stored && j.spec.Queue == queue {
			list = append(list, listed{id, j.acceptedMS})
		}
	}
	for id, s := range c.settled.jobs {
		if s.class.queue == queue {
			list = append(list, listed{id, s.acceptedMS})
		}
	}
	slices.SortFunc(list, func(a, b listed) int {
		return cmp.Or(cmp.Compare(b.acceptedMS, a.acceptedMS), cmp.Compare(a.id, b.id))
	})
	out := make([]JobSummary, 0, min(len(list), most))
	for _, l := range list[:min(len(list), most)] {
		if s, ok := c.settled.jobs[l.id]; ok {
			out = append(out, s.summary(l.id))
			continue
		}
		out = append(out, c.summary(c.jobs[l.id]))
	}
	return out
}

// maxShownTasks is how many tasks of a job are shown with those that are done. Nodes read
// the answers of other nodes up to twice as many; the tasks that are not done are fewer.
const maxShownTasks = 4_000

// Job returns a stored job and its tasks. If there are more than maxShownTasks, those that
// are done are left out.
func (c *Core) Job(id string) (JobSummary, []RunSummary, bool) {
	if s, ok := c.settled.jobs[id]; ok {
		return s.summary(id), nil, true
	}
	j, ok := c.jobs[id]
	if !ok || !j.stored {
		return JobSummary{}, nil, false
	}
	summary := c.summary(j)
	var runs []RunSummary
	for _, number := range sortedKeys(j.occurrences) {
		for s := range j.occurrences[number].steps {
			tasks := j.occurrences[number].steps[s].tasks
			for t := range tasks {
				if tasks[t].done && summary.Tasks > maxShownTasks {
					continue
				}
				runs = append(runs, c.runSummary(Key{id, number, s, t}, &tasks[t]))
			}
		}
	}
	return summary, runs, true
}

func (c *Core) summary(j *job) JobSummary {
	out := JobSummary{ID: j.spec.ID, Queue: j.spec.Queue, State: j.storedState, Priority: j.priority, AcceptedMS: j.acceptedMS}
	if j.state.Final() {
		return out
	}
	out.SlackMS = j.deadline - c.now - j.remainingPathMS()
	for _, o := range j.occurrences {
		for s := range o.steps {
			out.Tasks += len(o.steps[s].tasks)
			out.Done += len(o.steps[s].tasks) - o.steps[s].openTasks
		}
	}
	j.eachRun(func(r *run) {
		if r.phase != phasePlaced {
			out.Running++
		}
	})
	return out
}

func (c *Core) runSummary(k Key, tk *task) RunSummary {
	out := RunSummary{Occurrence: k.Occurrence, Step: k.Step, Index: k.Index, Run: tk.lastRun, Fails: tk.failures, Crashes: tk.history.Crashes, State: "waiting"}
	switch {
	case tk.done:
		out.State = "done"
	case tk.current != nil:
		out.State, out.Worker, out.SinceMS = phaseNames[tk.current.phase], tk.current.worker.info.ID, c.now-tk.current.phaseSince
	}
	return out
}
