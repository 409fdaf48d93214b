package peer

import "sync"

// outState says how far an outgoing message has come.
type outState uint8

const (
	outQueued outState = iota
	outSent
	outWithdrawn
)

// outgoing is one encoded message that waits to be written.
type outgoing struct {
	data   []byte
	method uint16
	cast   bool
	state  outState
}

// outbox is the bounded queue of one link.
type outbox struct {
	mu       sync.Mutex
	items    []*outgoing
	casts    int
	maxCasts int
	maxCalls int
	ready    chan struct{}
}

func newOutbox(maxCalls, maxCasts int) *outbox {
	return &outbox{maxCasts: maxCasts, maxCalls: maxCalls, ready: make(chan struct{}, 1)}
}

// push queues a message. It returns false when the message does not fit, and
// reports whether an older cast was dropped to make room.
func (o *outbox) push(item *outgoing) (queued, dropped bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if item.cast {
		dropped = o.makeRoomForCast()
		o.casts++
	} else if len(o.items)-o.casts >= o.maxCalls {
		return false, false
	}
	o.items = append(o.items, item)
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return true, dropped
}

func (o *outbox) makeRoomForCast() bool {
	if o.casts < o.maxCasts {
		return false
	}
	for i, item := range o.items {
		if item.cast {
			o.items = append(o.items[:i], o.items[i+1:]...)
			o.casts--
			return true
		}
	}
	return false
}

// pop takes the next message and marks it sent.
func (o *outbox) pop() (*outgoing, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.items) > 0 {
		item := o.items[0]
		o.items = o.items[1:]
		if item.cast {
			o.casts--
		}
		if item.state == outWithdrawn {
			continue
		}
		item.state = outSent
		return item, true
	}
	return nil, false
}

// withdraw keeps a queued message from being sent. It returns false when the
// message may have been sent already.
func (o *outbox) withdraw(item *outgoing) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if item.state == outSent {
		return false
	}
	item.state = outWithdrawn
	return true
}
