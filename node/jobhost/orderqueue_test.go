package jobhost

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Load pattern: a job with many tasks is placed, or cancelled, and its workers are slow. Each
// order had a goroutine and a request of its own that waited for a connection.
func TestOrdersWaitForTheirWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const orders, callTime = 200, 50 * time.Millisecond
		q := newOrderQueues()
		var sending, most, sent, dropped atomic.Int64
		for range orders {
			q.add("busy", workerOrder{
				deadline: time.Now().Add(orderTimeout),
				send: func() {
					most.Store(max(most.Load(), sending.Add(1)))
					time.Sleep(callTime)
					sending.Add(-1)
					sent.Add(1)
				},
				drop: func() { dropped.Add(1) },
			})
		}
		var other atomic.Bool
		q.add("other", workerOrder{deadline: time.Now().Add(orderTimeout), send: func() { other.Store(true) }})
		synctest.Wait()
		assert.True(t, other.Load(), "orders for another worker do not wait")
		time.Sleep(orders * callTime)
		assert.EqualValues(t, maxOrdersPerWorker, most.Load())
		assert.EqualValues(t, orders, sent.Load()+dropped.Load())
		assert.GreaterOrEqual(t, sent.Load(), int64(orderTimeout/callTime)*maxOrdersPerWorker, "sent until the deadline")
		assert.Positive(t, dropped.Load())
		assert.Empty(t, q.workers)
	})
}
