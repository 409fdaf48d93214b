package soak

// capsMilliCPU are the caps of the customers in runs with an even seed; the others have
// none.
var capsMilliCPU = map[string]int{"red": 10_000, "blue": 6_000}

// quotaOverage is the part of a cap by which a customer may be above it, and one task.
const quotaOverage = 0.1

func (o Options) withCaps() bool { return o.Seed%2 == 0 }

// HandedInBy notes which customer hands a job in.
func (j *Judge) HandedInBy(id, customer string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if job := j.jobs[id]; job != nil {
		job.customer = customer
	}
}

// customerUse returns what a customer has running on all workers, in milli-CPU.
func (j *Judge) customerUse(name string) int {
	sum := 0
	for _, w := range j.workers {
		for run := range w.runs {
			if run.job.customer == name {
				sum += run.cpu
			}
		}
	}
	return sum
}

// checkQuota checks that a start leaves its customer below its cap. Orders that were
// held up on their way do not count.
func (j *Judge) checkQuota(run *judgedRun) {
	limit := capsMilliCPU[run.job.customer]
	if !j.capped || limit == 0 || !j.calm.For(contactTime, run.startedBy, run.worker) {
		return
	}
	if used := j.customerUse(run.job.customer); float64(used) > float64(limit)*(1+quotaOverage)+float64(run.cpu) {
		j.violate(ruleQuota, run.job.id, "%s starts %s run %d by order of %s and then customer %s has %d of %d milli-CPU in use", run.worker, run.task, run.run, run.startedBy, run.job.customer, used, limit)
	}
}

// capBusy reports whether a job may wait because its customer has half of its cap in use.
// The time in which it must not wait begins after that.
func (j *Judge) capBusy(job *judgedJob) bool {
	limit := capsMilliCPU[job.customer]
	return j.capped && limit > 0 && 2*j.customerUse(job.customer) >= limit
}
