package peer

import "sync"

// outState is the state of an outgoing message.
type outState uint8

const (
	outQueued outState = iota
	outSent
	outWithdrawn
)

// outgoing is an encoded message in an outbox.
type outgoing struct {
	data   []byte
	method uint16
	cast   bool
	state  outState
}

// outbox is the bounded send queue of a link. Calls and replies have one limit,
// casts have another.
type outbox struct {
	mu          sync.Mutex
	items       []*outgoing
	queuedCasts int
	maxCasts    int
	maxCalls    int
	ready       chan struct{}
}

func newOutbox(maxCalls, maxCasts int) *outbox {
	return &outbox{maxCasts: maxCasts, maxCalls: maxCalls, ready: make(chan struct{}, 1)}
}

// push queues a message. It reports whether the message was queued and whether
// an older cast was dropped to make room for it.
func (o *outbox) push(item *outgoing) (queued, dropped bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if item.cast {
		dropped = o.makeRoomForCast()
		o.queuedCasts++
	} else if len(o.items)-o.queuedCasts >= o.maxCalls {
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
	if o.queuedCasts < o.maxCasts {
		return false
	}
	for i, item := range o.items {
		if item.cast {
			o.items = append(o.items[:i], o.items[i+1:]...)
			o.queuedCasts--
			return true
		}
	}
	return false
}

// pop removes the next message and marks it sent. It skips withdrawn messages.
func (o *outbox) pop() (*outgoing, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.items) > 0 {
		item := o.items[0]
		o.items = o.items[1:]
		if item.cast {
			o.queuedCasts--
		}
		if item.state == outWithdrawn {
			continue
		}
		item.state = outSent
		return item, true
	}
	return nil, false
}

// withdraw prevents a queued message from being sent. It returns false if the
// message may already have been sent.
func (o *outbox) withdraw(item *outgoing) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if item.state == outSent {
		return false
	}
	item.state = outWithdrawn
	return true
}
