package jobhost

import (
	"context"

	"github.com/pkg/errors"

	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// The methods between nodes.
const (
	// methodRequest passes a caller's request on to the shard's owner.
	methodRequest uint16 = 200 + iota
	// methodOwner tells of a takeover.
	methodOwner
	// methodCordon tells a shard's owner which workers to empty, and returns
	// what the fleet duty needs to know.
	methodCordon
)

func (h *Host) handleMessages() {
	h.mesh.Handle(methodRequest, h.serveRequest)
	h.mesh.Handle(methodOwner, h.serveOwner)
	h.mesh.Handle(methodCordon, h.serveCordon)
}

func (h *Host) serveRequest(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var p passedOn
	if err := decMode.Unmarshal(body, &p); err != nil {
		return nil, errors.Wrap(err, "a passed on request can't be decoded")
	}
	return encMode.Marshal(h.doLocal(ctx, deps.Partition{Topic: deps.TopicJobs, Index: p.Partition}, p.Request))
}

// announce tells the other nodes of a takeover.
func (h *Host) announce(p deps.Partition, epoch int64) {
	body, err := encMode.Marshal(h.ownership(p, epoch))
	if err != nil {
		h.record(events.RecordUnwritable, events.Fields{Detail: "announcement", Err: err})
		return
	}
	for name := range h.nodes {
		if name == h.cfg.Node {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), passOnTimeout)
			defer cancel()
			if _, err := h.mesh.Call(ctx, name, methodOwner, body); err != nil {
				h.record(events.RequestPassedOn, events.Fields{Peer: name, Detail: "announcement", Err: err})
			}
		}()
	}
}

func (h *Host) serveOwner(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var o ownership
	if err := decMode.Unmarshal(body, &o); err != nil {
		return nil, errors.Wrap(err, "an announcement can't be decoded")
	}
	return nil, h.ask(ctx, func() { h.takeAnnouncement(o) })
}

func (h *Host) takeAnnouncement(o ownership) {
	p := o.partition()
	if o.Epoch <= h.announced[p].Epoch {
		return
	}
	h.announced[p] = o
	h.announcedAt[p] = steadyMS()
	if s := h.owned[p]; s != nil && s.epoch < o.Epoch {
		h.drop(s, "taken over by "+o.Node)
	}
	h.publishOwners(steadyMS())
}
