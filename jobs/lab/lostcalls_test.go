package lab

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// When one call to the workers in twenty gets no answer, looking for overdue polls and starts
// earns more than waiting for their time-outs, in the production order and first come, first served.
func TestOverdueCallsAreNoticedInTime(t *testing.T) {
	load := Load{Workers: 20, Seed: 1, Seconds: 20, Peak: 5, MeanShare: 0.2, LostShare: 0.05}
	firstTrusting := FirstCome
	firstTrusting.shardPolicy.TrustPolls = true
	checked := Run(load, Production)
	assert.Zero(t, checked.Violations)
	for _, waiting := range []Policy{TrustingPolls, firstTrusting} {
		assert.Greater(t, checked.Earned, 1.5*Run(load, waiting).Earned, waiting.Name)
	}
}

// BenchmarkLostCalls reports the share of the bound that is earned while one call in twenty
// gets no answer, with and without looking for overdue calls.
func BenchmarkLostCalls(b *testing.B) {
	for b.Loop() {
		load := Load{Workers: 50, Seed: 1, Seconds: 40, Peak: 5, MeanShare: 0.2, LostShare: 0.05}
		checked, trusting := Run(load, Production), Run(load, TrustingPolls)
		b.ReportMetric(checked.Earned/checked.UpperBound, "earned_of_bound")
		b.ReportMetric(trusting.Earned/trusting.UpperBound, "earned_of_bound_waiting")
	}
}
