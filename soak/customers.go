package soak

import "path"

// soakCustomer is a customer of the configuration.
type soakCustomer struct {
	name, key string
	weight    float64
	// capMilliCPU is the cap.
	capMilliCPU int
}

// soakCustomers are the customers in runs with an even seed; the others have none.
var soakCustomers = []soakCustomer{{"north", "key-of-north-5a1c", 2, 10_000}, {"south", "key-of-south-77e0", 1, 6_000}}

// quotaOverage is the part of a cap by which a customer may be above it, and one task.
const quotaOverage = 0.1

func (o Options) withCustomers() bool { return o.Seed%2 == 0 }

// customerOf returns the customer that hands in the job with an id.
func customerOf(id string) soakCustomer {
	if id == "" {
		return soakCustomers[0]
	}
	return soakCustomers[int(id[len(id)-1])%len(soakCustomers)]
}

// tenants returns the customers of the configuration.
func (o Options) tenants() []map[string]any {
	var list []map[string]any
	if !o.withCustomers() {
		return list
	}
	for _, c := range soakCustomers {
		list = append(list, map[string]any{"name": c.name, "api_keys": []string{c.key}, "weight": c.weight, "cap": map[string]int{"cpu": c.capMilliCPU}})
	}
	return list
}

// authorization returns the header of a call about the job that a path ends with.
func authorization(jobPath string) string { return "Token " + customerOf(path.Base(jobPath)).key }

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
	if !j.customers || !j.calm.For(contactTime, run.startedBy, run.worker) {
		return
	}
	if used := j.customerUse(c.name); float64(used) > float64(c.capMilliCPU)*(1+quotaOverage)+float64(run.cpu) {
		j.violate(ruleQuota, run.job.id, "%s starts %s run %d by order of %s and then customer %s has %d of %d milli-CPU in use", run.worker, run.task, run.run, run.startedBy, c.name, used, c.capMilliCPU)
	}
}

// capBusy reports whether a job may wait because its customer has half of its cap in use.
func (j *Judge) capBusy(job *judgedJob) bool {
	c := customerOf(job.id)
	return j.customers && 2*j.customerUse(c.name) >= c.capMilliCPU
}
