package runtime

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// play shows the estimator runs of about a second whose guesses are off by
// the given share either way, and returns the mean error, on a log scale, of
// the guesses and of what is expected.
func play(off float64) (guessed, expected float64) {
	r := rand.New(rand.NewPCG(7, 7))
	var e Estimator
	n := 0.0
	for i := range 2_000 {
		took := 850 * math.Exp(0.5*r.NormFloat64())
		guess := took * math.Exp(off*r.NormFloat64())
		if i > 500 {
			n++
			guessed += math.Abs(math.Log(guess / took))
			expected += math.Abs(math.Log(float64(e.Expect(int64(guess))) / took))
		}
		e.Observe(int64(guess), int64(took))
	}
	return guessed / n, expected / n
}

func TestBadGuessesCountLess(t *testing.T) {
	for _, off := range []float64{0.5, 0.9} {
		guessed, expected := play(off)
		assert.Less(t, expected, 0.85*guessed, "off by %v", off)
	}
}

func TestGoodGuessesAreKept(t *testing.T) {
	guessed, expected := play(0.01)
	assert.Less(t, expected, guessed+0.02)
}

func TestGuessesStandUntilEnoughIsSeen(t *testing.T) {
	var e Estimator
	assert.Equal(t, int64(700), e.Expect(700))
	e.Observe(700, 70_000)
	assert.Equal(t, int64(700), e.Expect(700))
}

func TestEqualGuessesGiveTheUsualTime(t *testing.T) {
	var e Estimator
	for range 100 {
		e.Observe(500, 1_000)
	}
	assert.InDelta(t, 1_000, e.Expect(500), 2)
}
