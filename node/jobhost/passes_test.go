package jobhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// With an event every 200 us and passes of 4 ms, as at the owner of 270 workers
// in a peak, passes must leave half of the time to the events themselves.
func TestPassesLeaveTimeForEvents(t *testing.T) {
	const pass, event = 4 * time.Millisecond, 200 * time.Microsecond
	var pacer passPacer
	now := time.Unix(0, 0)
	passing, passes := time.Duration(0), 0
	for end := now.Add(time.Second); now.Before(end); now = now.Add(event) {
		if pacer.remaining(now) > 0 {
			continue
		}
		pacer.passed(now, now.Add(pass))
		now = now.Add(pass)
		passing += pass
		passes++
	}
	assert.LessOrEqual(t, passing, 520*time.Millisecond)
	assert.GreaterOrEqual(t, passes, 100, "events wait for a few milliseconds at most")
}

// At the owner of 250 workers in a peak, a pass of 0.3 ms for each of some 1,500 events a second
// took half of the processor.
func TestShortPassesServeSeveralEvents(t *testing.T) {
	const pass, event = 300 * time.Microsecond, 200 * time.Microsecond
	var pacer passPacer
	now := time.Unix(0, 0)
	passing := time.Duration(0)
	for end := now.Add(time.Second); now.Before(end); now = now.Add(event) {
		if pacer.remaining(now) > 0 {
			continue
		}
		pacer.passed(now, now.Add(pass))
		assert.LessOrEqual(t, pacer.remaining(now.Add(pass)), shortPassPause)
		now = now.Add(pass)
		passing += pass
	}
	assert.LessOrEqual(t, passing, 150*time.Millisecond)
}

// A suspension of the VM during a pass must not delay the next one for as long.
func TestSuspensionDoesNotDelayTheNextPass(t *testing.T) {
	var pacer passPacer
	began := time.Unix(0, 0)
	pacer.passed(began, began.Add(5*time.Second))
	assert.Equal(t, maxPassPause, pacer.remaining(began.Add(5*time.Second)))
}
