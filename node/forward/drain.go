package forward

import (
	"sync"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// workerSignal holds the signals that this node has observed about one
// worker. A zero time means that the signal is not set.
type workerSignal struct {
	// leavingUntil is set when the VM list, a peer or a refusal by the worker
	// indicates that the worker is leaving.
	leavingUntil time.Time
	// closedUntil is set when the worker closes a connection.
	closedUntil time.Time
	// suspectUntil is the time until which requests to the worker use new
	// connections only.
	suspectUntil time.Time
}

// workerSignals holds the signals by worker. It never has more entries than
// the view has VMs.
type workerSignals struct {
	lock sync.RWMutex
	byVM map[string]workerSignal
}

func (l *workerSignals) leaving(now time.Time, vm string) bool {
	l.lock.RLock()
	defer l.lock.RUnlock()
	sig, ok := l.byVM[vm]
	return ok && (now.Before(sig.leavingUntil) || now.Before(sig.closedUntil))
}

// closedOnly reports whether closed connections are the only signal that the
// worker is leaving.
func (l *workerSignals) closedOnly(vm string) bool {
	l.lock.RLock()
	defer l.lock.RUnlock()
	sig, ok := l.byVM[vm]
	return ok && sig.leavingUntil.IsZero() && !sig.closedUntil.IsZero()
}

func (l *workerSignals) suspect(now time.Time, vm string) bool {
	l.lock.RLock()
	defer l.lock.RUnlock()
	sig, ok := l.byVM[vm]
	return ok && now.Before(sig.suspectUntil)
}

func (l *workerSignals) setSuspect(vm string, until time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	sig := l.byVM[vm]
	sig.suspectUntil = until
	l.byVM[vm] = sig
}

// setLeaving sets the leaving signal and reports whether it is new.
func (l *workerSignals) setLeaving(now time.Time, vm string, until time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	sig := l.byVM[vm]
	isNew := !now.Before(sig.leavingUntil)
	sig.leavingUntil = until
	l.byVM[vm] = sig
	return isNew
}

func (l *workerSignals) setClosed(now time.Time, vm string, until time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	sig := l.byVM[vm]
	isNew := !now.Before(sig.closedUntil)
	sig.closedUntil = until
	l.byVM[vm] = sig
	return isNew
}

// expire removes expired signals. It reports whether a signal that excluded a
// worker expired.
func (l *workerSignals) expire(now time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	ended := false
	for vm, sig := range l.byVM {
		ended = ended || clearIfPast(now, &sig.leavingUntil)
		ended = clearIfPast(now, &sig.closedUntil) || ended
		clearIfPast(now, &sig.suspectUntil)
		if sig == (workerSignal{}) {
			delete(l.byVM, vm)
			continue
		}
		l.byVM[vm] = sig
	}
	return ended
}

// clearIfPast clears a time that is not in the future, and reports whether it
// did.
func clearIfPast(now time.Time, t *time.Time) bool {
	if t.IsZero() || now.Before(*t) {
		return false
	}
	*t = time.Time{}
	return true
}

// MarkLeaving records that a VM is leaving, as reported by the VM list or by a
// refusal of the worker itself, and informs the other members of the zone.
// The VM gets no new requests; those in progress on it finish normally.
func (s *Server) MarkLeaving(vm string) {
	if s.markLeaving(vm) {
		s.broadcastLeaving(vm)
	}
}

// markLeaving records that a VM is leaving, and reports whether the signal is
// new.
func (s *Server) markLeaving(vm string) bool {
	rt := s.refresh()
	if rt == nil {
		return false
	}
	if _, ok := rt.view.VMByID(vm); !ok {
		return false
	}
	now := s.cfg.Clock()
	if !s.signals.setLeaving(now, vm, now.Add(s.cfg.Limits.LeavingTTL)) {
		return false
	}
	s.cfg.Events.Record(events.ForwardWorkerLeaving, events.Fields{VM: vm})
	s.applySignals()
	return true
}

// markClosed treats a closed connection as a weak signal that the worker is
// leaving.
func (s *Server) markClosed(vm string) {
	now := s.cfg.Clock()
	if s.signals.setClosed(now, vm, now.Add(s.cfg.Limits.ClosedTTL)) {
		s.applySignals()
	}
}

// InProgress returns the number of this node's requests in progress on a VM.
func (s *Server) InProgress(vm string) int {
	total := 0
	s.forEachPool(func(p *pool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		total += p.sched.InProgress(vm)
	})
	return total
}

// CanAcknowledgeDrain reports whether this node has no requests in progress on
// a VM and sends it no new ones under the drain with this sequence number.
func (s *Server) CanAcknowledgeDrain(vm string, sequence uint64) bool {
	if s.refresh() == nil {
		return false
	}
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	rt := s.routes.Load()
	status, ok := rt.view.VMByID(vm)
	if !ok || status.Sequence != sequence || status.State == structs.VMActive {
		return false
	}
	return s.InProgress(vm) == 0
}
