package forward

import (
	"sync"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// sign is what this node noticed of one worker.
type sign struct {
	// leavingUntil is set by the VM list, a peer or the worker's refusal.
	leavingUntil time.Time
	// closedUntil is set by a connection that the worker closed.
	closedUntil time.Time
	// suspectUntil asks for fresh connections.
	suspectUntil time.Time
}

// leavingSigns holds the signs of workers; it never holds more than the view
// has VMs.
type leavingSigns struct {
	lock sync.RWMutex
	byVM map[string]sign
}

func (l *leavingSigns) leaving(now time.Time, vm string) bool {
	l.lock.RLock()
	defer l.lock.RUnlock()
	sg, ok := l.byVM[vm]
	return ok && (now.Before(sg.leavingUntil) || now.Before(sg.closedUntil))
}

// onlyClosed says whether closed connections are the only sign.
func (l *leavingSigns) onlyClosed(vm string) bool {
	l.lock.RLock()
	defer l.lock.RUnlock()
	sg, ok := l.byVM[vm]
	return ok && sg.leavingUntil.IsZero() && !sg.closedUntil.IsZero()
}

func (l *leavingSigns) suspect(now time.Time, vm string) bool {
	l.lock.RLock()
	defer l.lock.RUnlock()
	sg, ok := l.byVM[vm]
	return ok && now.Before(sg.suspectUntil)
}

func (l *leavingSigns) setSuspect(vm string, until time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	sg := l.byVM[vm]
	sg.suspectUntil = until
	l.byVM[vm] = sg
}

// setLeaving reports whether the sign is new.
func (l *leavingSigns) setLeaving(now time.Time, vm string, until time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	sg := l.byVM[vm]
	first := !now.Before(sg.leavingUntil)
	sg.leavingUntil = until
	l.byVM[vm] = sg
	return first
}

func (l *leavingSigns) setClosed(now time.Time, vm string, until time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	sg := l.byVM[vm]
	first := !now.Before(sg.closedUntil)
	sg.closedUntil = until
	l.byVM[vm] = sg
	return first
}

// expire drops old signs. It reports whether a sign of leaving ended.
func (l *leavingSigns) expire(now time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	ended := false
	for vm, sg := range l.byVM {
		ended = ended || passed(now, &sg.leavingUntil)
		ended = passed(now, &sg.closedUntil) || ended
		passed(now, &sg.suspectUntil)
		if sg == (sign{}) {
			delete(l.byVM, vm)
			continue
		}
		l.byVM[vm] = sg
	}
	return ended
}

// passed clears a time that lies in the past.
func passed(now time.Time, t *time.Time) bool {
	if t.IsZero() || now.Before(*t) {
		return false
	}
	*t = time.Time{}
	return true
}

// Leaving tells the server that a VM leaves: the VM list or a peer says so.
// The VM gets nothing new; what is in progress on it ends undisturbed.
func (s *Server) Leaving(vm string) {
	if s.noteLeaving(vm) {
		s.tellLeaving(vm)
	}
}

// noteLeaving reports whether the sign is new.
func (s *Server) noteLeaving(vm string) bool {
	rt := s.refresh()
	if rt == nil {
		return false
	}
	if _, ok := rt.view.VMByID(vm); !ok {
		return false
	}
	now := s.cfg.Clock()
	if !s.signs.setLeaving(now, vm, now.Add(s.cfg.Limits.LeavingTime)) {
		return false
	}
	s.cfg.Events.Record(events.ForwardWorkerLeaving, events.Fields{VM: vm})
	s.applySigns()
	return true
}

// noteClose takes a closed connection as a weak sign of leaving.
func (s *Server) noteClose(vm string) {
	now := s.cfg.Clock()
	if s.signs.setClosed(now, vm, now.Add(s.cfg.Limits.CloseTime)) {
		s.applySigns()
	}
}

// InProgress returns the number of this node's requests in progress on a VM.
func (s *Server) InProgress(vm string) int {
	total := 0
	s.eachPool(func(p *pool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		total += p.sched.InProgress(vm)
	})
	return total
}

// Acknowledge reports whether this node has nothing in progress on a VM and
// sends it nothing new under the drain that the VM's sequence names.
func (s *Server) Acknowledge(vm string, sequence uint64) bool {
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
