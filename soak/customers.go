package soak

import (
	"path"
	"time"
)

// soakCustomer is a customer of the configuration.
type soakCustomer struct {
	name   string
	weight float64
	// capMilliCPU is the cap in runs that have one.
	capMilliCPU int
}

var soakCustomers = [...]soakCustomer{{"red", 2, 10_000}, {"blue", 1, 6_000}}

// quotaOverage is the part of a cap by which a customer may be above it, and one task.
const quotaOverage = 0.1

// withCaps reports whether the customers have caps: in runs with an even seed.
func (o Options) withCaps() bool { return o.Seed%2 == 0 }

// customerOf returns the customer that hands in the job with an id.
func customerOf(id string) soakCustomer {
	if id == "" {
		return soakCustomers[0]
	}
	return soakCustomers[int(id[len(id)-1])%len(soakCustomers)]
}

// lastingKeyOf returns the key for calls about the job that a path ends with.
func lastingKeyOf(jobPath string) string { return lastingKey(customerOf(path.Base(jobPath)).name) }

// customerUse returns what a customer has running on all workers, in milli-CPU.
func (j *Judge) customerUse(name string) int {
	sum := 0
	for _, w := range j.workers {
		for run := range w.runs {
			if customerOf(run.job.id).name == name {
				sum += run.cpu
			}
		}
	}
	return sum
}

// checkQuota checks that a start leaves its customer below its cap. Orders that were
// held up on their way do not count.
func (j *Judge) checkQuota(run *judgedRun) {
	c := customerOf(run.job.id)
	if !j.caps || !j.calm.For(contactTime, run.startedBy, run.worker) {
		return
	}
	if used := j.customerUse(c.name); float64(used) > float64(c.capMilliCPU)*(1+quotaOverage)+float64(run.cpu) {
		j.violate(ruleQuota, run.job.id, "%s starts %s run %d by order of %s and then customer %s has %d of %d milli-CPU in use", run.worker, run.task, run.run, run.startedBy, c.name, used, c.capMilliCPU)
	}
}

// noteCaps notes since when the customers have had less than half of their caps in use.
func (j *Judge) noteCaps(now time.Time) {
	for i, c := range soakCustomers {
		switch busy := j.caps && 2*j.customerUse(c.name) >= c.capMilliCPU; {
		case busy:
			j.capFreeSince[i] = time.Time{}
		case j.capFreeSince[i].IsZero():
			j.capFreeSince[i] = now
		}
	}
}

// capFree reports whether a job has had room below its customer's cap for so long that
// something of it has to run.
func (j *Judge) capFree(job *judgedJob) bool {
	for i, c := range soakCustomers {
		if c == customerOf(job.id) {
			return !j.capFreeSince[i].IsZero() && time.Since(j.capFreeSince[i]) > idleTime || !j.caps
		}
	}
	return true
}
