package forward

import (
	"slices"
	"sync"
	"time"

	"wigeonwinch/dispatch/slots"
)

// The limits on lending slots between the entry nodes of a zone.
const (
	// lendingDelay is how long a lending round is delayed to batch further
	// changes.
	lendingDelay = 50 * time.Millisecond
	// lendingWorkersPerPool is the maximum number of workers per pool for
	// which slots are requested at once.
	lendingWorkersPerPool = 8
	// maxLendingInbox is the maximum number of messages queued for the next
	// round.
	maxLendingInbox = 1024
)

// slotMessages is the batch of slot messages that one node sends to another
// in one round.
type slotMessages struct {
	List []slots.Message `cbor:"1,keyasint"`
}

// receivedSlotMessage is a received message with its sender.
type receivedSlotMessage struct {
	from    string
	message slots.Message
}

// lending holds the slot ledger and the messages queued for the next round.
type lending struct {
	lock   sync.Mutex
	ledger *slots.Ledger
	inbox  []receivedSlotMessage
	// active is set while slots are lent or borrowed, or requests wait.
	active bool
}

// updateLedger passes the workers and members of a view to the ledger. The
// caller must hold refreshing.
func (s *Server) updateLedger(rt *routes) {
	var members []string
	for _, m := range rt.members[s.cfg.Zone] {
		members = append(members, m.Node)
	}
	slices.Sort(members)
	var workers []slots.WorkerSlots
	for _, vm := range rt.view.VMs {
		if vm.Zone == s.cfg.Zone {
			workers = append(workers, slots.WorkerSlots{Worker: vm.ID, Slots: vm.Slots, Pool: vm.Pool})
		}
	}
	s.lending.lock.Lock()
	defer s.lending.lock.Unlock()
	s.lending.ledger.SetEpoch(uint64(rt.view.EntryEpochs[s.cfg.Zone].Epoch), members)
	s.lending.ledger.SetWorkers(workers)
}

// usable returns how many slots of a worker this node may use.
func (l *lending) usable(worker string) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.ledger.Usable(worker)
}

// handleSlots queues messages for the next round. Messages beyond the inbox
// limit are dropped; the sender sends them again.
func (s *Server) handleSlots(from string, m slotMessages) empty {
	s.lending.lock.Lock()
	for _, message := range m.List {
		if len(s.lending.inbox) < maxLendingInbox {
			s.lending.inbox = append(s.lending.inbox, receivedSlotMessage{from: from, message: message})
		}
	}
	s.lending.lock.Unlock()
	s.wakeRun()
	return empty{}
}

// wakeRun wakes Run before its next interval.
func (s *Server) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// lendSlots performs one lending round. It applies the usage and the received
// messages, updates the pools, and sends messages only after that, so that
// this node has stopped using a slot before it lends the slot.
func (s *Server) lendSlots(now time.Time) {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	rt := s.routes.Load()
	usage, waiting := s.slotUsage()
	s.lending.lock.Lock()
	if !waiting && !s.lending.active && len(s.lending.inbox) == 0 {
		s.lending.lock.Unlock()
		return
	}
	usableBefore := s.lending.usableSlots(usage)
	out := s.lending.ledger.Tick(now, usage)
	for _, received := range s.lending.inbox {
		out = append(out, s.lending.ledger.Receive(now, received.from, received.message)...)
	}
	s.lending.inbox = s.lending.inbox[:0]
	changed := !slices.Equal(usableBefore, s.lending.usableSlots(usage))
	s.lending.active = waiting || len(out) > 0 || s.lending.borrowsAny(usage)
	s.lending.lock.Unlock()
	if changed {
		s.updatePools(rt)
	}
	s.sendSlots(out)
}

func (l *lending) usableSlots(usage []slots.Usage) []int {
	list := make([]int, 0, len(usage))
	for _, u := range usage {
		list = append(list, l.ledger.Usable(u.Worker))
	}
	return list
}

func (l *lending) borrowsAny(usage []slots.Usage) bool {
	return slices.ContainsFunc(usage, func(u slots.Usage) bool { return l.ledger.Borrowed(u.Worker) > 0 })
}

// slotUsage returns this node's usage of each worker, and whether any request
// waits.
func (s *Server) slotUsage() (usage []slots.Usage, waiting bool) {
	s.forEachPool(func(p *pool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		st := p.sched.Stats()
		queued := p.sched.Backlog()
		waiting = waiting || queued > 0
		requested := 0
		for _, w := range st.Workers {
			u := slots.Usage{Worker: w.ID, InProgress: w.InProgress}
			if queued > 0 && !w.Ejected && w.InProgress >= w.Slots && requested < lendingWorkersPerPool {
				u.Waiting = queued
				requested++
			}
			usage = append(usage, u)
		}
	})
	return usage, waiting
}

// sendSlots sends one batch of messages to each peer.
func (s *Server) sendSlots(out []slots.OutgoingMessage) {
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
