package jobhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"wigeonwinch/node/deps"
)

// A pool of 80 workers asks more of its owner than a fifth of a core: on
// VMs of two sizes the owners must be the large ones until each has several.
func TestShardsGoWhereTheyHaveTheMostCores(t *testing.T) {
	cfg := newSite(t, time.Millisecond).config("small-0", "127.0.0.1")
	cfg.Cores = 0.192
	h := New(cfg)
	now := steadyMS()
	add := func(name string, cores float64, owned int) {
		h.nodes[name] = &nodeView{changedAt: now, record: heartbeatRecord{Node: name, Boot: 1, Cores: cores, Owned: make([]ownership, owned)}}
	}
	for _, name := range []string{"small-1", "small-2", "small-3"} {
		add(name, 0.192, 0)
	}
	add("large-1", 0.8, 3)
	add("large-2", 0.8, 1)
	for i := range 12 {
		order := h.candidates(deps.Partition{Topic: deps.TopicJobs, Index: i}, now, map[string]int{})
		assert.Equal(t, []string{"large-2", "large-1"}, order[:2], "partition %d", i)
	}

	add("large-1", 0.8, 9)
	add("large-2", 0.8, 9)
	order := h.candidates(deps.Partition{Topic: deps.TopicJobs}, now, map[string]int{})
	assert.Contains(t, order[0], "small-", "large VMs with many shards come after an idle small one")
}
