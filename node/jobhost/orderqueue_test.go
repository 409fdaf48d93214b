package jobhost

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Load pattern: a job with many tasks is placed, or cancelled, and its workers are slow. Each
// order had a goroutine and a request of its own that waited for a connection.
func TestOrdersWaitForTheirWorker(t *testing.T) {
	const inTime, late = 100, 50
	q := newOrderQueues()
	proceed := make(chan struct{})
	var sending, most, sent, dropped atomic.Int64
	order := func(deadline time.Time) workerOrder {
		return workerOrder{
			deadline: deadline,
			send: func() {
				sending.Add(1)
				<-proceed
				if n := sending.Load(); n > most.Load() {
					most.Store(n)
				}
				sending.Add(-1)
				sent.Add(1)
			},
			drop: func() { dropped.Add(1) },
		}
	}
	for range inTime {
		q.add("busy", order(time.Now().Add(time.Hour)))
	}
	for range late {
		q.add("busy", order(time.Now().Add(-time.Hour)))
	}
	other := make(chan struct{})
	q.add("other", workerOrder{deadline: time.Now().Add(time.Hour), send: func() { close(other) }})
	<-other
	require.Eventually(t, func() bool { return sending.Load() == maxOrdersPerWorker }, time.Minute, time.Millisecond)
	close(proceed)
	idle := func() bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		return len(q.workers) == 0
	}
	require.Eventually(t, idle, time.Minute, time.Millisecond)
	assert.LessOrEqual(t, most.Load(), int64(maxOrdersPerWorker))
	assert.EqualValues(t, inTime, sent.Load())
	assert.EqualValues(t, late, dropped.Load(), "their deadline had passed")
}
