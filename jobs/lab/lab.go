// Package lab plays seeded loads against the real decisions over the model of
// store and workers, in virtual time, and compares policies.
//
//	r := lab.Run(lab.Load{Workers: 50, Seed: 1, Seconds: 60, Peak: 5}, lab.Ours)
//	fmt.Println(r.Earned, r.Bound)
package lab

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"wigeonwinch/jobs/model"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// Load is one seeded load: a pool whose demand comes in turns.
type Load struct {
	Workers int
	Seed    uint64
	Seconds int
	// Peak is the demand in a turn as a multiple of its mean, 0.05 between the
	// turns. The mean is MeanShare of the pool's room.
	Peak      float64
	MeanShare float64
}

// The shape of the loads: the turns, sizes and worths of the users' sites.
const (
	turnMS = 4_500
	// turns of four queues make one round, of which one is played.
	turns = 4
	// between is the demand outside the turn as a multiple of the mean.
	between = 0.05
	// milliCPU and memoryMB are one worker's room.
	milliCPU, memoryMB = 16_000, 64_000
	// lateWorth is what a job earns up to three times its objective.
	lateWorth, lateTimes = 0.07, 3
	// meanShare is the mean demand as a share of the room unless a load says
	// otherwise: a peak of five times that is 2.5 times what the pool holds, as
	// on the sites between a turn's start (four times) and the moves' end.
	meanShare = 0.5
	// failShare of the runs fail. Run times are off from their estimates by up
	// to half, and stragglerShare of the tasks take stragglerTimes as long, at
	// most longestMS.
	failShare, stragglerShare, stragglerTimes, longestMS = 0.002, 0.03, 7, 9_000
	// firstMS is when the first job may come: the workers are known by then.
	firstMS = 1_000
	// windowMS is the span of the worst window.
	windowMS = 4_000
	// drainMS is played after the last arrival, so that all jobs end.
	drainMS = 60_000
)

// Policy is one way to decide.
type Policy struct {
	Name  string
	shard shard.Policy
}

// The policies that are compared.
var (
	Ours        = Policy{"ours", shard.Policy{}}
	FirstCome   = Policy{"first-come", shard.Policy{Order: shard.OrderArrival, TakeAll: true}}
	Shortest    = Policy{"shortest", shard.Policy{Order: shard.OrderShortest, TakeAll: true}}
	ArrivalTurn = Policy{"first-come-with-refusals", shard.Policy{Order: shard.OrderArrival}}
	Policies    = []Policy{Ours, ArrivalTurn, Shortest, FirstCome}
)

// Result is what a load earned under a policy.
type Result struct {
	Policy string `json:"policy"`
	Jobs   int    `json:"jobs"`
	// Earned and Worst are the shares of the jobs' worth that were earned, in
	// all and in the worst window; Large that of the largest tenth of jobs.
	Earned float64 `json:"earned"`
	Worst  float64 `json:"worst_window"`
	Large  float64 `json:"largest_tenth"`
	// Refusals counts refused submissions, TakenLater the jobs that were
	// accepted after a refusal.
	Refusals   int `json:"refusals"`
	TakenLater int `json:"taken_later"`
	// Bound is more than any policy can earn, knowing all that comes.
	Bound float64 `json:"bound"`
	// Broken counts broken rules; it must be 0.
	Broken int `json:"broken"`
}

// arrival is one job and when it comes. Its work and the time in which it counts
// in full are as they really are, not as estimated.
type arrival struct {
	at, work, objective int64
	job                 spec.Job
}

// Run plays a load under a policy.
func Run(l Load, p Policy) Result {
	arrivals := l.arrivals()
	w := model.New(model.Options{Seed: l.Seed, Workers: l.Workers, MilliCPU: milliCPU, MemoryMB: memoryMB, FailShare: failShare, Policy: p.shard,
		RunTime: func(k shard.Key, st *spec.Step) int64 { return l.runTime(k, st.EstimateMS) }})
	for _, a := range arrivals {
		w.At(a.at, func() { w.Submit(a.job) })
	}
	w.Run(int64(l.Seconds)*1000 + drainMS)
	r := Result{Policy: p.Name, Jobs: len(arrivals), Bound: l.bound(arrivals), Broken: len(w.Violations)}
	r.rate(arrivals, w.Results())
	return r
}

// arrivals draws the jobs: short ones of one or two steps, a few wide or long.
func (l Load) arrivals() []arrival {
	r := rand.New(rand.NewPCG(l.Seed, 5))
	share := l.MeanShare
	if share == 0 {
		share = meanShare
	}
	const usualWork = 1.6 * 8 * 1_500 * 850
	perMS := share * float64(l.Workers) * milliCPU / usualWork
	var list []arrival
	for at := 0.0; ; {
		factor := between
		if int64(at)/turnMS%turns == 0 {
			factor = l.Peak
		}
		at += r.ExpFloat64() / (perMS * factor)
		if at >= float64(l.Seconds)*1000 {
			return list
		}
		a := arrival{at: int64(at) + firstMS, job: job(r, len(list))}
		chain, work := l.truth(&a.job)
		a.work, a.objective = work, int64(model.Stretch*float64(chain))+model.TargetMS
		list = append(list, a)
	}
}

