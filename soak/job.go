package soak

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Job is a job as clients hand it in.
type Job struct {
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
}

// Step is a step of a job.
type Step struct {
	Count int `json:"count"`
	// CPU is in milli-CPU.
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"mem_mb"`
	EstimateMS int64 `json:"estimate_ms"`
	DependsOn  []int `json:"depends_on,omitempty"`
	// LongRunning means that the tasks last until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
}

// Bounds of random jobs.
const (
	maxSteps        = 3
	maxTasks        = 4
	minMilliCPU     = 250
	maxMilliCPU     = 2000
	taskMemMB       = 64
	minShortWork    = 200 * time.Millisecond
	maxShortWork    = 1500 * time.Millisecond
	minLongWork     = 4 * time.Second
	maxLongWork     = 8 * time.Second
	longWorkShare   = 0.3
	failingJobShare = 0.05
	lastingJobShare = 0.1
	lastingWork     = 24 * time.Hour
	chainShare      = 0.8
)

// Outlasting work is longer than two takeovers and the wait for leases.
const (
	minOutlastingWork = 13 * time.Second
	maxOutlastingWork = 17 * time.Second
)

// withOutlastingWork reports whether all work that ends is outlasting: in every third run
// without caps. An owner that the store does not answer extends a worker's leases only
// until the next end on it, so that shorter work beside it would hide what comes of that.
func (o Options) withOutlastingWork() bool { return !o.withCaps() && o.Seed%3 == 0 }

// NewJob returns a job whose steps follow one another and whose tasks all work for
// the given time.
func NewJob(work time.Duration, failures int, counts ...int) Job {
	job := Job{Spec: formatSpec(work, failures)}
	for i, n := range counts {
		step := Step{Count: n, CPU: minMilliCPU, MemMB: taskMemMB, EstimateMS: work.Milliseconds()}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// lasts reports whether the job runs until it is cancelled.
func (j Job) lasts() bool { return j.Steps[0].LongRunning }

func lastingJob(tasks int) Job {
	job := NewJob(lastingWork, 0, tasks)
	job.Steps[0].LongRunning, job.Steps[0].EstimateMS = true, minShortWork.Milliseconds()
	return job
}

func randomJob(random *rand.Rand, outlasting bool) Job {
	if random.Float64() < lastingJobShare {
		return lastingJob(1 + random.IntN(maxTasks))
	}
	work := between(random, minShortWork, maxShortWork)
	if random.Float64() < longWorkShare {
		work = between(random, minLongWork, maxLongWork)
	}
	if outlasting {
		work = between(random, minOutlastingWork, maxOutlastingWork)
	}
	failures := 0
	if random.Float64() < failingJobShare {
		failures = 1
	}
	counts := make([]int, 1+random.IntN(maxSteps))
	for i := range counts {
		counts[i] = 1 + random.IntN(maxTasks)
	}
	job := NewJob(work, failures, counts...)
	for i := range job.Steps {
		job.Steps[i].CPU = minMilliCPU + random.IntN(maxMilliCPU-minMilliCPU)
		if random.Float64() > chainShare {
			job.Steps[i].DependsOn = nil
		}
	}
	return job
}

// between returns a random time from low to high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)+1))
}

// taskName is the name of a task: ID.K.STEP.INDEX.
type taskName struct {
	job         string
	step, index int
}

func parseTask(name string) (taskName, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskName{}, errors.Errorf("task %q does not have the form ID.K.STEP.INDEX", name)
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return taskName{}, errors.Wrapf(err, "task %q", name)
	}
	index, err := strconv.Atoi(parts[3])
	return taskName{parts[0], step, index}, errors.Wrapf(err, "task %q", name)
}
