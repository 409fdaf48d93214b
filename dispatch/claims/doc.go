// Package claims decides that a request which is not repeatable runs at most
// once, whichever entry node its copies arrive at.
//
// Every request id has one home: a zone, and in it one entry node. The
// dispatching node claims the id at its home before it sends any byte of the
// work. Table is the home's side, Book the dispatching side. Both are pure
// state machines: messages and times go in, replies come out.
//
//	key := claims.KeyOf(team, id)
//	zone := claims.HomeZone(key, zones)
//	home, _ := claims.HomeMember(key, members)
//	reply := table.Claim(now, claims.Claim{Key: key, Holder: self, Token: token})
//	if reply.Verdict == claims.Granted {
//		// queue and send the work
//	}
package claims
