package shard

import (
	"math"

	"wigeonwinch/jobs/spec"
)

// CustomerSummary is the operators' view of one customer in one shard.
type CustomerSummary struct {
	Name   string         `cbor:"1,keyasint" json:"name"`
	Weight float64        `cbor:"2,keyasint,omitempty" json:"weight"`
	Cap    spec.Resources `cbor:"3,keyasint,omitzero" json:"cap"`
	// Running is what the customer's runs use that may be on a worker, Held the room
	// below its cap that the shard holds for it.
	Running spec.Resources `cbor:"4,keyasint,omitzero" json:"running"`
	Held    spec.Resources `cbor:"5,keyasint,omitzero" json:"held"`
	// ShareMilliCPU is the customer's share of the pools that are full.
	ShareMilliCPU int64 `cbor:"6,keyasint,omitempty" json:"share_milli_cpu,omitempty"`
	// WaitingJobs counts the jobs with tasks that could start, WaitingRoom is what waits
	// for room below the cap.
	WaitingJobs int            `cbor:"7,keyasint,omitempty" json:"waiting_jobs"`
	WaitingRoom spec.Resources `cbor:"8,keyasint,omitzero" json:"waiting_room"`
	// Refused counts the refused submissions since the shard was taken over.
	Refused int64 `cbor:"9,keyasint,omitempty" json:"refused"`
	// Node is the owner of the shard.
	Node string `cbor:"10,keyasint,omitempty" json:"node,omitempty"`
}

// Customers lists at most the given number of the configuration's customers, by name.
func (c *Core) Customers(most int) []CustomerSummary {
	cs := &c.customers
	waiting, shares := map[string]int{}, map[string]int64{}
	for _, service := range sortedKeys(c.pools) {
		p := c.pools[service]
		for _, j := range p.queue {
			if !j.state.Final() {
				waiting[j.spec.Customer]++
			}
		}
		list := c.demands(p, p.waitingJobs())
		if level := shareLevel(list, c.usableMilliCPU(p)); !math.IsInf(level, 1) {
			for _, d := range list {
				shares[d.customer] += int64(level * d.weight)
			}
		}
	}
	var out []CustomerSummary
	for _, name := range sortedKeys(cs.configured) {
		if len(out) == most {
			break
		}
		held, wants := cs.room.Held(name)
		out = append(out, CustomerSummary{Name: name, Weight: cs.configured[name].Weight, Cap: cs.configured[name].Cap, Running: cs.room.Used(name), Held: held,
			ShareMilliCPU: shares[name], WaitingJobs: waiting[name], WaitingRoom: wants, Refused: cs.refused[name]})
	}
	return out
}
