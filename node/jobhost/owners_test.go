package jobhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"wigeonwinch/node/deps"
)

// The owner of a pool of 80 workers needs more than a fifth of a core. On VMs
// of two sizes the owners must be the large VMs until each of them has several
// shards.
func TestShardsPreferNodesWithMostCoresPerShard(t *testing.T) {
	cfg := newTestSite(t, time.Millisecond).config("small-0", "127.0.0.1")
	cfg.Cores = 0.192
	h := New(cfg)
	now := monotonicMS()
	add := func(name string, cores float64, owned int) {
		h.nodes[name] = &nodeState{heartbeatAt: now, record: heartbeatRecord{Node: name, Incarnation: 1, Cores: cores, Owned: make([]ownership, owned)}}
	}
	for _, name := range []string{"small-1", "small-2", "small-3"} {
		add(name, 0.192, 0)
	}
	add("large-1", 0.8, 3)
	add("large-2", 0.8, 1)
	for i := range 12 {
		candidates := h.takeoverCandidates(deps.Partition{Topic: deps.TopicJobs, Index: i}, now, map[string]int{})
		assert.Equal(t, []string{"large-2", "large-1"}, candidates[:2], "partition %d", i)
	}

	add("large-1", 0.8, 9)
	add("large-2", 0.8, 9)
	candidates := h.takeoverCandidates(deps.Partition{Topic: deps.TopicJobs}, now, map[string]int{})
	assert.Contains(t, candidates[0], "small-", "an idle small VM precedes large VMs with many shards")
}

// In a rolling restart of a large fleet the node that started last is mostly a
// small VM, which is too slow to list and plan for a thousand VMs.
func TestFleetControllerPrefersLargeVMs(t *testing.T) {
	cfg := newTestSite(t, time.Millisecond).config("large-old", "127.0.0.1")
	cfg.Cores, cfg.Incarnation = 0.8, 1
	h := New(cfg)
	now := monotonicMS()
	node := func(name string, cores float64, startedS int64) {
		h.nodes[name] = &nodeState{record: heartbeatRecord{Node: name, Cores: cores, Incarnation: startedS * time.Second.Nanoseconds()}, heartbeatAt: now}
	}
	node("small-new", 0.2, 100)
	node("large-new", 0.8, 50)
	assert.Equal(t, []string{"large-new", "large-old", "small-new"}, h.takeoverCandidates(fleetPartition, now, nil))
}
