package forward

import (
	"slices"
	"sync"
	"time"

	"wigeonwinch/dispatch/slots"
)

// The bounds of the lending of slots between the entry nodes of a zone.
const (
	// lendingInterval is how long a round waits for more to do.
	lendingInterval = 50 * time.Millisecond
	// lendingWorkersPerPool bounds the workers for which slots are asked at
	// once.
	lendingWorkersPerPool = 8
	// lendingInbox bounds the messages that wait for the next round.
	lendingInbox = 1024
)

// slotMessages are what one node tells another about slots in one round.
type slotMessages struct {
	List []slots.Message `cbor:"1,keyasint"`
}

// slotLetter is one received message.
type slotLetter struct {
	from    string
	message slots.Message
}

// lending holds the ledger of slots and what waits for the next round.
type lending struct {
	lock   sync.Mutex
	ledger *slots.Ledger
	inbox  []slotLetter
	// active says that slots are lent or borrowed, or requests wait.
	active bool
}

// followSlots tells the ledger the workers and members of a view. The caller
// holds refreshing.
func (s *Server) followSlots(rt *routes) {
	var members []string
	for _, m := range rt.members[s.cfg.Zone] {
		members = append(members, m.Node)
	}
	slices.Sort(members)
	var sizes []slots.Size
	for _, vm := range rt.view.VMs {
		if vm.Zone == s.cfg.Zone {
			sizes = append(sizes, slots.Size{Worker: vm.ID, Slots: vm.Slots, Pool: vm.Pool})
		}
	}
	s.lending.lock.Lock()
	defer s.lending.lock.Unlock()
	s.lending.ledger.SetEpoch(uint64(rt.view.Entry[s.cfg.Zone].Epoch), members)
	s.lending.ledger.SetWorkers(sizes)
}

// usable returns how many slots of a worker this node may use.
func (l *lending) usable(worker string) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.ledger.Usable(worker)
}

// onSlots keeps messages for the next round; what is over the bound is sent
// again by its sender.
func (s *Server) onSlots(from string, m slotMessages) empty {
	s.lending.lock.Lock()
	for _, message := range m.List {
		if len(s.lending.inbox) < lendingInbox {
			s.lending.inbox = append(s.lending.inbox, slotLetter{from: from, message: message})
		}
	}
	s.lending.lock.Unlock()
	s.kick()
	return empty{}
}

// kick wakes Run before its next interval.
func (s *Server) kick() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// lend does one round of lending: usage in, messages in, pools set, and only
// then messages out, so that a lent slot is not used here any more.
func (s *Server) lend(now time.Time) {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	rt := s.routes.Load()
	usage, waiting := s.slotUsage()
	s.lending.lock.Lock()
	if !waiting && !s.lending.active && len(s.lending.inbox) == 0 {
		s.lending.lock.Unlock()
		return
	}
	before := s.lending.usableOf(usage)
	out := s.lending.ledger.Tick(now, usage)
	for _, letter := range s.lending.inbox {
		out = append(out, s.lending.ledger.Receive(now, letter.from, letter.message)...)
	}
	s.lending.inbox = s.lending.inbox[:0]
	changed := !slices.Equal(before, s.lending.usableOf(usage))
	s.lending.active = waiting || len(out) > 0 || s.lending.holdsAny(usage)
	s.lending.lock.Unlock()
	if changed {
		s.setPools(rt)
	}
	s.sendSlots(out)
}

func (l *lending) usableOf(usage []slots.Usage) []int {
	list := make([]int, 0, len(usage))
	for _, u := range usage {
		list = append(list, l.ledger.Usable(u.Worker))
	}
	return list
}

func (l *lending) holdsAny(usage []slots.Usage) bool {
	return slices.ContainsFunc(usage, func(u slots.Usage) bool { return l.ledger.Borrowed(u.Worker) > 0 })
}

// slotUsage returns what this node does with each worker, and whether any
// request waits.
func (s *Server) slotUsage() (usage []slots.Usage, waiting bool) {
	s.eachPool(func(p *pool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		st := p.sched.Stats()
		queued := p.sched.Backlog()
		waiting = waiting || queued > 0
		asked := 0
		for _, w := range st.Workers {
			u := slots.Usage{Worker: w.ID, InProgress: w.InProgress}
			if queued > 0 && !w.Ejected && w.InProgress >= w.Slots && asked < lendingWorkersPerPool {
				u.Waiting = queued
				asked++
			}
			usage = append(usage, u)
		}
	})
	return usage, waiting
}

// sendSlots sends one message to each peer.
func (s *Server) sendSlots(out []slots.Send) {
	byPeer := make(map[string][]slots.Message)
	var peers []string
	for _, send := range out {
		if byPeer[send.To] == nil {
			peers = append(peers, send.To)
		}
		byPeer[send.To] = append(byPeer[send.To], send.Message)
	}
	for _, peer := range peers {
		s.cast(peer, methodSlots, slotMessages{List: byPeer[peer]})
	}
}
