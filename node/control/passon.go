package control

import (
	"context"
	"time"

	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

// passOn sends new records to connected peers that can't read the log.
func (l *Loop) passOn() {
	if l.cfg.Peers == nil {
		return
	}
	for _, name := range l.peerNames() {
		facts := l.peers[name]
		if !facts.status.Connected || !facts.report.LogLost || facts.report.Next >= l.fold.Next() {
			continue
		}
		data, ok := l.history.from(facts.report.Next, maxPassBytes)
		if !ok {
			continue
		}
		message := records{From: facts.report.Next, Data: data, Next: l.fold.Next()}
		facts.report.Next += structs.Offset(len(data))
		l.cfg.Peers.Cast(name, methodRecords, encode(message))
	}
}

// handleRecords folds records that a peer passed on.
func (l *Loop) handleRecords(ctx context.Context, from string, body []byte) ([]byte, error) {
	message, err := decode[records](body)
	if err != nil {
		return nil, err
	}
	l.ask(ctx, func() { l.recordsReceived(from, message) })
	return nil, nil
}

// recordsReceived folds passed records. A gap makes the peer due for a pull.
func (l *Loop) recordsReceived(from string, message records) {
	facts := l.facts(from)
	facts.report.Next = max(facts.report.Next, message.Next)
	l.foldRun(message.From, message.Data)
	if facts.report.Next > l.fold.Next() && facts.aheadSince.IsZero() {
		facts.aheadSince = time.Now()
	}
}

// pullWhenBehind takes records from a peer that is ahead when the log does
// not bring them in time.
func (l *Loop) pullWhenBehind(ctx context.Context, now time.Time) {
	for _, name := range l.peerNames() {
		facts := l.peers[name]
		if facts.report.Next <= l.fold.Next() {
			facts.aheadSince = time.Time{}
			continue
		}
		if facts.aheadSince.IsZero() {
			facts.aheadSince = now
		}
		patient := !l.log.lost && now.Sub(facts.aheadSince) < l.cfg.Intervals.BehindPatience
		if facts.status.Connected && !facts.pulling && !patient {
			l.pullFrom(ctx, name, facts)
		}
	}
}

func (l *Loop) pullFrom(ctx context.Context, name string, facts *peerFacts) {
	facts.pulling = true
	body := encode(pullRequest{From: l.fold.Next()})
	l.group.Go(func() {
		more := l.pullOnce(ctx, name, body)
		l.post(ctx, func() {
			facts.pulling = false
			if more && facts.report.Next > l.fold.Next() {
				l.pullFrom(ctx, name, facts)
			}
		})
	})
}

// pullOnce asks a peer for records once, and for its state when they are no
// longer kept there. It returns whether it got anywhere.
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
	got := false
	l.ask(ctx, func() {
		before := l.fold.Next()
		l.recordsReceived(name, message)
		got = l.fold.Next() > before
	})
	return got
}

// handlePull answers a peer that asks for records.
func (l *Loop) handlePull(ctx context.Context, _ string, body []byte) ([]byte, error) {
	request, err := decode[pullRequest](body)
	if err != nil {
		return nil, err
	}
	var answer []byte
	if !l.ask(ctx, func() { answer = encode(l.recordsFrom(request.From)) }) {
		return nil, stopped("")
	}
	return answer, nil
}

func (l *Loop) recordsFrom(from structs.Offset) records {
	message := records{From: from, Next: l.fold.Next()}
	if from >= l.fold.Next() {
		return message
	}
	data, ok := l.history.from(from, maxPassBytes)
	message.Data = data
	message.TooOld = !ok
	return message
}

// stateCacheTime is how long the parts of a state are kept for a peer.
const stateCacheTime = 30 * time.Second

// stateCache holds the parts of the state that peers are fetching.
type stateCache struct {
	next  structs.Offset
	parts [][]byte
	until time.Time
}

// handleState answers a peer that asks for the whole state.
func (l *Loop) handleState(ctx context.Context, _ string, body []byte) ([]byte, error) {
	request, err := decode[stateRequest](body)
	if err != nil {
		return nil, err
	}
	var answer statePart
	var failure error
	if !l.ask(ctx, func() { answer, failure = l.statePart(request) }) {
		return nil, stopped("")
	}
	if failure != nil {
		return nil, failure
	}
	return encode(answer), nil
}

func (l *Loop) statePart(request stateRequest) (statePart, error) {
	cache := &l.snapshots.cache
	now := time.Now()
	if cache.next == 0 || request.Next != cache.next && now.After(cache.until) {
		if err := l.fillStateCache(now); err != nil {
			return statePart{}, err
		}
	}
	answer := statePart{Next: cache.next, Parts: len(cache.parts)}
	wanted := request.Next == 0 || request.Next == cache.next
	if wanted && request.Part >= 0 && request.Part < len(cache.parts) {
		answer.Record = cache.parts[request.Part]
	}
	return answer, nil
}

func (l *Loop) fillStateCache(now time.Time) error {
	parts, err := l.fold.SnapshotRecords("peer", l.cfg.Node)
	if err != nil {
		return err
	}
	cache := stateCache{next: l.fold.Next(), until: now.Add(stateCacheTime)}
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

// fetchFromBest takes the state of the connected peer that is furthest ahead.
func (l *Loop) fetchFromBest(ctx context.Context) bool {
	var best string
	l.ask(ctx, func() {
		next := l.fold.Next()
		for _, name := range l.peerNames() {
			facts := l.peers[name]
			if facts.status.Connected && facts.report.Next > next {
				best, next = name, facts.report.Next
			}
		}
	})
	return best != "" && l.fetchState(ctx, best)
}

// fetchState takes over a peer's state if it is newer than the own one.
func (l *Loop) fetchState(ctx context.Context, name string) bool {
	var parts []structs.Record
	request := stateRequest{}
	for {
		part, err := l.fetchPart(ctx, name, request)
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
	l.ask(ctx, func() { adopted = l.adopt(st) })
	return adopted
}

func (l *Loop) fetchPart(ctx context.Context, name string, request stateRequest) (statePart, error) {
	answer, err := l.call(ctx, name, methodState, encode(request))
	if err != nil {
		return statePart{}, err
	}
	return decode[statePart](answer)
}
