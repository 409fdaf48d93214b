package control

import (
	"context"
	"sort"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
	"wigeonwinch/node/peer"
)

// maxPassBytes bounds the records of one message between peers.
const maxPassBytes = 128 << 10

// peerFacts is what the owner goroutine knows of another node.
type peerFacts struct {
	status peer.PeerStatus
	report report
	// reportedAt is when the last report came; zero means never.
	reportedAt time.Time
	// confirmedAt is when the question was sent that the last answer answers.
	confirmedAt time.Time
	// joiningSince is when the node first asked to join.
	joiningSince time.Time
	nextExchange time.Time
	exchanging   bool
	pulling      bool
	// aheadSince is since when the node has been ahead of this one.
	aheadSince time.Time
}

// handlePeers sets the handlers of the control methods.
func (l *Loop) handlePeers() {
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

// refreshMembers takes over what the mesh knows of other nodes.
func (l *Loop) refreshMembers() {
	if l.cfg.Peers == nil {
		return
	}
	known := make(map[string]bool)
	for _, status := range l.cfg.Peers.Peers() {
		known[status.Node] = true
		facts := l.facts(status.Node)
		if status.Connected && !facts.status.Connected {
			facts.nextExchange = time.Time{}
		}
		facts.status = status
	}
	for name := range l.peers {
		if !known[name] {
			delete(l.peers, name)
		}
	}
}

func (l *Loop) facts(name string) *peerFacts {
	facts, ok := l.peers[name]
	if !ok {
		facts = &peerFacts{}
		l.peers[name] = facts
	}
	return facts
}

// peerNames returns the known nodes in order.
func (l *Loop) peerNames() []string {
	names := make([]string, 0, len(l.peers))
	for name := range l.peers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// report returns what this node says of itself.
func (l *Loop) report() report {
	r := report{
		Next:        l.fold.Next(),
		Incarnation: l.cfg.Incarnation,
		Known:       l.knownEpoch(),
		LogLost:     l.log.lost,
		Joining:     l.member.joining,
		Leaving:     l.leaving,
		Zone:        l.cfg.Zone,
	}
	r.DigestAt, r.Digest = l.digests.last()
	return r
}

// exchangeDue exchanges reports with the peers whose turn it is. Connections
// that were opened for one call carry none, so that they become idle.
func (l *Loop) exchangeDue(ctx context.Context, now time.Time) {
	for _, name := range l.peerNames() {
		facts := l.peers[name]
		if facts.status.Connected && facts.status.Wanted && !facts.exchanging && !now.Before(facts.nextExchange) {
			facts.nextExchange = now.Add(l.cfg.Intervals.Exchange)
			l.exchangeWith(ctx, name, facts)
		}
	}
}

// exchangeAll makes an exchange with every connected peer due.
func (l *Loop) exchangeAll() {
	for _, facts := range l.peers {
		facts.nextExchange = time.Time{}
	}
}

func (l *Loop) exchangeWith(ctx context.Context, name string, facts *peerFacts) {
	facts.exchanging = true
	body := encode(l.report())
	asked := time.Now()
	l.group.Go(func() {
		answer, err := l.call(ctx, name, methodExchange, body)
		l.post(ctx, func() {
			facts.exchanging = false
			if err == nil {
				l.reportReceived(name, answer, asked)
			}
		})
	})
}

// call sends one message with the loop's bound on the time.
func (l *Loop) call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.CallTimeout)
	defer cancel()
	return l.cfg.Peers.Call(ctx, name, method, body)
}

// handleExchange answers another node's report with the own one.
func (l *Loop) handleExchange(ctx context.Context, from string, body []byte) ([]byte, error) {
	var answer []byte
	if !l.ask(ctx, func() {
		l.reportReceived(from, body, time.Time{})
		answer = encode(l.report())
	}) {
		return nil, stopped("")
	}
	return answer, nil
}

// reportReceived takes in a report. asked is set when it answers a question.
func (l *Loop) reportReceived(name string, body []byte, asked time.Time) {
	r, err := decode[report](body)
	if err != nil {
		l.cfg.Events.Record(events.ControlMessageBad, events.Fields{Peer: name, Err: err})
		return
	}
	now := time.Now()
	facts := l.facts(name)
	facts.report = r
	facts.reportedAt = now
	if asked.After(facts.confirmedAt) {
		facts.confirmedAt = asked
	}
	l.noteJoining(facts, r, now)
	l.noteAhead(facts, r, now)
	l.compareDigest(name, r)
	l.pullWhenBehind(l.running, now)
	if !asked.IsZero() {
		l.judgeReadiness(now)
		l.publishFence()
	}
}

func (l *Loop) noteJoining(facts *peerFacts, r report, now time.Time) {
	switch {
	case !r.Joining:
		facts.joiningSince = time.Time{}
	case facts.joiningSince.IsZero():
		facts.joiningSince = now
	}
}

func (l *Loop) noteAhead(facts *peerFacts, r report, now time.Time) {
	switch {
	case r.Next <= l.fold.Next():
		facts.aheadSince = time.Time{}
	case facts.aheadSince.IsZero():
		facts.aheadSince = now
	}
}

// compareDigest looks for a fold that went another way than this node's.
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

// digestEvery is the distance in records between two digests.
const digestEvery = 256

// digestsKept is the number of digests that are kept.
const digestsKept = 16

// digestRing keeps the state's digests at offsets that all nodes share.
type digestRing struct {
	offsets []structs.Offset
	digests []uint64
}

// digester is a state whose digest can be taken.
type digester interface {
	Next() structs.Offset
	Digest() uint64
}

func (d *digestRing) folded(st digester) {
	if st.Next()%digestEvery != 0 {
		return
	}
	d.offsets = append(d.offsets, st.Next())
	d.digests = append(d.digests, st.Digest())
	if len(d.offsets) > digestsKept {
		d.offsets = d.offsets[1:]
		d.digests = d.digests[1:]
	}
}

func (d *digestRing) reset() { *d = digestRing{} }

func (d *digestRing) last() (structs.Offset, uint64) {
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
