// Package lease decides when a node may act as the planner of a scope. The log
// orders the lease records of all nodes. This package decides when a node
// appends a record and for how long the node may rely on it.
//
//	h := lease.NewHolder("fleet", "n1", lease.DefaultTiming())
//	if rec, ok := h.NextRecord(now, view, tailReadAt); ok {
//		append(rec) // acquires or renews; safe to repeat if the response is lost
//	}
//	epoch, err := h.Check(now, view)
//	if err == nil {
//		act(epoch) // call Check again before each action
//	}
//
// The holder measures its lease from the time before it first sent the record.
// Every other node measures it from the time it observed the record. The
// holder therefore always stops before another node takes over, however slow
// the log is. The current time is an argument; the package does not read a
// clock.
package lease
