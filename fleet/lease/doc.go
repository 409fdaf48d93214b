// Package lease works out when a node may plan for a scope. The log orders the
// lease records of all nodes; this package says when to append one and how
// long to rely on it.
//
//	h := lease.NewHolder("fleet", "n1", lease.DefaultTiming())
//	if rec, ok := h.Next(now, view, tail); ok {
//		append(rec) // take or renew; a lost answer is harmless
//	}
//	epoch, err := h.Check(now, view)
//	if err == nil {
//		act(epoch) // check again before each act
//	}
//
// A holder counts its time from the moment before it sent the record, a node
// that waits counts from the moment it saw the record. So the holder stops
// first, whatever the log's delay. Time is an argument; the package reads no
// clock.
package lease
