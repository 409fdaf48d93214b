// Package spec defines jobs: what a caller submits and which jobs are valid.
//
//	job := spec.Job{ID: "5c0e7a21d94b36f8", Queue: "lint", Steps: []spec.Step{{Count: 4, Need: spec.Resources{MilliCPU: 500}}}}
//	err := job.Validate()
package spec

import (
	"github.com/pkg/errors"
)

// Limits of one job. They bound the memory that a single submission can use, and its
// record in the store.
const (
	// MaxBodyBytes bounds the body of a submission on every port.
	MaxBodyBytes = 1 << 20
	// MaxPayloadBytes is the longest payload that a worker accepts.
	MaxPayloadBytes = 4000
	// MaxSteps and MaxTasksPerStep keep the record of one job well below the
	// store's maximum record size.
	MaxSteps        = 64
	MaxTasksPerStep = 1000
	// MaxTasks bounds the number of tasks of one occurrence.
	MaxTasks = 2000
	// MaxNameBytes bounds the labels, racks and images of all steps together.
	MaxNameBytes = 16_384
	idLength     = 16
)

// Resources is an amount of worker resources.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int `cbor:"1,keyasint,omitempty" json:"milli_cpu,omitempty"`
	MemoryMB int `cbor:"2,keyasint,omitempty" json:"memory_mb,omitempty"`
	// GPUs is a number of whole accelerators.
	GPUs int `cbor:"3,keyasint,omitempty" json:"gpus,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Fits reports whether r does not exceed free in any dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPUs <= free.GPUs
}

// Step is a group of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int       `cbor:"1,keyasint" json:"count"`
	Need  Resources `cbor:"2,keyasint" json:"need"`
	// EstimateMS is the submitter's rough estimate of one task's run time.
	EstimateMS int64 `cbor:"3,keyasint,omitempty" json:"estimate_ms,omitempty"`
	// After lists the earlier steps that must be done before this one starts.
	After []int `cbor:"4,keyasint,omitempty" json:"after,omitempty"`
	// Gang tasks run only all together.
	Gang bool `cbor:"5,keyasint,omitempty" json:"gang,omitempty"`
	// OneRack requests that all tasks run on one rack; spread over racks they
	// take longer.
	OneRack bool `cbor:"6,keyasint,omitempty" json:"one_rack,omitempty"`
	// Label, if set, must be one of the worker's labels.
	Label string `cbor:"7,keyasint,omitempty" json:"label,omitempty"`
	// DataRack is the rack that holds the data; on other racks tasks take
	// longer.
	DataRack string `cbor:"8,keyasint,omitempty" json:"data_rack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no bound.
	MaxPerWorker int `cbor:"9,keyasint,omitempty" json:"max_per_worker,omitempty"`
	// Copies permits concurrent runs of the same task.
	Copies bool `cbor:"10,keyasint,omitempty" json:"copies,omitempty"`
	// Checkpoints reports whether the tasks save their progress.
	Checkpoints bool `cbor:"11,keyasint,omitempty" json:"checkpoints,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `cbor:"12,keyasint,omitempty" json:"lasting,omitempty"`
	// Image names what the tasks run; tasks with the same image behave alike.
	Image string `cbor:"13,keyasint,omitempty" json:"image,omitempty"`
	// TailTargetMS is the target for the tail response time of a serving task;
	// 0 means that the tasks serve no requests.
	TailTargetMS int `cbor:"14,keyasint,omitempty" json:"tail_target_ms,omitempty"`
	// Filler tasks use only CPU time that other tasks leave unused.
	Filler bool `cbor:"15,keyasint,omitempty" json:"filler,omitempty"`
	// MaxUnavailable is how many lasting tasks may be unavailable at once
	// because of our own actions.
	MaxUnavailable int `cbor:"16,keyasint,omitempty" json:"may_miss,omitempty"`
	// HasMaxUnavailable reports whether the step has an availability budget.
	HasMaxUnavailable bool `cbor:"17,keyasint,omitempty" json:"has_may_miss,omitempty"`
}

// Reservation returns the resources that one task reserves on a worker.
func (s *Step) Reservation() Resources {
	if s.Filler {
		return Resources{MemoryMB: s.Need.MemoryMB, GPUs: s.Need.GPUs}
	}
	return s.Need
}

// Job is one submission.
type Job struct {
	// ID is chosen by the caller: 16 hexadecimal digits.
	ID    string `cbor:"1,keyasint" json:"id"`
	Queue string `cbor:"2,keyasint" json:"queue"`
	// Payload is passed to every task unchanged.
	Payload string `cbor:"3,keyasint" json:"payload"`
	Steps   []Step `cbor:"4,keyasint" json:"steps"`
	// Repeat is the number of occurrences; 0 means one that starts at once.
	Repeat int `cbor:"5,keyasint,omitempty" json:"repeat,omitempty"`
	// FirstRunMS is when occurrence 0 is due, in Unix milliseconds.
	FirstRunMS int64 `cbor:"6,keyasint,omitempty" json:"first_run_ms,omitempty"`
	// IntervalMS is the time between two occurrences.
	IntervalMS int64 `cbor:"7,keyasint,omitempty" json:"interval_ms,omitempty"`
	// Customer is the name of the customer whose job it is; empty if it belongs to none.
	// Callers can't set it: it follows from their key.
	Customer string `cbor:"8,keyasint,omitempty" json:"customer,omitempty"`
}

// ValidateID returns an error if the job ID is malformed.
func ValidateID(id string) error {
	if len(id) != idLength {
		return errors.Errorf("job id %q has %d characters: use %d hexadecimal digits", id, len(id), idLength)
	}
	for _, c := range id {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return errors.Errorf("job id %q holds %q: use hexadecimal digits only", id, c)
		}
	}
	return nil
}

// Validate returns the first validation error of the job, or nil.
func (j *Job) Validate() error {
	if err := ValidateID(j.ID); err != nil {
		return err
	}
	if len(j.Payload) > MaxPayloadBytes {
		return errors.Errorf("the payload has %d bytes: at most %d are allowed", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Errorf("the job has %d steps: give 1 to %d", len(j.Steps), MaxSteps)
	}
	names := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		names += len(j.Steps[i].Label) + len(j.Steps[i].DataRack) + len(j.Steps[i].Image)
	}
	if total := j.Tasks(); total > MaxTasks {
		return errors.Errorf("the job has %d tasks: at most %d are allowed", total, MaxTasks)
	}
	if names > MaxNameBytes {
		return errors.Errorf("the labels, racks and images have %d bytes: at most %d are allowed", names, MaxNameBytes)
	}
	if j.Repeat < 0 || j.Repeat > 0 && j.IntervalMS < 0 {
		return errors.New("repeat and interval must not be negative")
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return errors.Errorf("step %d has %d tasks: give 1 to %d", index, s.Count, MaxTasksPerStep)
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPUs < 0 || s.EstimateMS < 0 || s.MaxPerWorker < 0 {
		return errors.Errorf("step %d asks for a negative amount", index)
	}
	if len(s.After) > index {
		return errors.Errorf("step %d names %d steps that it depends on: name each of the %d earlier steps at most once", index, len(s.After), index)
	}
	for _, d := range s.After {
		if d < 0 || d >= index {
			return errors.Errorf("step %d depends on step %d: only earlier steps are allowed", index, d)
		}
	}
	return nil
}

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	total := 0
	for i := range j.Steps {
		total += j.Steps[i].Count
	}
	return total
}

// HasLastingStep reports whether the job runs until it is cancelled.
func (j *Job) HasLastingStep() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// CriticalPathMS returns the longest chain of estimated run times over the
// steps for which pending returns true; a nil pending selects all steps.
func (j *Job) CriticalPathMS(pending func(step int) bool) int64 {
	return j.LongestChainMS(func(step int) int64 {
		if pending != nil && !pending(step) {
			return 0
		}
		return j.Steps[step].EstimateMS
	})
}

// LongestChainMS returns the longest chain of steps, each as long as stepMS
// returns.
func (j *Job) LongestChainMS(stepMS func(step int) int64) int64 {
	finishes := make([]int64, len(j.Steps))
	longest := int64(0)
	for i := range j.Steps {
		start := int64(0)
		for _, d := range j.Steps[i].After {
			start = max(start, finishes[d])
		}
		finishes[i] = start + stepMS(i)
		longest = max(longest, finishes[i])
	}
	return longest
}

// Work returns the estimated work of one occurrence in milli-CPU milliseconds.
// Lasting and filler tasks count as 0.
func (j *Job) Work() int64 {
	total := int64(0)
	for i := range j.Steps {
		total += j.Steps[i].Work() * int64(j.Steps[i].Count)
	}
	return total
}

// Work returns the estimated work of one task in milli-CPU milliseconds.
func (s *Step) Work() int64 {
	if s.Lasting || s.Filler {
		return 0
	}
	return int64(s.Need.MilliCPU) * s.EstimateMS
}

// State is the state of a job as callers see it.
type State string

// The states of a job. The last three are final.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }
