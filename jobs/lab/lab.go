// Package lab runs seeded loads through the production scheduler with
// simulated store and workers, in virtual time, and compares scheduling
// policies.
//
//	r := lab.Run(lab.Load{Workers: 50, Seed: 1, Seconds: 60, Peak: 5}, lab.Production)
//	fmt.Println(r.Earned, r.UpperBound)
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

// Load is a seeded load on one pool whose demand alternates between peak and
// off-peak phases.
type Load struct {
	Workers int
	Seed    uint64
	Seconds int
	// Peak is the demand in the peak phase as a multiple of the mean demand;
	// in other phases it is 0.05. The mean demand is MeanShare of the pool's
	// capacity.
	Peak      float64
	MeanShare float64
	// EstimateDeviation is the deviation of the logarithm of the factor by which
	// declared run times are off; the tasks of a step share it. 0 means that each
	// run differs by itself from what was declared, by up to half. Stragglers is
	// the share of tasks that take many times as long, if EstimateDeviation is
	// set. TakeoverMS is the time between two changes of the owner; 0 means none.
	EstimateDeviation, Stragglers float64
	TakeoverMS                    int64
	// LostShare of the calls to workers get no answer and are carried out seconds later.
	LostShare float64
}

// The shape of the loads: the phases, job sizes and job values of the users'
// sites.
const (
	phaseMS = 4_500
	// phases is the number of phases in a cycle, one for each of four queues;
	// only the queue that peaks in the first phase is simulated.
	phases = 4
	// offPeak is the demand outside the peak phase as a multiple of the mean.
	offPeak = 0.05
	// workerMilliCPU and workerMemoryMB are the capacity of one worker.
	workerMilliCPU, workerMemoryMB = 16_000, 64_000
	// lateValue is the value of a job that misses its objective but completes
	// within lateFactor (three) times the objective. A job in time has the
	// value 1.
	lateValue, lateFactor = 0.07, 3
	// defaultMeanShare is the mean demand as a share of the capacity if the
	// load sets none. A peak of five times that demand is 2.5 times the pool's
	// capacity: the sites pass through this ratio between the start of a phase
	// (four times) and the end of the VM moves.
	defaultMeanShare = 0.5
	// failShare of the runs fail. Run times differ from their estimates by up
	// to half; stragglerShare of the tasks take stragglerFactor times as long,
	// at most maxRunMS.
	failShare, stragglerShare, stragglerFactor, maxRunMS = 0.002, 0.03, 7, 9_000
	// firstArrivalMS is when the first job may arrive: the workers are known
	// by then.
	firstArrivalMS = 1_000
	// windowMS is the length of the windows for Result.WorstWindow.
	windowMS = 4_000
	// drainMS is simulated after the last arrival, so that all jobs end.
	drainMS = 60_000
)

// Policy is a named scheduling policy.
type Policy struct {
	Name        string
	shardPolicy shard.Policy
}

// The policies that are compared.
var (
	Production            = Policy{"ours", shard.Policy{}}
	FirstCome             = Policy{"first-come", shard.Policy{Order: shard.OrderArrival, AdmitAll: true}}
	TrustingPolls         = Policy{"waits-for-time-outs", shard.Policy{TrustPolls: true}}
	Shortest              = Policy{"shortest", shard.Policy{Order: shard.OrderShortestPath, AdmitAll: true}}
	FirstComeWithRefusals = Policy{"first-come-with-refusals", shard.Policy{Order: shard.OrderArrival}}
	Policies              = []Policy{Production, FirstComeWithRefusals, Shortest, FirstCome}
)

// Result is the outcome of a load under a policy.
type Result struct {
	Policy string `json:"policy"`
	Jobs   int    `json:"jobs"`
	// Earned is the earned share of the value of all jobs, WorstWindow that of
	// the worst window, LargestTenth that of the largest tenth of jobs.
	Earned       float64 `json:"earned"`
	WorstWindow  float64 `json:"worst_window"`
	LargestTenth float64 `json:"largest_tenth"`
	// Refusals counts refused submissions, AcceptedAfterRefusal the jobs that
	// were accepted after a refusal.
	Refusals             int `json:"refusals"`
	AcceptedAfterRefusal int `json:"taken_later"`
	// UpperBound is an upper bound on Earned for any policy, even one that
	// knows all future arrivals.
	UpperBound float64 `json:"bound"`
	// Violations counts invariant violations; it must be 0.
	Violations int `json:"broken"`
}

// arrival is a job and its arrival time. Its work and its objective are
// computed from the actual run times, not from the estimates.
type arrival struct {
	atMS, work, objectiveMS int64
	job                     spec.Job
}

// Run simulates a load under a policy.
func Run(l Load, p Policy) Result {
	arrivals := l.generateArrivals()
	w := model.New(model.Options{Seed: l.Seed, Workers: l.Workers, MilliCPU: workerMilliCPU, MemoryMB: workerMemoryMB, FailShare: failShare, Policy: p.shardPolicy,
		TakeoverIntervalMS: l.TakeoverMS, DelayedShare: l.LostShare, FaultsUntilMS: int64(l.Seconds) * 1000, LongPolls: l.LostShare > 0,
		RunTime: func(k shard.Key, st *spec.Step) int64 { return l.runTime(k, st.EstimateMS) }})
	for _, a := range arrivals {
		w.Schedule(a.atMS, func() { w.Submit(a.job) })
	}
	w.Run(int64(l.Seconds)*1000 + drainMS)
	r := Result{Policy: p.Name, Jobs: len(arrivals), UpperBound: l.upperBound(arrivals), Violations: len(w.Violations)}
	r.summarize(arrivals, w.Results())
	return r
}

