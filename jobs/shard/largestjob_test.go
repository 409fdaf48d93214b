package shard

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/spec"
)

// A valid job whose record the store refuses would be neither accepted nor refused: its
// caller would get no answer. What a record can't hold must not be valid.
func TestLargestValidJobFitsIntoItsRecord(t *testing.T) {
	h := newHarness(t, 4)
	var steps []spec.Step
	for i := range spec.MaxSteps {
		step := smallStep(spec.MaxTasks / spec.MaxSteps)
		step.Image = strings.Repeat("x", spec.MaxNameBytes/spec.MaxSteps)
		step.EstimateMS = 1 << 40
		for d := range i {
			step.After = append(step.After, d)
		}
		steps = append(steps, step)
	}
	j := testJob(1, steps...)
	j.Payload = strings.Repeat("x", spec.MaxPayloadBytes)
	require.NoError(t, j.Validate())
	h.core.Submit(h.now, 1, j)
	records := map[string][]byte{}
	h.stepAndStore(1, records)
	require.NotEmpty(t, records)
	h.takeOver(records)
}
