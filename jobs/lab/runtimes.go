package lab

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// The run times of loads whose steps declare wrong run times: the mean of a step,
// its deviation and that of the tasks of one step, as logarithms.
const (
	stepMeanMS, stepDeviation, taskDeviation = 850, 0.5, 0.3
)

// The run times by which the production policy decides.
var (
	Declared = Policy{"declared", shard.Policy{RunTimes: shard.RunTimesDeclared}}
	Learned  = Policy{"learned", shard.Policy{}}
)

// True is the production policy with the true run times of all steps, which only
// an oracle knows.
func True(l Load) Policy {
	type times struct{ taskMS, longestMS int64 }
	known := map[string][]times{}
	return Policy{"true", shard.Policy{TrueTimes: func(j *spec.Job, step int) (taskMS, longestMS int64) {
		if known[j.ID] == nil {
			for s := range j.Steps {
				sum, longest := int64(0), int64(0)
				for t := range j.Steps[s].Count {
					runMS := l.runTime(shard.Key{Job: j.ID, Step: s, Index: t}, j.Steps[s].EstimateMS)
					sum, longest = sum+runMS, max(longest, runMS)
				}
				known[j.ID] = append(known[j.ID], times{sum / int64(j.Steps[s].Count), longest})
			}
		}
		return known[j.ID][step].taskMS, known[j.ID][step].longestMS
	}}}
}

// draw returns random numbers that depend on the seed and on a name only.
func (l Load) draw(name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s", l.Seed, name)
	return rand.New(rand.NewPCG(h.Sum64(), 7))
}

// trueStepMS returns the mean run time of a step's tasks.
func (l Load) trueStepMS(job string, step int) float64 {
	return stepMeanMS * math.Exp(stepDeviation*l.draw(fmt.Sprintf("%s/%d", job, step)).NormFloat64())
}

// misdeclare replaces the declared run times of a job by wrong ones: the tasks of
// a step share the error.
func (l Load) misdeclare(j *spec.Job) {
	for s := range j.Steps {
		factor := math.Exp(l.EstimateDeviation * l.draw(fmt.Sprintf("%s/%d/declared", j.ID, s)).NormFloat64())
		j.Steps[s].EstimateMS = int64(l.trueStepMS(j.ID, s) * factor)
	}
}

// runTimeOfStep returns how long a task of a step with a wrong declared run time
// takes.
func (l Load) runTimeOfStep(k shard.Key) float64 {
	r := l.draw(fmt.Sprintf("%s/%d/%d", k.Job, k.Step, k.Index))
	runMS := l.trueStepMS(k.Job, k.Step) * math.Exp(taskDeviation*r.NormFloat64())
	if r.Float64() < l.Stragglers {
		runMS = min(runMS*stragglerFactor, maxRunMS)
	}
	return runMS
}
