package spec

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func validJob(steps ...Step) Job { return Job{ID: "0123456789abcdef", Queue: "q", Steps: steps} }

// A job is refused whose record would be longer than the store and the reader of records
// admit: lists of dependencies and names had no bound.
func TestValidateBoundsTheRecord(t *testing.T) {
	cases := map[string]struct {
		job   Job
		valid bool
	}{
		"each earlier step once":     {validJob(Step{Count: 1}, Step{Count: 1}, Step{Count: 1, After: []int{0, 1}}), true},
		"one step named repeatedly":  {validJob(Step{Count: 1}, Step{Count: 1, After: make([]int, 10_000)}), false},
		"names up to the bound":      {validJob(Step{Count: 1, Label: strings.Repeat("x", MaxNameBytes)}), true},
		"names beyond the bound":     {validJob(Step{Count: 1, Image: strings.Repeat("x", MaxNameBytes)}, Step{Count: 1, DataRack: "r"}), false},
		"as many tasks as are valid": {validJob(Step{Count: MaxTasksPerStep}, Step{Count: MaxTasksPerStep}), true},
		"one task more":              {validJob(Step{Count: MaxTasksPerStep}, Step{Count: MaxTasksPerStep}, Step{Count: 1}), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := c.job.Validate()
			assert.Equal(t, c.valid, err == nil, "%v", err)
		})
	}
}
