package jobhost

import (
	"context"

	"github.com/pkg/errors"

	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
	"wigeonwinch/node/peer"
)

// The methods of messages between nodes.
const (
	// methodRequest forwards a caller's request to the owner of the shard.
	methodRequest uint16 = 200 + iota
	// methodOwner announces a takeover.
	methodOwner
	// methodCordon tells the owner of a shard which workers to cordon, and
	// returns the report that the fleet controller needs.
	methodCordon
	// methodOrders sends orders for workers to a relay, methodResults returns
	// their results to the owner.
	methodOrders
	methodResults
	// methodRoom reports to the arbiter what a shard holds of the customers' caps.
	methodRoom
)

func (h *Host) registerHandlers() {
	h.mesh.Handle(methodRequest, h.serveRequest)
	h.mesh.Handle(methodOwner, h.serveOwner)
	h.mesh.Handle(methodCordon, h.serveCordon)
	h.mesh.Handle(methodOrders, newRelayServer(h).serveOrders)
	h.mesh.Handle(methodResults, h.serveResults)
	h.mesh.Handle(methodRoom, h.serveRoom)
}

func (h *Host) serveRequest(ctx context.Context, from string, body []byte) ([]byte, error) {
	release := h.forwarded.take(len(body))
	if release == nil {
		if h.stats.bounds.count(reasonForwarded, monotonicMS()) {
			h.record(events.PeerMessageRefused, events.Fields{Peer: from, Detail: "too many forwarded requests"})
		}
		return nil, peer.ErrBusy
	}
	defer release()
	var p forwardedRequest
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
			ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
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
	return nil, h.runOnLoop(ctx, func() { h.applyAnnouncement(o) })
}

func (h *Host) applyAnnouncement(o ownership) {
	p := o.partition()
	if o.Epoch <= h.announcedOwners[p].Epoch {
		return
	}
	h.announcedOwners[p] = o
	h.ownerAnnouncedAt[p] = monotonicMS()
	h.applyClaim(o)
	h.publishOwners(monotonicMS())
}
