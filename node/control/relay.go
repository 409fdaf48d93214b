package control

import (
	"context"

	"github.com/pkg/errors"

	"wigeonwinch/infra"
	"wigeonwinch/node/peer"
)

// appendRequest asks a peer to append records for a node that can't reach the
// log itself.
type appendRequest struct {
	Entries [][]byte `cbor:"1,keyasint"`
}

// appendAnswer says how the append ended; an empty Kind means well.
type appendAnswer struct {
	Kind   infra.Kind `cbor:"1,keyasint,omitempty"`
	Remedy string     `cbor:"2,keyasint,omitempty"`
}

// appendEntries appends once, with a bound on the time.
func (l *Loop) appendEntries(ctx context.Context, entries [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.AppendTimeout)
	defer cancel()
	_, err := l.cfg.Log.Append(ctx, entries)
	return err
}

// appendAnyWay appends once: directly, or through a peer when this node can't
// read the log. It returns an error that says nothing was done only when
// neither way may have done anything.
func (l *Loop) appendAnyWay(ctx context.Context, entries [][]byte) error {
	name := ""
	l.ask(ctx, func() {
		if l.log.lost {
			name = l.peerWithLog()
		}
	})
	if name == "" {
		return l.appendEntries(ctx, entries)
	}
	err := l.appendThrough(ctx, name, entries)
	if infra.KindOf(err) != infra.KindUnavailable {
		return err
	}
	return l.appendEntries(ctx, entries)
}

// appendThrough appends through a peer.
func (l *Loop) appendThrough(ctx context.Context, name string, entries [][]byte) error {
	callCtx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.AppendTimeout+l.cfg.Intervals.CallTimeout)
	defer cancel()
	body, err := l.cfg.Peers.Call(callCtx, name, methodAppend, encode(appendRequest{Entries: entries}))
	if err != nil {
		kind := infra.KindUnknown
		if peer.KindOf(err) == peer.KindUnreachable || peer.KindOf(err) == peer.KindRefused {
			kind = infra.KindUnavailable
		}
		return relayError(kind, err)
	}
	answer, err := decode[appendAnswer](body)
	if err != nil {
		return relayError(infra.KindUnknown, err)
	}
	if answer.Kind != "" {
		return relayError(answer.Kind, errors.New(answer.Remedy))
	}
	return nil
}

func relayError(kind infra.Kind, cause error) error {
	return &infra.Error{
		Kind: kind, Op: "append through peer", Cause: cause,
		Remedy: "it is tried again with the same key",
	}
}

// peerWithLog returns a connected peer that can read the log, if any.
func (l *Loop) peerWithLog() string {
	if l.cfg.Peers == nil {
		return ""
	}
	for _, name := range l.peerNames() {
		facts := l.peers[name]
		if facts.status.Connected && !facts.reportedAt.IsZero() && !facts.report.LogLost && !facts.report.Leaving {
			return name
		}
	}
	return ""
}

// handleAppend appends records for another node, once.
func (l *Loop) handleAppend(ctx context.Context, _ string, body []byte) ([]byte, error) {
	request, err := decode[appendRequest](body)
	if err != nil {
		return nil, err
	}
	err = l.appendEntries(ctx, request.Entries)
	if err == nil {
		return encode(appendAnswer{}), nil
	}
	answer := appendAnswer{Kind: infra.KindOf(err), Remedy: err.Error()}
	if answer.Kind == "" {
		answer.Kind = infra.KindUnknown
	}
	return encode(answer), nil
}
