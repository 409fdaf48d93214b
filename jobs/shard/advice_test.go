package shard

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// advised returns a bench whose queue needs permits.
func advised(t *testing.T, workers int) *bench {
	b := newBench(t, workers)
	b.core.SetQueues([]Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600,
		Advice: &Advice{DecideMS: 50, EachMS: 5, ValidMS: 3_000}}, {Name: "free", Service: "s", MaxAttempts: 3, Stretch: 1.6, TargetMS: 600}})
	return b
}

// question returns the one question that was asked.
func question(t *testing.T, o Orders) Advise {
	t.Helper()
	require.Len(t, o.Advises, 1)
	return o.Advises[0]
}

func TestStartsOfAdvisedQueuesCarryTheirTickets(t *testing.T) {
	b := advised(t, 4)
	o := b.submit(jobOf(1, small(2)))
	assert.Empty(t, o.Starts, "no start without a permit")
	a := question(t, o)
	assert.Equal(t, Key{jobOf(1).ID, 0, 0, 0}, a.Key)
	assert.Len(t, a.Workers, 4)

	b.core.Advised(b.now, b.now-70, a, Advised{Permits: map[string]string{a.Workers[2]: "tk"}, ValidMS: 3_000}, true)
	b.step(1)
	o = b.core.Take()
	require.Len(t, o.Starts, 2)
	for _, s := range o.Starts {
		assert.Equal(t, a.Workers[2], s.Worker)
		assert.Equal(t, "tk", s.Ticket)
	}
	assert.Empty(t, o.Advises, "what is known is not asked again")
}

func TestExpiredAndRejectedPermitsAreAskedAgain(t *testing.T) {
	b := advised(t, 2)
	a := question(t, b.submit(jobOf(1, small(1))))
	b.core.Advised(b.now, b.now, a, Advised{Permits: map[string]string{"w0": "old"}, ValidMS: permitMarginMS}, true)
	b.step(1)
	again := question(t, b.core.Take())
	assert.Equal(t, []string{"w0"}, again.Workers, "a worker that may not run the step is not asked about again")

	b.core.Advised(b.now, b.now, again, Advised{Permits: map[string]string{"w0": "new"}, ValidMS: 3_000}, true)
	b.step(1)
	starts := b.core.Take().Starts
	require.Len(t, starts, 1)
	b.core.Started(b.now, starts[0], StartNoTicket)
	b.step(1)
	o := b.core.Take()
	assert.Empty(t, o.Starts)
	question(t, o)
}

func TestAQuestionWithoutAnAnswerIsAskedAgainAfterAPause(t *testing.T) {
	b := advised(t, 2)
	a := question(t, b.submit(jobOf(1, small(1))))
	b.core.Advised(b.now, b.now, a, Advised{}, false)
	b.step(1)
	assert.Empty(t, b.core.Take().Advises)
	b.step(adviceRetryMS)
	question(t, b.core.Take())
}

// Queues that need no permits must not wait behind those that do.
func TestOtherQueuesDoNotWaitForPermits(t *testing.T) {
	b := advised(t, 8)
	for i := range 6 {
		b.submit(jobOf(i, small(8)))
	}
	free := jobOf(99, small(3))
	free.Queue = "free"
	o := b.submit(free)
	assert.Len(t, o.Starts, 3)
}

func TestAQuestionNamesNoMoreWorkersThanItsTimeAllows(t *testing.T) {
	assert.Equal(t, 40, Advice{DecideMS: 50, EachMS: 5}.width(50))
	assert.Equal(t, 6, Advice{DecideMS: 50, EachMS: 5}.width(3))
	assert.Equal(t, adviceLeast, Advice{DecideMS: 900, EachMS: 5}.width(50))
	assert.Equal(t, adviceMost, Advice{}.width(5_000))
}
