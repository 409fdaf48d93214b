package jobhost

import (
	"fmt"
	"sync"

	"wigeonwinch/jobs/customer"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

// Credential is what a caller has shown to the node that took its call. It goes along
// with the request, so that an owner with a newer configuration checks it again.
type Credential struct {
	// KeyDigest is the digest of the caller's key; empty if it showed none.
	KeyDigest []byte `cbor:"1,keyasint,omitempty"`
	// Version is the version of the configuration by which the call was admitted.
	Version int64 `cbor:"2,keyasint"`
}

// The reasons for which access is refused; they are labels of a metric.
const (
	reasonKeyMissing    = "key_missing"
	reasonKeyUnknown    = "key_unknown"
	reasonKeyRemoved    = "key_removed"
	reasonOtherCustomer = "other_customer"
	reasonIDTaken       = "id_taken"
)

// Authenticate reports whether a call with the given key may use a route, and puts its
// customer and credential into the request. The key is empty if the call has none.
func (h *Host) Authenticate(r *Request, route deps.Route, key string) bool {
	cfg := h.config.Load()
	credential := &Credential{Version: cfg.Version}
	if key != "" {
		digest := customer.DigestKey(key)
		credential.KeyDigest = digest[:]
	}
	name, ok := "", true
	if cfg.NeedsKey(route.Queue.Name) {
		name, ok = cfg.CustomerOf(credential.KeyDigest)
	}
	r.Customer, r.Credential = name, credential
	if ok {
		return true
	}
	reason := reasonKeyUnknown
	if key == "" {
		reason = reasonKeyMissing
	}
	h.refuseAccess(*r, reason)
	return false
}

// recheck checks a caller's key again if this node has a newer configuration than the
// one by which the call was admitted. A node with an older one trusts the newer one. ok
// is false if the newer configuration does not have the key.
func (h *Host) recheck(r Request) (checked Request, ok bool) {
	cfg := h.config.Load()
	if r.Credential == nil || cfg == nil || cfg.Version <= r.Credential.Version {
		return r, true
	}
	name := ""
	if cfg.NeedsKey(r.Queue) {
		if name, ok = cfg.CustomerOf(r.Credential.KeyDigest); !ok {
			h.refuseAccess(r, reasonKeyRemoved)
			return r, false
		}
	}
	r.Customer, r.Credential = name, &Credential{KeyDigest: r.Credential.KeyDigest, Version: cfg.Version}
	return r, true
}

// caller returns who asks. Only operators' requests have no credential.
func (r Request) caller() customer.Caller {
	return customer.Caller{Customer: r.Customer, Queue: r.Queue, Operator: r.Credential == nil}
}

// submitter returns the caller on whose behalf a job is submitted, or yielded by another
// shard.
func (r Request) submitter() customer.Caller {
	return customer.Caller{Customer: r.Customer, Queue: r.Queue}
}

// submittedFor returns the customer of a submitted job. Operators may name any.
func (r Request) submittedFor() string {
	if r.Credential == nil && r.Job != nil {
		return r.Job.Customer
	}
	return r.Customer
}

// noteHidden records that a caller asks for another customer's job.
func (h *Host) noteHidden(core *shard.Core, r Request) {
	if !core.MayAccess(r.caller(), r.ID) {
		h.refuseAccess(r, reasonOtherCustomer)
	}
}

// refuseAccess counts a refusal and records it, unless there are many.
func (h *Host) refuseAccess(r Request, reason string) {
	if !h.stats.refusals.count(reason, monotonicMS()) {
		return
	}
	version := int64(0)
	if r.Credential != nil {
		version = r.Credential.Version
	}
	id := r.ID
	if spec.ValidateID(id) != nil {
		id = ""
	}
	h.record(events.AccessRefused, events.Fields{Request: id, Outcome: reason,
		Detail: fmt.Sprintf("%s queue=%s customer=%s config=%d", opNames[r.Op], r.Queue, r.Customer, version)})
}

// refusalLogPerSecond limits the log lines of refusals.
const refusalLogPerSecond = 20

// refusalCount counts refusals by reason.
type refusalCount struct {
	mu       sync.Mutex
	byReason map[string]int64
	// second is the current second, logged the number of its log lines.
	second, logged int64
}

// count counts a refusal and reports whether it is to be logged.
func (c *refusalCount) count(reason string, now int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = map[string]int64{}
	}
	c.byReason[reason]++
	if second := now / 1000; second != c.second {
		c.second, c.logged = second, 0
	}
	c.logged++
	return c.logged <= refusalLogPerSecond
}

// snapshot returns the numbers of refusals by reason.
func (c *refusalCount) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.byReason))
	for reason, n := range c.byReason {
		out[reason] = n
	}
	return out
}
