package control

import (
	"context"
	"sort"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
	"wigeonwinch/node/peer"
)

// maxRecordsMessageBytes bounds the records in one message between peers.
const maxRecordsMessageBytes = 128 << 10

// peerState is what the owner goroutine knows about another node.
type peerState struct {
	status peer.PeerStatus
	report report
	// reportedAt is when the last report arrived; zero means never.
	reportedAt time.Time
	// exchangeSentAt is when the newest answered exchange request was sent.
	exchangeSentAt time.Time
	// joiningSince is when the node first asked to join; zero if it does not
	// ask.
	joiningSince time.Time
	nextExchange time.Time
	exchanging   bool
	pulling      bool
	// aheadSince is when this node first saw the other one ahead; zero if it
	// is not ahead.
	aheadSince time.Time
}

// registerHandlers registers the handlers of the control methods with the
// mesh.
func (l *Loop) registerHandlers() {
	if l.cfg.Peers == nil {
		return
	}
	l.cfg.Peers.Handle(methodExchange, l.handleExchange)
	l.cfg.Peers.Handle(methodPull, l.handlePull)
	l.cfg.Peers.Handle(methodRecords, l.handleRecords)
	l.cfg.Peers.Handle(methodState, l.handleState)
	l.cfg.Peers.Handle(methodProbe, l.handleProbe)
	l.cfg.Peers.Handle(methodAppend, l.handleAppend)
}

// refreshPeers updates the peer states from the mesh and removes nodes that
// the mesh no longer knows.
func (l *Loop) refreshPeers() {
	if l.cfg.Peers == nil {
		return
	}
	known := make(map[string]bool)
	for _, status := range l.cfg.Peers.Peers() {
		known[status.Node] = true
		p := l.peerState(status.Node)
		if status.Connected && !p.status.Connected {
			p.nextExchange = time.Time{}
		}
		p.status = status
	}
	for name := range l.peers {
		if !known[name] {
			delete(l.peers, name)
		}
	}
}

func (l *Loop) peerState(name string) *peerState {
	p, ok := l.peers[name]
	if !ok {
		p = &peerState{}
		l.peers[name] = p
	}
	return p
}

// peerNames returns the names of the known nodes in ascending order.
func (l *Loop) peerNames() []string {
	names := make([]string, 0, len(l.peers))
	for name := range l.peers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ownReport returns this node's report for its peers.
func (l *Loop) ownReport() report {
	r := report{
		Next:           l.state.Next(),
		Incarnation:    l.cfg.Incarnation,
		KnownEpoch:     l.knownEpoch(),
		LogUnreachable: l.log.unreachable,
		Joining:        l.membership.joining,
		Leaving:        l.leaving,
		Zone:           l.cfg.Zone,
	}
	r.DigestAt, r.Digest = l.digests.latest()
	return r
}

// exchangeIfDue exchanges reports with the peers for which an exchange is due.
// It skips connections that were opened for a single call, so that they become
// idle and close.
func (l *Loop) exchangeIfDue(ctx context.Context, now time.Time) {
	for _, name := range l.peerNames() {
		p := l.peers[name]
		if p.status.Connected && p.status.Wanted && !p.exchanging && !now.Before(p.nextExchange) {
			p.nextExchange = now.Add(l.cfg.Intervals.Exchange)
			l.exchangeWith(ctx, name, p)
		}
	}
}

// makeExchangesDue makes an exchange with every known peer due.
func (l *Loop) makeExchangesDue() {
	for _, p := range l.peers {
		p.nextExchange = time.Time{}
	}
}

func (l *Loop) exchangeWith(ctx context.Context, name string, p *peerState) {
	p.exchanging = true
	body := encode(l.ownReport())
	sentAt := time.Now()
	l.group.Go(func() {
		answer, err := l.call(ctx, name, methodExchange, body)
		l.post(ctx, func() {
			p.exchanging = false
			if err == nil {
				l.handleReport(name, answer, sentAt)
			}
		})
	})
}

// call sends a request to a peer with CallTimeout.
func (l *Loop) call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.CallTimeout)
	defer cancel()
	return l.cfg.Peers.Call(ctx, name, method, body)
}

// handleExchange stores a peer's report and answers with this node's report.
func (l *Loop) handleExchange(ctx context.Context, from string, body []byte) ([]byte, error) {
	var answer []byte
	if !l.postAndWait(ctx, func() {
		l.handleReport(from, body, time.Time{})
		answer = encode(l.ownReport())
	}) {
		return nil, stoppedError("")
	}
	return answer, nil
}

// handleReport stores a peer's report. If the report answers an exchange
// request of this node, sentAt is the time at which that request was sent; if
// the report arrived in a request of the peer, sentAt is zero.
func (l *Loop) handleReport(name string, body []byte, sentAt time.Time) {
	r, err := decode[report](body)
	if err != nil {
		l.cfg.Events.Record(events.ControlMessageBad, events.Fields{Peer: name, Err: err})
		return
	}
	now := time.Now()
	p := l.peerState(name)
	p.report = r
	p.reportedAt = now
	if sentAt.After(p.exchangeSentAt) {
		p.exchangeSentAt = sentAt
	}
	l.updateJoining(p, r, now)
	l.updateAhead(p, r, now)
	l.compareDigest(name, r)
	l.pullWhenBehind(l.runCtx, now)
	if !sentAt.IsZero() {
		l.updateReadiness(now)
		l.publishFreshness()
	}
}

func (l *Loop) updateJoining(p *peerState, r report, now time.Time) {
	switch {
	case !r.Joining:
		p.joiningSince = time.Time{}
	case p.joiningSince.IsZero():
		p.joiningSince = now
	}
}

func (l *Loop) updateAhead(p *peerState, r report, now time.Time) {
	switch {
	case r.Next <= l.state.Next():
		p.aheadSince = time.Time{}
	case p.aheadSince.IsZero():
		p.aheadSince = now
	}
}

// compareDigest compares a peer's state digest with this node's digest at the
// same offset and stops planning if they differ.
func (l *Loop) compareDigest(name string, r report) {
	own, ok := l.digests.at(r.DigestAt)
	if !ok || own == r.Digest {
		return
	}
	l.diverged = true
	l.cfg.Events.Record(events.ControlInvariantBroken, events.Fields{
		Peer: name, Offset: r.DigestAt, Detail: string(ViolationDiverged),
	})
}

// digestInterval is the number of records between two digests.
const digestInterval = 256

// maxDigests bounds the number of digests in a digestRing.
const maxDigests = 16

// digestRing holds the newest digests of the state. All nodes take digests at
// the same offsets.
type digestRing struct {
	offsets []structs.Offset
	digests []uint64
}

// digestSource is a state that can compute its digest.
type digestSource interface {
	Next() structs.Offset
	Digest() uint64
}

func (d *digestRing) observe(st digestSource) {
	if st.Next()%digestInterval != 0 {
		return
	}
	d.offsets = append(d.offsets, st.Next())
	d.digests = append(d.digests, st.Digest())
	if len(d.offsets) > maxDigests {
		d.offsets = d.offsets[1:]
		d.digests = d.digests[1:]
	}
}

func (d *digestRing) reset() { *d = digestRing{} }

func (d *digestRing) latest() (structs.Offset, uint64) {
	if len(d.offsets) == 0 {
		return 0, 0
	}
	last := len(d.offsets) - 1
	return d.offsets[last], d.digests[last]
}

func (d *digestRing) at(offset structs.Offset) (uint64, bool) {
	for i, o := range d.offsets {
		if o == offset {
			return d.digests[i], true
		}
	}
	return 0, false
}
