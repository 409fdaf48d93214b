package control

import (
	"context"
	"time"

	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// pushRecords sends new records to connected peers that can't read the log.
func (l *Loop) pushRecords() {
	if l.cfg.Peers == nil {
		return
	}
	for _, name := range l.peerNames() {
		p := l.peers[name]
		if !p.status.Connected || !p.report.LogUnreachable || p.report.Next >= l.state.Next() {
			continue
		}
		data, ok := l.history.from(p.report.Next, maxRecordsMessageBytes)
		if !ok {
			continue
		}
		message := records{From: p.report.Next, Data: data, Next: l.state.Next()}
		p.report.Next += structs.Offset(len(data))
		l.cfg.Peers.Cast(name, methodRecords, encode(message))
	}
}

// handleRecords applies records that a peer pushed.
func (l *Loop) handleRecords(ctx context.Context, from string, body []byte) ([]byte, error) {
	message, err := decode[records](body)
	if err != nil {
		return nil, err
	}
	l.postAndWait(ctx, func() { l.applyPeerRecords(from, message) })
	return nil, nil
}

// applyPeerRecords applies records from a peer. If records are still missing
// afterwards, the peer counts as ahead, so that they are pulled from it.
func (l *Loop) applyPeerRecords(from string, message records) {
	p := l.peerState(from)
	p.report.Next = max(p.report.Next, message.Next)
	l.applyRecords(message.From, message.Data)
	if p.report.Next > l.state.Next() && p.aheadSince.IsZero() {
		p.aheadSince = time.Now()
	}
}

// pullWhenBehind pulls records from peers that are ahead if the log can't be
// read or has not delivered these records within PullDelay.
func (l *Loop) pullWhenBehind(ctx context.Context, now time.Time) {
	for _, name := range l.peerNames() {
		p := l.peers[name]
		if p.report.Next <= l.state.Next() {
			p.aheadSince = time.Time{}
			continue
		}
		if p.aheadSince.IsZero() {
			p.aheadSince = now
		}
		awaitLog := !l.log.unreachable && now.Sub(p.aheadSince) < l.cfg.Intervals.PullDelay
		if p.status.Connected && !p.pulling && !awaitLog {
			l.pullFrom(ctx, name, p)
		}
	}
}

func (l *Loop) pullFrom(ctx context.Context, name string, p *peerState) {
	p.pulling = true
	body := encode(pullRequest{From: l.state.Next()})
	l.group.Go(func() {
		more := l.pullOnce(ctx, name, body)
		l.post(ctx, func() {
			p.pulling = false
			if more && p.report.Next > l.state.Next() {
				l.pullFrom(ctx, name, p)
			}
		})
	})
}

// pullOnce requests records from a peer once. If the peer no longer holds
// them, it fetches the peer's state. It reports whether this node's state
// advanced.
func (l *Loop) pullOnce(ctx context.Context, name string, body []byte) bool {
	answer, err := l.call(ctx, name, methodPull, body)
	if err != nil {
		return false
	}
	message, err := decode[records](answer)
	if err != nil {
		l.cfg.Events.Record(events.ControlMessageBad, events.Fields{Peer: name, Err: err})
		return false
	}
	if message.TooOld {
		return l.fetchState(ctx, name)
	}
	progressed := false
	l.postAndWait(ctx, func() {
		before := l.state.Next()
		l.applyPeerRecords(name, message)
		progressed = l.state.Next() > before
	})
	return progressed
}

// handlePull answers a peer that requests records.
func (l *Loop) handlePull(ctx context.Context, _ string, body []byte) ([]byte, error) {
	request, err := decode[pullRequest](body)
	if err != nil {
		return nil, err
	}
	var answer []byte
	if !l.postAndWait(ctx, func() { answer = encode(l.recordsFrom(request.From)) }) {
		return nil, stoppedError("")
	}
	return answer, nil
}

func (l *Loop) recordsFrom(from structs.Offset) records {
	message := records{From: from, Next: l.state.Next()}
	if from >= l.state.Next() {
		return message
	}
	data, ok := l.history.from(from, maxRecordsMessageBytes)
	message.Data = data
	message.TooOld = !ok
	return message
}

// stateCacheTTL is how long the parts of a state are cached for peers that
// fetch it.
const stateCacheTTL = 30 * time.Second

// stateCache holds the encoded parts of the state for peers that fetch it.
type stateCache struct {
	offset    structs.Offset
	parts     [][]byte
	expiresAt time.Time
}

// handleState answers a peer that requests a part of the state.
func (l *Loop) handleState(ctx context.Context, _ string, body []byte) ([]byte, error) {
	request, err := decode[stateRequest](body)
	if err != nil {
		return nil, err
	}
	var answer statePart
	var failure error
	if !l.postAndWait(ctx, func() { answer, failure = l.cachedStatePart(request) }) {
		return nil, stoppedError("")
	}
	if failure != nil {
		return nil, failure
	}
	return encode(answer), nil
}

func (l *Loop) cachedStatePart(request stateRequest) (statePart, error) {
	cache := &l.snapshots.cache
	now := time.Now()
	if cache.offset == 0 || request.Next != cache.offset && now.After(cache.expiresAt) {
		if err := l.fillStateCache(now); err != nil {
			return statePart{}, err
		}
	}
	answer := statePart{Next: cache.offset, Parts: len(cache.parts)}
	wanted := request.Next == 0 || request.Next == cache.offset
	if wanted && request.Part >= 0 && request.Part < len(cache.parts) {
		answer.Record = cache.parts[request.Part]
	}
	return answer, nil
}

func (l *Loop) fillStateCache(now time.Time) error {
	parts, err := l.state.SnapshotRecords("peer", l.cfg.Node)
	if err != nil {
		return err
	}
	cache := stateCache{offset: l.state.Next(), expiresAt: now.Add(stateCacheTTL)}
	for _, part := range parts {
		data, err := structs.EncodeRecord(part)
		if err != nil {
			return err
		}
		cache.parts = append(cache.parts, data)
	}
	l.snapshots.cache = cache
	return nil
}

// fetchNewestState adopts the state of the connected peer that is furthest
// ahead of this node. It returns false if no connected peer is ahead or the
// state was not adopted.
func (l *Loop) fetchNewestState(ctx context.Context) bool {
	var best string
	l.postAndWait(ctx, func() {
		next := l.state.Next()
		for _, name := range l.peerNames() {
			p := l.peers[name]
			if p.status.Connected && p.report.Next > next {
				best, next = name, p.report.Next
			}
		}
	})
	return best != "" && l.fetchState(ctx, best)
}

// fetchState fetches a peer's state and adopts it if it is newer than this
// node's state.
func (l *Loop) fetchState(ctx context.Context, name string) bool {
	var parts []structs.Record
	request := stateRequest{}
	for {
		part, err := l.fetchStatePart(ctx, name, request)
		if err != nil || part.Record == nil {
			return false
		}
		rec, err := structs.DecodeRecord(part.Record)
		if err != nil {
			l.cfg.Events.Record(events.ControlMessageBad, events.Fields{Peer: name, Err: err})
			return false
		}
		parts = append(parts, rec)
		request = stateRequest{Next: part.Next, Part: len(parts)}
		if len(parts) >= part.Parts {
			break
		}
	}
	st, err := state.Restore(parts)
	if err != nil {
		l.cfg.Events.Record(events.ControlMessageBad, events.Fields{Peer: name, Err: err})
		return false
	}
	adopted := false
	l.postAndWait(ctx, func() { adopted = l.adopt(st) })
	return adopted
}

func (l *Loop) fetchStatePart(ctx context.Context, name string, request stateRequest) (statePart, error) {
	answer, err := l.call(ctx, name, methodState, encode(request))
	if err != nil {
		return statePart{}, err
	}
	return decode[statePart](answer)
}
