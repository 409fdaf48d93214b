package jobhost

import "sync/atomic"

const (
	// maxForwardedRequests bounds the requests of other nodes that are worked on. The other
	// handlers of the mesh stay free for orders, results and announcements.
	maxForwardedRequests = 384
	// forwardedFactor is how many times as much memory as its message a request takes up:
	// the message, its body, what is decoded and what the shard makes of it.
	forwardedFactor = 4
)

// The reasons, beside those for which jobs are refused, in the metric of bounds that are met.
const (
	reasonForwarded = "forwarded"
	reasonOrders    = "orders"
)

// forwardBudget bounds what the requests take up that other nodes forward to this one. It is
// safe for concurrent use.
type forwardBudget struct {
	// limit is in bytes; 0 means any number.
	limit       int64
	held, count atomic.Int64
}

// take reserves memory for a request with a message of n bytes. It returns nil if there is
// no room, and otherwise the function that releases it.
func (b *forwardBudget) take(n int) (release func()) {
	bytes := int64(n) * forwardedFactor
	held, count := b.held.Add(bytes), b.count.Add(1)
	release = func() {
		b.held.Add(-bytes)
		b.count.Add(-1)
	}
	if count > maxForwardedRequests || b.limit > 0 && held > b.limit {
		release()
		return nil
	}
	return release
}
