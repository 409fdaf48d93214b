package jobhost

import (
	"fmt"
	"time"

	"wigeonwinch/node/events"
)

// answeredBy identifies the owner that answered a request, and how current its
// ownership was.
type answeredBy struct {
	Node  string `cbor:"1,keyasint,omitempty"`
	Shard int    `cbor:"2,keyasint,omitempty"`
	Epoch int64  `cbor:"3,keyasint,omitempty"`
	// ProofAgeMS is the time since the owner sent the last append that the store
	// accepted: until then no other node had taken the shard over.
	ProofAgeMS int64 `cbor:"4,keyasint,omitempty"`
}

// answeredBy describes this node as the owner of a shard.
func (h *Host) answeredBy(s *ownedShard) answeredBy {
	return answeredBy{Node: h.cfg.Node, Shard: s.partition.Index, Epoch: s.epoch, ProofAgeMS: monotonicMS() - s.verifiedAt.Load()}
}

// recordAnswer records the answer to a caller's request, who gave it, and the
// version of the configuration by which the request was routed.
func (h *Host) recordAnswer(r Request, res Result, took time.Duration) {
	version := int64(0)
	if cfg := h.config.Load(); cfg != nil {
		version = cfg.Version
	}
	detail := fmt.Sprintf("%s %s config=%d", opNames[r.Op], res.Reason, version)
	if r.Customer != "" {
		detail += " customer=" + r.Customer
	}
	if res.By.Node != "" {
		detail += fmt.Sprintf(" proof_age_ms=%d", res.By.ProofAgeMS)
	}
	h.record(events.RequestAnswered, events.Fields{Request: r.ID, Outcome: string(res.Outcome), Detail: detail, AgeMS: took.Milliseconds(),
		Peer: res.By.Node, Shard: res.By.Shard, Epoch: res.By.Epoch})
}
