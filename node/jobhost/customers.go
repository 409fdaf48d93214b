package jobhost

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/telemetry"
)

// maxListedCustomers bounds the customers that one shard lists.
const maxListedCustomers = 2_000

// listCustomers asks the owners of all shards for their customers. Without all of them
// the sums would be too low.
func (h *Host) listCustomers(ctx context.Context) Result {
	var shards []deps.Partition
	for _, p := range h.requiredPartitions() {
		if p.Topic == deps.TopicJobs {
			shards = append(shards, p)
		}
	}
	out := Result{Outcome: Done}
	for i, res := range h.askShards(ctx, shards, Request{Op: OpCustomers}) {
		if res.Outcome != Done {
			return res
		}
		for _, c := range res.Customers {
			c.Node = (*h.owners.Load())[shards[i]].Node
			out.Customers = append(out.Customers, c)
		}
	}
	return out
}

const (
	// customerViewIntervalMS is the pause between two updates of the customers' metrics.
	customerViewIntervalMS = 1_000
	// maxCustomerLabels bounds the customers that have metrics of their own; the others
	// are added up.
	maxCustomerLabels  = 24
	otherCustomersName = "_other"
)

// updateCustomerView prepares the metrics of the customers with the most running or
// refused on this node's shards.
func (h *Host) updateCustomerView(now int64) {
	if cfg := h.config.Load(); cfg == nil || len(cfg.Customers) == 0 || now-h.customersViewedAt < customerViewIntervalMS {
		return
	}
	h.customersViewedAt = now
	sums := map[string]shard.CustomerSummary{}
	for _, s := range h.sortedOwned() {
		if s.core == nil {
			continue
		}
		for _, c := range s.core.Customers(maxListedCustomers) {
			sums[c.Name] = addCustomer(sums[c.Name], c)
		}
	}
	list := slices.SortedFunc(maps.Values(sums), func(a, b shard.CustomerSummary) int {
		return cmp.Or(cmp.Compare(b.Running.MilliCPU, a.Running.MilliCPU), cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Name, b.Name))
	})
	if len(list) > maxCustomerLabels {
		other := shard.CustomerSummary{Name: otherCustomersName}
		for _, c := range list[maxCustomerLabels:] {
			other = addCustomer(other, c)
		}
		list = append(list[:maxCustomerLabels:maxCustomerLabels], other)
	}
	h.customerView.Store(&list)
}

func addCustomer(sum, c shard.CustomerSummary) shard.CustomerSummary {
	if sum.Name == "" {
		sum.Name = c.Name
	}
	sum.Running, sum.WaitingJobs, sum.Refused = sum.Running.Add(c.Running), sum.WaitingJobs+c.WaitingJobs, sum.Refused+c.Refused
	return sum
}

func (h *Host) customerReadings(r telemetry.Readings) {
	list := h.customerView.Load()
	if list == nil {
		return
	}
	for _, c := range *list {
		add := func(metric string, value float64) {
			r[metric] = append(r[metric], telemetry.Reading{Labels: label("customer", c.Name), Value: value})
		}
		add(telemetry.MetricCustomerRunning, float64(c.Running.MilliCPU))
		add(telemetry.MetricCustomerWaiting, float64(c.WaitingJobs))
		add(telemetry.MetricCustomerRefused, float64(c.Refused))
	}
}
