package expect

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// randomStep draws a step like those of the users' sites: its tasks take about
// 640 ms, and the declared run time is off by a factor that all of them share.
func randomStep(r *rand.Rand, customer string) (Step, Outcome) {
	mean := 640 * math.Exp(0.5*r.NormFloat64())
	s := Step{Queue: "lint", Customer: customer, Count: 8, DeclaredMS: int64(mean * math.Exp(0.55*r.NormFloat64()))}
	return s, Outcome{MeanMS: int64(mean), LongestMS: int64(1.4 * mean)}
}

// teach observes random steps of a customer whose run times are off by a factor.
func teach(l *Learner, r *rand.Rand, steps int, customer string, factor float64) {
	for range steps {
		s, o := randomStep(r, customer)
		o.MeanMS, o.LongestMS = int64(factor*float64(o.MeanMS)), int64(factor*float64(o.LongestMS))
		l.Observe(0, s, o)
	}
}

// predictionErrors returns the mean square errors of the logarithms of declared
// and expected run times.
func predictionErrors(l *Learner, r *rand.Rand, steps int) (declared, expected float64) {
	for range steps {
		s, o := randomStep(r, "")
		declared += math.Pow(math.Log(float64(s.DeclaredMS)/float64(o.MeanMS)), 2) / float64(steps)
		expected += math.Pow(math.Log(float64(l.Expect(s).TaskMS)/float64(o.MeanMS)), 2) / float64(steps)
	}
	return declared, expected
}

// The load on which declared run times mislead: short steps that declare much and
// long ones that declare little.
func TestExpectedRunTimesAreCloserThanDeclaredOnes(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	l := New()
	teach(l, r, 300, "", 1)
	declared, expected := predictionErrors(l, r, 500)
	assert.Less(t, expected, 0.6*declared)
	e := l.Expect(Step{Queue: "lint", Count: 8, DeclaredMS: 640})
	assert.InEpsilon(t, 1.4, float64(e.LongestMS)/float64(e.TaskMS), 0.2)
	assert.Equal(t, FromQueue, e.Source)
	stats, ok := l.QueueStats("lint")
	assert.True(t, ok)
	assert.Less(t, stats.ExpectedFactor, stats.DeclaredFactor)
}

func BenchmarkPredictionError(b *testing.B) {
	for b.Loop() {
		for _, steps := range []int{20, 100, 1000} {
			r := rand.New(rand.NewPCG(2, 2))
			l := New()
			teach(l, r, steps, "", 1)
			declared, expected := predictionErrors(l, r, 2000)
			b.ReportMetric(math.Sqrt(declared), "declared_rms")
			b.ReportMetric(math.Sqrt(expected), "expected_rms_after_"+strconv.Itoa(steps))
		}
	}
}

func TestDeclaredRunTimesAreUsedUntilEnoughStepsFinished(t *testing.T) {
	l := New()
	s := Step{Queue: "lint", Count: 1, DeclaredMS: 500}
	for i := range minSteps {
		assert.Equal(t, Expectation{Source: FromDeclared, TaskMS: 500, P90MS: 500, LongestMS: 500}, l.Expect(s))
		assert.Equal(t, i == minSteps-1, l.Observe(0, s, Outcome{MeanMS: 100, LongestMS: 100}))
	}
	assert.InEpsilon(t, 100, l.Expect(s).TaskMS, 0.3)
	assert.Equal(t, FromDeclared, l.Expect(Step{Queue: "other", DeclaredMS: 500}).Source)
}

func TestOddRunsOfOneCustomerDoNotMisleadOthers(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	l := New()
	for i := range 8 {
		teach(l, r, 40, "customer-"+strconv.Itoa(i), 1)
	}
	step := Step{Queue: "lint", Customer: "customer-0", Count: 8, DeclaredMS: 640}
	before, newcomer := l.Expect(step), Step{Queue: "lint", Customer: "new", Count: 8, DeclaredMS: 640}
	newcomerBefore := l.Expect(newcomer)
	teach(l, r, 3000, "odd", 8)
	assert.Equal(t, before.TaskMS, l.Expect(step).TaskMS)
	assert.Equal(t, FromCustomer, before.Source)
	assert.Equal(t, FromQueue, newcomerBefore.Source)
	assert.InEpsilon(t, newcomerBefore.LongestMS, l.Expect(newcomer).LongestMS, 0.25)
}

func TestImagesHaveHistoriesOfTheirOwn(t *testing.T) {
	l := New()
	short, long := Step{Queue: "lint", Image: "short", DeclaredMS: 500}, Step{Queue: "lint", Image: "long", DeclaredMS: 500}
	for range 2 * minSteps {
		l.Observe(0, short, Outcome{MeanMS: 100, LongestMS: 100})
		l.Observe(0, long, Outcome{MeanMS: 2000, LongestMS: 2000})
	}
	assert.InEpsilon(t, 100, l.Expect(short).TaskMS, 0.3)
	assert.InEpsilon(t, 2000, l.Expect(long).TaskMS, 0.3)
	assert.Equal(t, FromImage, l.Expect(long).Source)
}

// A caller that invents images pushes out its own histories only.
func TestInventedImagesDoNotPushOutOtherCustomers(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	l := New()
	teach(l, r, 40, "calm", 1)
	for i := range 5000 {
		l.Observe(0, Step{Queue: "lint", Customer: "inventive", Image: strconv.Itoa(i), DeclaredMS: 500}, Outcome{MeanMS: 100, LongestMS: 100})
	}
	assert.Equal(t, FromCustomer, l.Expect(Step{Queue: "lint", Customer: "calm", DeclaredMS: 640}).Source)
	assert.LessOrEqual(t, l.Histories(), 2*maxHistories+1)
	for i := range 200 {
		l.Observe(0, Step{Queue: "lint", Customer: strconv.Itoa(i), DeclaredMS: 500}, Outcome{MeanMS: 100, LongestMS: 100})
	}
	assert.LessOrEqual(t, l.customers.len(), maxCustomers)
}
