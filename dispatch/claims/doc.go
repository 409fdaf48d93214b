// Package claims ensures that a request that is not repeatable runs at most
// once, regardless of which entry nodes receive copies of it.
//
// Every request id has one home node: an entry node in the id's home zone. The
// dispatching node claims the id at the home node before it sends any byte of
// the request to a worker. [Table] implements the home node and
// [ExecutionTracker] the dispatching node. Both are deterministic state
// machines that perform no I/O and do not read a clock; the caller passes in
// messages and the current time.
//
//	key := claims.NewKey(team, id)
//	zone := claims.HomeZone(key, zones)
//	home, _ := claims.HomeMember(key, members)
//	reply := table.Claim(now, claims.Claim{Key: key, Holder: self, Token: token})
//	if reply.Verdict == claims.Granted {
//		// queue the request and send it to a worker
//	}
package claims
