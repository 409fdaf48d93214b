package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// rotateInterval is the time between two versions that exchange the rotated key.
	rotateInterval = 3 * time.Second
	probeInterval  = 100 * time.Millisecond
	// keyApplyTime is when calm nodes know the keys of a new version.
	keyApplyTime = 2*time.Second + judgeSlack
)

// lastingKey returns the key that a customer keeps. The first customer has another one
// that is exchanged from time to time.
func lastingKey(customer string) string { return customer + "-lasting" }

// keySpan is the time in which the configuration has a key.
type keySpan struct{ added, removed time.Time }

// Keys knows which keys the configuration has had.
type Keys struct {
	mu      sync.Mutex
	spans   map[string]keySpan
	rotated []string
	caps    bool
}

// NewKeys returns the customers' lasting keys. caps says whether the customers have caps.
func NewKeys(caps bool) *Keys {
	k := &Keys{spans: map[string]keySpan{}, caps: caps}
	for _, c := range soakCustomers {
		k.spans[lastingKey(c.name)] = keySpan{}
	}
	return k
}

// next returns the customers of a new version. applied notes its keys once it is written.
func (k *Keys) next() (customers []map[string]any, applied func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := fmt.Sprintf("%s-rotated-%d", soakCustomers[0].name, len(k.rotated))
	for i, c := range soakCustomers {
		keys := []string{lastingKey(c.name)}
		if i == 0 {
			keys = append(keys, fresh)
		}
		customer := map[string]any{"name": c.name, "api_keys": keys, "weight": c.weight}
		if k.caps {
			customer["cap"] = map[string]int{"cpu": c.capMilliCPU}
		}
		customers = append(customers, customer)
	}
	k.spans[fresh] = keySpan{added: time.Now()}
	return customers, func() { k.exchange(fresh, time.Now()) }
}

func (k *Keys) exchange(fresh string, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.rotated); n > 0 {
		span := k.spans[k.rotated[n-1]]
		span.removed = at
		k.spans[k.rotated[n-1]] = span
	}
	k.spans[fresh] = keySpan{added: at}
	k.rotated = append(k.rotated, fresh)
}

// pick returns a key that is unknown, in force, or was taken away.
func (k *Keys) pick(random *rand.Rand) (key string, unknown bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := random.IntN(len(k.rotated) + 1)
	if n == len(k.rotated) {
		return []string{"", "red", "red-lasting-2"}[random.IntN(3)], true
	}
	return k.rotated[n], false
}

// check returns the rule that an answer to a call with a key breaks, and why; or "".
// calm reports whether the node that answered has been in touch all the while.
func (k *Keys) check(key string, status int, sent time.Time, calm bool) (rule, why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	span, known := k.spans[key]
	served := status/100 == 2
	switch {
	case !known && served:
		return ruleRoute, "no configuration has had the key"
	case known && span.removed.IsZero() && status == http.StatusUnauthorized && (span.added.IsZero() || calm && sent.Sub(span.added) > keyApplyTime):
		return ruleConfig, "the configuration has the key"
	case !span.removed.IsZero() && served && calm && sent.Sub(span.removed) > keyApplyTime:
		return ruleConfig, "the configuration no longer has the key"
	}
	return "", ""
}

// Keyed notes the answer of a node to a call with a key.
func (j *Judge) Keyed(keys *Keys, node, key string, status int, sent time.Time) {
	calm := j.calm.For(contactTime+time.Since(sent), node)
	if rule, why := keys.check(key, status, sent, calm); rule != "" {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.violate(rule, "-", "%s answers a call with key %q, sent at %.3f, with %d: %s", node, key, j.record.Seconds(sent), status, why)
	}
}

// rotateKeys exchanges a key again and again until ctx ends.
func (c *Cluster) rotateKeys(ctx context.Context) {
	for sleep(ctx, rotateInterval); ctx.Err() == nil; sleep(ctx, rotateInterval) {
		if err := c.configure(); err != nil {
			c.record.Printf("the configuration is not written: %v", err)
		}
	}
}

// Probe calls all nodes with all kinds of keys until ctx ends. A job that is handed in
// with an unknown key must never start.
func (c *Client) Probe(ctx context.Context) {
	defer c.Close()
	for ; ctx.Err() == nil; sleep(ctx, probeInterval) {
		key, unknown := c.cluster.keys.pick(c.random)
		c.keyOf = func(string) string { return key }
		path := queues[c.random.IntN(len(queues))].path
		if unknown {
			c.call(ctx, c.anyNode(), http.MethodPost, fmt.Sprintf("%s%016x", path, c.random.Uint64()), randomJob(c.random, false), clientTimeout)
			continue
		}
		c.call(ctx, c.anyNode(), http.MethodGet, path, nil, clientTimeout)
	}
}
