package shard

import (
	"slices"

	"wigeonwinch/jobs/spec"
)

// maxEstimateMS is the longest declared run time that counts, one day. Longer ones would
// overflow the sums of work.
const maxEstimateMS = 24 * 60 * 60 * 1000

// boundEstimates returns the steps with declared run times of at most maxEstimateMS.
func boundEstimates(steps []spec.Step) []spec.Step {
	long := func(s spec.Step) bool { return s.EstimateMS > maxEstimateMS }
	if !slices.ContainsFunc(steps, long) {
		return steps
	}
	steps = slices.Clone(steps)
	for i := range steps {
		steps[i].EstimateMS = min(steps[i].EstimateMS, maxEstimateMS)
	}
	return steps
}
