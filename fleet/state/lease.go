package state

import "wigeonwinch/fleet/structs"

// Limits on leases.
const (
	// maxLeaseScopes bounds the number of scopes that are remembered.
	maxLeaseScopes = 1024
	// maxFirstSequence is the largest sequence number of a take.
	maxFirstSequence = 1
)

// applyLease takes, renews or releases a lease.
func (s *State) applyLease(writer string, l *structs.Lease) *Refusal {
	if out := checkLease(writer, l); out != nil {
		return out
	}
	now, held := s.leases.get(l.Scope)
	if !held && len(s.leases.items) >= maxLeaseScopes {
		return refuse(structs.VoidInvalid, "there are %d lease scopes already: use one of them", maxLeaseScopes)
	}
	var out *Refusal
	if l.Epoch == now.Epoch && held {
		out = checkRenewal(now, l)
	} else {
		out = checkTake(now, l)
	}
	if out != nil {
		return out
	}
	s.leases.put(l.Scope, *l)
	return nil
}

func checkLease(writer string, l *structs.Lease) *Refusal {
	if l.Scope == "" || len(l.Scope) > maxTextBytes || l.Holder == "" || len(l.Holder) > maxTextBytes {
		return refuse(structs.VoidInvalid, "the lease needs a scope and a holder of 1 to %d bytes", maxTextBytes)
	}
	if l.Holder != writer {
		return refuse(structs.VoidNotHolder, "%s appended a lease for %s: each node appends its own", shown(writer), shown(l.Holder))
	}
	if l.TTLMS == 0 && !l.Release {
		return refuse(structs.VoidInvalid, "the lease needs a time to live above 0 ms")
	}
	return nil
}

// checkTake checks a lease record that names another epoch than the current.
func checkTake(now structs.Lease, l *structs.Lease) *Refusal {
	if l.Epoch != now.Epoch+1 {
		return refuse(structs.VoidStale, "scope %s is at epoch %d: take it with epoch %d", shown(l.Scope), now.Epoch, now.Epoch+1)
	}
	if l.Release {
		return refuse(structs.VoidNotHolder, "scope %s is not held by %s, which can't release it", shown(l.Scope), shown(l.Holder))
	}
	if l.Seen != 0 && l.Seen != now.Sequence && !now.Release {
		return refuse(structs.VoidStale, "scope %s was renewed to sequence %d: wait until that lapses", shown(l.Scope), now.Sequence)
	}
	if l.Sequence > maxFirstSequence {
		return refuse(structs.VoidInvalid, "take a lease with sequence 0 or 1, not %d", l.Sequence)
	}
	return nil
}

// checkRenewal checks a lease record that names the current epoch.
func checkRenewal(now structs.Lease, l *structs.Lease) *Refusal {
	if now.Holder != l.Holder {
		return refuse(structs.VoidStale, "epoch %d of scope %s belongs to %s: wait and take the next", now.Epoch, shown(l.Scope), shown(now.Holder))
	}
	if now.Release {
		return refuse(structs.VoidStale, "epoch %d of scope %s was released: take the next", now.Epoch, shown(l.Scope))
	}
	if l.Sequence != now.Sequence+1 {
		return refuse(structs.VoidStale, "scope %s is at sequence %d: renew with %d", shown(l.Scope), now.Sequence, now.Sequence+1)
	}
	return nil
}

// holds checks that a writer holds a scope in an epoch.
func (s *State) holds(writer, scope string, epoch structs.Epoch) *Refusal {
	now, ok := s.leases.get(scope)
	if !ok {
		return refuse(structs.VoidNotHolder, "nobody holds scope %s: take its lease first", shown(scope))
	}
	if now.Epoch != epoch {
		return refuse(structs.VoidStale, "scope %s is at epoch %d, the record names %d: take the lease again", shown(scope), now.Epoch, epoch)
	}
	if now.Holder != writer || now.Release {
		return refuse(structs.VoidNotHolder, "%s does not hold scope %s: take its lease first", shown(writer), shown(scope))
	}
	return nil
}