// generateArrivals draws the jobs: mostly short ones of one or two steps, a
// few wide or long ones.
func (l Load) generateArrivals() []arrival {
	r := rand.New(rand.NewPCG(l.Seed, 5))
	share := l.MeanShare
	if share == 0 {
		share = defaultMeanShare
	}
	const meanJobWork = 1.6 * 8 * 1_500 * 850
	perMS := share * float64(l.Workers) * workerMilliCPU / meanJobWork
	var list []arrival
	for at := 0.0; ; {
		factor := offPeak
		if int64(at)/phaseMS%phases == 0 {
			factor = l.Peak
		}
		at += r.ExpFloat64() / (perMS * factor)
		if at >= float64(l.Seconds)*1000 {
			return list
		}
		a := arrival{atMS: int64(at) + firstArrivalMS, job: randomJob(r, len(list))}
		if l.EstimateDeviation > 0 {
			l.misdeclare(&a.job)
		}
		pathMS, work := l.actualCost(&a.job)
		a.work, a.objectiveMS = work, int64(model.Stretch*float64(pathMS))+model.TargetMS
		list = append(list, a)
	}
}

func randomJob(r *rand.Rand, i int) spec.Job {
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

// runTime returns how long a task runs; it is the same for every run of the
// task.
func (l Load) runTime(k shard.Key, estimateMS int64) int64 {
	if l.EstimateDeviation > 0 {
		return int64(l.runTimeOfStep(k))
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s/%d/%d", l.Seed, k.Job, k.Step, k.Index)
	r := rand.New(rand.NewPCG(h.Sum64(), 7))
	runMS := float64(estimateMS) * (0.5 + r.Float64())
	if r.Float64() < stragglerShare {
		runMS = min(runMS*stragglerFactor, maxRunMS)
	}
	return int64(runMS)
}

// actualCost returns the critical path and the total work of a job from the
// actual run times. Each step waits for the one before it.
func (l Load) actualCost(j *spec.Job) (pathMS, work int64) {
	for s := range j.Steps {
		longest := int64(0)
		for t := range j.Steps[s].Count {
			runMS := l.runTime(shard.Key{Job: j.ID, Step: s, Index: t}, j.Steps[s].EstimateMS)
			longest = max(longest, runMS)
			work += runMS * int64(j.Steps[s].Need.MilliCPU)
		}
		pathMS += longest
	}
	return pathMS, work
}

// valueShare returns the share of its value that a job earned.
func (a *arrival) valueShare(r *model.Result) float64 {
	elapsedMS := r.CompletedMS - r.SubmittedMS
	switch {
	case r.CompletedMS == 0 || elapsedMS > lateFactor*a.objectiveMS:
		return 0
	case elapsedMS > a.objectiveMS:
		return lateValue
	}
	return 1
}

// summarize fills in the shares earned and the refusals.
func (r *Result) summarize(arrivals []arrival, results []model.Result) {
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
		earned := byID[res.Job.ID].valueShare(res)
		all = append(all, rated{res.Job.Work(), earned})
		r.Earned += earned
		windows[res.SubmittedMS/windowMS] = append(windows[res.SubmittedMS/windowMS], earned)
		r.Refusals += res.Refusals
		if res.Accepted && res.Refusals > 0 {
			r.AcceptedAfterRefusal++
		}
	}
	r.Earned /= float64(max(len(results), 1))
	r.WorstWindow = 1
	for _, shares := range windows {
		r.WorstWindow = min(r.WorstWindow, mean(shares))
	}
	slices.SortStableFunc(all, func(a, b rated) int { return cmp.Compare(b.work, a.work) })
	var large []float64
	for _, j := range all[:len(all)/10] {
		large = append(large, j.earned)
	}
	r.LargestTenth = mean(large)
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}

// upperBound returns a share that no policy can exceed, even one that knows
// all future arrivals. For each peak phase it counts the most jobs that can be
// in time on a pool without waits and gaps if all of them arrived at the start
// of the phase (Moore-Hodgson algorithm). All jobs outside peak phases count.
func (l Load) upperBound(arrivals []arrival) float64 {
	byPhase := map[int64][]dueJob{}
	total := 0.0
	for i := range arrivals {
		a := &arrivals[i]
		n := (a.atMS - firstArrivalMS) / phaseMS
		if n%phases != 0 {
			total++
			continue
		}
		byPhase[n] = append(byPhase[n], dueJob{a.atMS + a.objectiveMS, a.work})
	}
	for n, jobs := range byPhase {
		inTime := maxInTime(jobs, n*phaseMS+firstArrivalMS, int64(l.Workers)*workerMilliCPU)
		total += float64(inTime) + lateValue*float64(len(jobs)-inTime)
	}
	return total / float64(max(len(arrivals), 1))
}

// dueJob is a job's work and its deadline for the full value.
type dueJob struct{ deadlineMS, work int64 }

// maxInTime counts the jobs that can be in time. It adds jobs in order of
// their deadlines and, whenever they exceed the time available, drops the one
// with the most work.
func maxInTime(jobs []dueJob, startMS, rate int64) int {
	slices.SortFunc(jobs, func(a, b dueJob) int { return cmp.Compare(a.deadlineMS, b.deadlineMS) })
	var selected []int64
	sum := int64(0)
	for _, j := range jobs {
		selected = append(selected, j.work)
		sum += j.work
		if sum > (j.deadlineMS-startMS)*rate {
			i := slices.Index(selected, slices.Max(selected))
			sum -= selected[i]
			selected = slices.Delete(selected, i, i+1)
		}
	}
	return len(selected)
}
