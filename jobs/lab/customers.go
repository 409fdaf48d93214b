package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/model"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// CustomerLoad is a seeded load of several customers on one pool.
type CustomerLoad struct {
	Workers int
	Seed    uint64
	Seconds int
	// Weights are the weights of the customers, Demand what each asks for as a multiple
	// of its share of the pool.
	Weights, Demand []float64
}

// CustomerResult is what the customers got of their bounds.
type CustomerResult struct {
	// Worst holds, by customer, the lowest share of its bound in any window; Mean that
	// over all windows. The bound is weighted max-min of what the pool ran in the window.
	Worst, Mean []float64
	// UsedShare is the share of the pool's capacity that was used.
	UsedShare  float64
	Violations int
}

// The windows in which shares are measured, and the time before the first.
const (
	shareWindowMS  = 2_000
	shareSampleMS  = 20
	shareWarmingMS = 4_000
)

func (l CustomerLoad) name(i int) string { return fmt.Sprintf("c%02d", i) }

// RunCustomers simulates a load of customers under a policy. withShares is false to
// serve it as if no customers were configured.
func RunCustomers(l CustomerLoad, p Policy, withShares bool) CustomerResult {
	o := model.Options{Seed: l.Seed, Workers: l.Workers, MilliCPU: workerMilliCPU, MemoryMB: workerMemoryMB, Policy: p.shardPolicy,
		RunTime: func(k shard.Key, st *spec.Step) int64 { return Load{Seed: l.Seed}.runTime(k, st.EstimateMS) }}
	if withShares {
		for i, weight := range l.Weights {
			o.Customers = append(o.Customers, customer.Customer{Name: l.name(i), Weight: weight})
		}
	}
	w := model.New(o)
	l.schedule(w)
	windows := l.Seconds * 1_000 / shareWindowMS
	used := make([]map[string]float64, windows)
	for i := range used {
		used[i] = map[string]float64{}
	}
	for at := int64(0); at < int64(l.Seconds)*1_000; at += shareSampleMS {
		w.Schedule(at+shareWarmingMS, func() {
			for name, r := range w.Running() {
				used[at/shareWindowMS][name] += float64(r.MilliCPU)
			}
		})
	}
	w.Run(int64(l.Seconds)*1_000 + shareWarmingMS)
	r := l.summarize(used)
	r.Violations = len(w.Violations)
	return r
}

// schedule schedules the customers' jobs.
func (l CustomerLoad) schedule(w *model.World) {
	total := 0.0
	for _, weight := range l.Weights {
		total += weight
	}
	const steps, tasks, milliCPU, estimateMS = 2, 4, 1_500, 650
	n := 0
	for i, weight := range l.Weights {
		r := rand.New(rand.NewPCG(l.Seed, uint64(100+i)))
		perMS := l.Demand[i] * weight / total * float64(l.Workers) * workerMilliCPU / (steps * tasks * milliCPU * estimateMS)
		for at := float64(firstArrivalMS); at < float64(l.Seconds*1_000+shareWarmingMS); at += r.ExpFloat64() / perMS {
			n++
			j := spec.Job{ID: fmt.Sprintf("%016x", n), Queue: model.Queue, Customer: l.name(i)}
			for s := range steps {
				st := spec.Step{Count: tasks, EstimateMS: estimateMS, Need: spec.Resources{MilliCPU: milliCPU, MemoryMB: 500}}
				if s > 0 {
					st.After = []int{s - 1}
				}
				j.Steps = append(j.Steps, st)
			}
			w.Schedule(int64(at), func() { w.Submit(j) })
		}
	}
}

func (l CustomerLoad) summarize(used []map[string]float64) CustomerResult {
	r := CustomerResult{Worst: make([]float64, len(l.Weights)), Mean: make([]float64, len(l.Weights))}
	full := float64(l.Workers) * workerMilliCPU * shareWindowMS / shareSampleMS
	for i := range l.Weights {
		r.Worst[i] = math.Inf(1)
		for _, window := range used {
			sum := 0.0
			for _, name := range sortedNames(window) {
				sum += window[name]
			}
			share := window[l.name(i)] / l.bound(i, sum, full)
			r.Worst[i] = min(r.Worst[i], share)
			r.Mean[i] += share / float64(len(used))
			if i == 0 {
				r.UsedShare += sum / full / float64(len(used))
			}
		}
	}
	return r
}

func sortedNames(m map[string]float64) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// bound returns the weighted max-min share of a customer in what the pool ran.
func (l CustomerLoad) bound(i int, ran, full float64) float64 {
	type ask struct{ asks, weight float64 }
	total := 0.0
	for _, weight := range l.Weights {
		total += weight
	}
	var asks []ask
	for k, weight := range l.Weights {
		asks = append(asks, ask{l.Demand[k] * weight / total * full, weight})
	}
	mine := asks[i]
	slices.SortFunc(asks, func(a, b ask) int {
		if a.asks/a.weight < b.asks/b.weight {
			return -1
		}
		return 1
	})
	left := ran
	for _, a := range asks {
		if level := left / total; a.asks > level*a.weight {
			return min(mine.asks, level*mine.weight)
		}
		left -= a.asks
		total -= a.weight
	}
	return mine.asks
}
