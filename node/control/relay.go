package control

import (
	"context"

	"github.com/pkg/errors"

	"wigeonwinch/infra"
	"wigeonwinch/node/peer"
)

// appendRequest requests that a peer append records for a node that can't
// reach the log itself.
type appendRequest struct {
	Entries [][]byte `cbor:"1,keyasint"`
}

// appendAnswer is the result of a relayed append; an empty Kind means success.
type appendAnswer struct {
	Kind   infra.Kind `cbor:"1,keyasint,omitempty"`
	Remedy string     `cbor:"2,keyasint,omitempty"`
}

// appendDirect appends to the log once, with AppendTimeout.
func (l *Loop) appendDirect(ctx context.Context, entries [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Intervals.AppendTimeout)
	defer cancel()
	_, err := l.cfg.Log.Append(ctx, entries)
	return err
}

// appendDirectOrRelayed appends once, either directly or, while this node
// can't read the log, through a peer. It appends directly as well if the peer
// or the peer's log was unavailable, because nothing was written then. The
// returned error means that nothing was written only if neither attempt wrote
// anything.
func (l *Loop) appendDirectOrRelayed(ctx context.Context, entries [][]byte) error {
	name := ""
	l.postAndWait(ctx, func() {
		if l.log.unreachable {
			name = l.peerWithLog()
		}
	})
	if name == "" {
		return l.appendDirect(ctx, entries)
	}
	err := l.appendViaPeer(ctx, name, entries)
	if infra.KindOf(err) != infra.KindUnavailable {
		return err
	}
	return l.appendDirect(ctx, entries)
}

// appendViaPeer appends once through a peer.
func (l *Loop) appendViaPeer(ctx context.Context, name string, entries [][]byte) error {
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
		Remedy: "it is retried with the same key",
	}
}

// peerWithLog returns a connected peer that can read the log, or an empty
// name.
func (l *Loop) peerWithLog() string {
	if l.cfg.Peers == nil {
		return ""
	}
	for _, name := range l.peerNames() {
		p := l.peers[name]
		if p.status.Connected && !p.reportedAt.IsZero() && !p.report.LogUnreachable && !p.report.Leaving {
			return name
		}
	}
	return ""
}

// handleAppend appends records once for another node.
func (l *Loop) handleAppend(ctx context.Context, _ string, body []byte) ([]byte, error) {
	request, err := decode[appendRequest](body)
	if err != nil {
		return nil, err
	}
	err = l.appendDirect(ctx, request.Entries)
	if err == nil {
		return encode(appendAnswer{}), nil
	}
	answer := appendAnswer{Kind: infra.KindOf(err), Remedy: err.Error()}
	if answer.Kind == "" {
		answer.Kind = infra.KindUnknown
	}
	return encode(answer), nil
}
