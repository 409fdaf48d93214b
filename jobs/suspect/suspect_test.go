package suspect

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func run(ageMS int64, crashes int, suspected bool) Run {
	h := History{Crashes: crashes, Suspected: suspected}
	if crashes > 0 {
		h.MaxAgeMS = 10
	}
	return Run{History: h, AgeMS: ageMS}
}

// The load of the incident: three tasks of one job are started on a worker that
// runs older ones; the first of them crashes it and each worker after it.
func TestOnlyTheTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	first := Assess(Loss{Crashed: true, Runs: []Run{run(10, 0, false), run(12, 0, false), run(9, 0, false), run(700, 0, false), run(60_000, 0, false)}})
	assert.Equal(t, []Verdict{
		{History: History{Crashes: 1, Suspected: true, MaxAgeMS: 10}}, {History: History{Crashes: 1, Suspected: true, MaxAgeMS: 12}},
		{History: History{Crashes: 1, Suspected: true, MaxAgeMS: 9}}, {History: History{Crashes: 1, MaxAgeMS: 700}}, {},
	}, first)
	assert.Equal(t, Separate, first[0].History.Isolation())
	assert.Equal(t, Unrestricted, first[3].History.Isolation(), "a run that was older than the last ones is not suspected")

	second := Assess(Loss{Crashed: true, Runs: []Run{{History: first[0].History, AgeMS: 10}, run(600, 0, false), run(900, 1, false)}})
	assert.Equal(t, History{Crashes: 2, Suspected: true, MaxAgeMS: 10}, second[0].History)
	assert.Equal(t, History{}, second[1].History, "the suspect explains the crash")
	assert.Equal(t, 1, second[2].History.Crashes)
	assert.Equal(t, Alone, second[0].History.Isolation())

	third := Assess(Loss{Crashed: true, Runs: []Run{{History: second[0].History, AgeMS: 10}, run(12_000, 0, false)}})
	assert.True(t, third[0].GiveUp)
	assert.False(t, third[1].GiveUp)
}

func TestTaskIsNotGivenUpOnUncertainGrounds(t *testing.T) {
	for name, l := range map[string]Loss{
		"twice beside crashes":           {Crashed: true, Runs: []Run{run(10, 1, true)}},
		"worker perhaps only cut off":    {Runs: []Run{run(10, 2, true)}},
		"another task started beside it": {Crashed: true, Runs: []Run{run(10, 3, true), run(15, 0, false)}},
		"one crash not at once":          {Crashed: true, Runs: []Run{run(500, 2, true)}},
		"one crash long after the start": {Crashed: true, Runs: []Run{run(3_000, 3, true)}},
		"run had proved harmless":        {Crashed: true, Runs: []Run{run(HarmlessAfterMS, 4, true)}},
	} {
		assert.False(t, Assess(l)[0].GiveUp, name)
	}
}

// The platform allows two more starts after the third crash, whatever could be
// proved.
func TestTaskIsGivenUpInTimeWithoutProof(t *testing.T) {
	assert.True(t, Assess(Loss{Crashed: true, Runs: []Run{run(10, 4, true), run(15, 0, false)}})[0].GiveUp)
	assert.True(t, Assess(Loss{Runs: []Run{run(9_000, 4, true), run(8_000, 0, false)}})[0].GiveUp)
}

// A task that crashes its workers late is found although fresh starts beside it
// are suspected first.
func TestTaskThatCrashesItsWorkersLateIsIsolated(t *testing.T) {
	h := History{}
	for range 3 {
		h = Assess(Loss{Crashed: true, Runs: []Run{{History: h, AgeMS: 1_500}, run(20, 0, false)}})[0].History
	}
	assert.Equal(t, Alone, h.Isolation())
	assert.True(t, Assess(Loss{Crashed: true, Runs: []Run{{History: h, AgeMS: 1_500}}})[0].GiveUp)
}

func TestLossWithoutRunsHasNoVerdicts(t *testing.T) {
	assert.Empty(t, Assess(Loss{Crashed: true}))
}
