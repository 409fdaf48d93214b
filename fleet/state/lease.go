package state

import "wigeonwinch/fleet/structs"

// Limits on leases.
const (
	// maxLeaseScopes limits the number of lease scopes in the state.
	maxLeaseScopes = 1024
	// maxAcquireSequence is the largest sequence number of an acquisition.
	maxAcquireSequence = 1
)

// applyLease acquires, renews or releases a lease.
func (s *State) applyLease(writer string, l *structs.Lease) *Refusal {
	if refusal := validateLease(writer, l); refusal != nil {
		return refusal
	}
	current, held := s.leases.get(l.Scope)
	if !held && len(s.leases.items) >= maxLeaseScopes {
		return refuse(structs.VoidInvalid, "limit of %d lease scopes is reached: use an existing scope", maxLeaseScopes)
	}
	var refusal *Refusal
	if l.Epoch == current.Epoch && held {
		refusal = checkRenewal(current, l)
	} else {
		refusal = checkAcquire(current, l)
	}
	if refusal != nil {
		return refusal
	}
	s.leases.put(l.Scope, *l)
	return nil
}

func validateLease(writer string, l *structs.Lease) *Refusal {
	if l.Scope == "" || len(l.Scope) > maxTextBytes || l.Holder == "" || len(l.Holder) > maxTextBytes {
		return refuse(structs.VoidInvalid, "lease needs a scope and a holder of 1 to %d bytes", maxTextBytes)
	}
	if l.Holder != writer {
		return refuse(structs.VoidNotHolder, "%s appended a lease record for %s: a node may append only its own", quoteText(writer), quoteText(l.Holder))
	}
	if l.TTLMS == 0 && !l.Release {
		return refuse(structs.VoidInvalid, "lease needs a TTL above 0 ms")
	}
	return nil
}

// checkAcquire checks a lease record that acquires the lease: its epoch is not
// the current one.
func checkAcquire(current structs.Lease, l *structs.Lease) *Refusal {
	if l.Epoch != current.Epoch+1 {
		return refuse(structs.VoidStale, "lease of scope %s is at epoch %d: acquire it with epoch %d", quoteText(l.Scope), current.Epoch, current.Epoch+1)
	}
	if l.Release {
		return refuse(structs.VoidNotHolder, "lease of scope %s is not held by %s, which can't release it", quoteText(l.Scope), quoteText(l.Holder))
	}
	if l.ObservedSequence != 0 && l.ObservedSequence != current.Sequence && !current.Release {
		return refuse(structs.VoidStale, "lease of scope %s was renewed with sequence %d: wait until it expires", quoteText(l.Scope), current.Sequence)
	}
	if l.Sequence > maxAcquireSequence {
		return refuse(structs.VoidInvalid, "acquire a lease with sequence 0 or 1, not %d", l.Sequence)
	}
	return nil
}

// checkRenewal checks a lease record that names the current epoch.
func checkRenewal(current structs.Lease, l *structs.Lease) *Refusal {
	if current.Holder != l.Holder {
		return refuse(structs.VoidStale, "epoch %d of scope %s is held by %s: wait until it expires and acquire the next epoch", current.Epoch, quoteText(l.Scope), quoteText(current.Holder))
	}
	if current.Release {
		return refuse(structs.VoidStale, "epoch %d of scope %s was released: acquire the next epoch", current.Epoch, quoteText(l.Scope))
	}
	if l.Sequence != current.Sequence+1 {
		return refuse(structs.VoidStale, "lease of scope %s is at sequence %d: renew it with sequence %d", quoteText(l.Scope), current.Sequence, current.Sequence+1)
	}
	return nil
}

// checkHolder checks that the writer holds the lease of a scope in an epoch.
func (s *State) checkHolder(writer, scope string, epoch structs.Epoch) *Refusal {
	current, ok := s.leases.get(scope)
	if !ok {
		return refuse(structs.VoidNotHolder, "lease of scope %s has no holder: acquire it first", quoteText(scope))
	}
	if current.Epoch != epoch {
		return refuse(structs.VoidStale, "lease of scope %s is at epoch %d, but the record names epoch %d: acquire the lease again", quoteText(scope), current.Epoch, epoch)
	}
	if current.Holder != writer || current.Release {
		return refuse(structs.VoidNotHolder, "%s does not hold the lease of scope %s: acquire it first", quoteText(writer), quoteText(scope))
	}
	return nil
}