func job(r *rand.Rand, i int) spec.Job {
	j := spec.Job{ID: fmt.Sprintf("%016x", i+1), Queue: model.Queue}
	for s := range 1 + r.IntN(2) {
		st := spec.Step{Count: max(1, min(32, int(8*math.Exp(0.6*r.NormFloat64())))), EstimateMS: int64(850 * math.Exp(0.5*r.NormFloat64())),
			Need: spec.Resources{MilliCPU: max(100, min(4_600, int(1_500*math.Exp(0.45*r.NormFloat64())))), MemoryMB: 500 + r.IntN(5_000)}}
		if s > 0 {
			st.After = []int{s - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	return j
}

// runTime is how long a task takes, whenever it runs.
func (l Load) runTime(k shard.Key, estimateMS int64) int64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s/%d/%d", l.Seed, k.Job, k.Step, k.Index)
	r := rand.New(rand.NewPCG(h.Sum64(), 7))
	took := float64(estimateMS) * (0.5 + r.Float64())
	if r.Float64() < stragglerShare {
		took = min(took*stragglerTimes, longestMS)
	}
	return int64(took)
}

// truth returns a job's longest chain and all its work, as they really are: each
// of its steps waits for the one before.
func (l Load) truth(j *spec.Job) (chainMS, work int64) {
	for s := range j.Steps {
		longest := int64(0)
		for t := range j.Steps[s].Count {
			took := l.runTime(shard.Key{Job: j.ID, Step: s, Index: t}, j.Steps[s].EstimateMS)
			longest = max(longest, took)
			work += took * int64(j.Steps[s].Need.MilliCPU)
		}
		chainMS += longest
	}
	return chainMS, work
}

// earned is the share of its worth that a job earned.
func (a *arrival) earned(r *model.Result) float64 {
	took := r.DoneAt - r.SubmittedMS
	switch {
	case r.DoneAt == 0 || took > lateTimes*a.objective:
		return 0
	case took > a.objective:
		return lateWorth
	}
	return 1
}

// rate fills in what the jobs earned.
func (r *Result) rate(arrivals []arrival, results []model.Result) {
	byID := map[string]*arrival{}
	for i := range arrivals {
		byID[arrivals[i].job.ID] = &arrivals[i]
	}
	type rated struct {
		work   int64
		earned float64
	}
	all := make([]rated, 0, len(results))
	windows := map[int64][]float64{}
	for i := range results {
		res := &results[i]
		e := byID[res.Job.ID].earned(res)
		all = append(all, rated{res.Job.Work(), e})
		r.Earned += e
		windows[res.SubmittedMS/windowMS] = append(windows[res.SubmittedMS/windowMS], e)
		r.Refusals += res.Refused
		if res.Accepted && res.Refused > 0 {
			r.TakenLater++
		}
	}
	r.Earned /= float64(max(len(results), 1))
	r.Worst = 1
	for _, list := range windows {
		r.Worst = min(r.Worst, mean(list))
	}
	slices.SortStableFunc(all, func(a, b rated) int { return cmp.Compare(b.work, a.work) })
	var large []float64
	for _, j := range all[:len(all)/10] {
		large = append(large, j.earned)
	}
	r.Large = mean(large)
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}

// bound is a share that no policy can earn more than, knowing all that comes:
// in each turn the most jobs that can be in time on a pool without waits and
// gaps, if all of them had come at its start (Moore and Hodgson's rule). Jobs
// between the turns all count.
func (l Load) bound(arrivals []arrival) float64 {
	inTurn := map[int64][]due{}
	total := 0.0
	for i := range arrivals {
		a := &arrivals[i]
		n := (a.at - firstMS) / turnMS
		if n%turns != 0 {
			total++
			continue
		}
		inTurn[n] = append(inTurn[n], due{a.at + a.objective, a.work})
	}
	for n, jobs := range inTurn {
		inTime := mostInTime(jobs, n*turnMS+firstMS, int64(l.Workers)*milliCPU)
		total += float64(inTime) + lateWorth*float64(len(jobs)-inTime)
	}
	return total / float64(max(len(arrivals), 1))
}

// due is a job's work and the time by which it counts in full.
type due struct{ at, work int64 }

// mostInTime counts the jobs that can be in time: by their due times each is
// taken, and whenever that is too much the one with the most work is dropped.
func mostInTime(jobs []due, start, rate int64) int {
	slices.SortFunc(jobs, func(a, b due) int { return cmp.Compare(a.at, b.at) })
	var taken []int64
	sum := int64(0)
	for _, j := range jobs {
		taken = append(taken, j.work)
		sum += j.work
		if sum > (j.at-start)*rate {
			i := slices.Index(taken, slices.Max(taken))
			sum -= taken[i]
			taken = slices.Delete(taken, i, i+1)
		}
	}
	return len(taken)
}
