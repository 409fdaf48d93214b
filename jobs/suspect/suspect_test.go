package suspect

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// run returns a run of a task that was suspected of immediate crashes.
func run(ageMS int64, crashes int) Run {
	return Run{History: History{Crashes: crashes, Prompt: crashes, Suspicions: crashes, Immediate: crashes}, AgeMS: ageMS}
}

// The load of the incident: three tasks of one job are started on a worker that
// runs older ones; the first of them crashes it and each worker after it.
func TestOnlyTheTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	first := Assess(Loss{Crashed: true, Runs: []Run{run(10, 0), run(12, 0), run(9, 0), run(700, 0), run(60_000, 0)}})
	once := History{Crashes: 1, Prompt: 1, Suspicions: 1, Immediate: 1}
	assert.Equal(t, []Verdict{{History: once}, {History: once}, {History: once}, {History: History{Crashes: 1}}, {}}, first)
	assert.Equal(t, Separate, first[0].History.Isolation())
	assert.Equal(t, Unrestricted, first[3].History.Isolation(), "a run that was older than the last ones is not suspected")

	second := Assess(Loss{Crashed: true, Runs: []Run{{History: first[0].History, AgeMS: 10}, run(600, 0), run(900, 1)}})
	assert.Equal(t, History{Crashes: 2, Prompt: 2, Suspicions: 2, Immediate: 2}, second[0].History)
	assert.Equal(t, History{}, second[1].History, "the suspect explains the crash")
	assert.Equal(t, 1, second[2].History.Crashes)
	assert.Equal(t, Alone, second[0].History.Isolation())

	third := Assess(Loss{Crashed: true, Runs: []Run{{History: second[0].History, AgeMS: 10}, run(12_000, 0)}})
	assert.True(t, third[0].GiveUp)
	assert.False(t, third[1].GiveUp)
}

func TestTaskIsNotGivenUpOnUncertainGrounds(t *testing.T) {
	for name, l := range map[string]Loss{
		"twice beside crashes":           {Crashed: true, Runs: []Run{run(10, 1)}},
		"nobody saw how it was lost":     {Runs: []Run{run(0, 3)}},
		"another task started beside it": {Crashed: true, Runs: []Run{run(10, 3), run(15, 0)}},
		"one crash not at once":          {Crashed: true, Runs: []Run{run(200, 2)}},
		"one crash long after the start": {Crashed: true, Runs: []Run{{History: History{Crashes: 3, Prompt: 3}, AgeMS: 600}}},
		"run had proved harmless":        {Crashed: true, Runs: []Run{run(HarmlessAfterMS, 4)}},
	} {
		assert.False(t, Assess(l)[0].GiveUp, name)
	}
}

// After a takeover all runs of the workers that had crashed meanwhile were
// suspected, 300 at once, and tested one by one.
func TestUnseenLossesMakeNoSuspects(t *testing.T) {
	for _, v := range Assess(Loss{Runs: []Run{run(0, 0), run(0, 0)}}) {
		assert.Equal(t, Verdict{History: History{Crashes: 1}}, v)
		assert.Equal(t, Unrestricted, v.History.Isolation())
	}
}

func TestCrashWithoutRecentStartMakesNoSuspects(t *testing.T) {
	v := Assess(Loss{Crashed: true, Runs: []Run{run(maxYoungestMS+1, 0), run(900, 0)}})
	assert.Equal(t, 0, v[0].History.Suspicions)
	assert.Equal(t, 1, v[1].History.Crashes)
}

// The platform allows two more starts after the third crash, whatever could be
// proved.
func TestTaskIsGivenUpInTimeWithoutProof(t *testing.T) {
	assert.True(t, Assess(Loss{Crashed: true, Runs: []Run{run(10, 4), run(15, 0)}})[0].GiveUp)
	assert.True(t, Assess(Loss{Runs: []Run{run(9_000, 4), run(8_000, 0)}})[0].GiveUp)
}

// A task that crashes its workers late is found although fresh starts beside it
// are suspected first.
func TestTaskThatCrashesItsWorkersLateIsIsolated(t *testing.T) {
	h := History{}
	for range maxCrashes - 1 {
		h = Assess(Loss{Crashed: true, Runs: []Run{{History: h, AgeMS: 1_500}, run(20, 0)}})[0].History
	}
	assert.Equal(t, Alone, h.Isolation())
	assert.True(t, Assess(Loss{Crashed: true, Runs: []Run{{History: h, AgeMS: 1_500}}})[0].GiveUp)
}

// Workers that were cut off with closed connections proved a task guilty (review/14).
func TestRefutableLossesProveNothing(t *testing.T) {
	for name, c := range map[string]struct {
		crashes, unproved, immediate int
		givenUp                      bool
	}{
		"fifth loss, none certain":                 {crashes: 4, unproved: 4},
		"fifth loss, one certain":                  {crashes: 4, unproved: 3},
		"fifth loss, two certain":                  {crashes: 4, unproved: 2, givenUp: true},
		"third immediate loss, the others as well": {crashes: 2, unproved: 2, immediate: 2},
		"third immediate loss, two certain":        {crashes: 2, immediate: 2},
	} {
		r := Run{History: History{Crashes: c.crashes, Immediate: c.immediate}, Unproved: History{Crashes: c.unproved, Immediate: min(c.unproved, c.immediate)}, AgeMS: 10}
		v := Assess(Loss{Crashed: true, Refutable: true, Runs: []Run{r}})[0]
		assert.Equal(t, c.givenUp, v.GiveUp, name)
		assert.Equal(t, c.crashes+1, v.History.Crashes, "%s: it counts for keeping suspects apart", name)
	}
	third := History{Crashes: 3, Immediate: 3}
	assert.True(t, third.GivenUp(History{}, true), "all proved")
	assert.False(t, third.GivenUp(History{Crashes: 1, Immediate: 1}, true))
	assert.False(t, third.GivenUp(History{}, false), "beside another young run")
}

func TestLossWithoutRunsHasNoVerdicts(t *testing.T) {
	assert.Empty(t, Assess(Loss{Crashed: true}))
}
