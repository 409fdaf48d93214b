// Package relay decides which entry nodes send an owner's calls to its workers.
//
// The decisions about one pool stay with one owner, but the calls to its workers
// cost many times the processor time of the decisions. The owner of a large pool
// therefore sends them in batches to relays: other entry nodes, each of which
// calls the workers of its own availability zone. The load pattern that this
// answers is a pool in its peak, when every worker ends and starts several tasks
// a second.
package relay

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
)

// The parameters of an assignment.
const (
	// MinWorkers is the smallest pool whose owner uses relays.
	MinWorkers = 48
	// coresPerWorker is the processor time per second that the calls to one busy
	// worker need.
	coresPerWorker = 0.012
	// usableShare is the share of a relay's cores that is planned for calls. The
	// rest is for its own callers and for the calls of other owners.
	usableShare = 0.35
	// workerStep rounds the number of workers in a zone, so that the set of
	// relays does not change with each worker.
	workerStep = 16
)

// Node is an entry node that may be a relay.
type Node struct {
	Name, Zone string
	// Cores is the CPU capacity of the node's VM in cores.
	Cores float64
}

// Worker is a worker of the owner's shard.
type Worker struct{ ID, Zone string }

// Assign returns the relay of each worker, by worker ID. Workers without an entry
// are called by the owner itself: all of them in a pool below MinWorkers, and
// those in zones without a node. Most workers keep their relay when workers or
// nodes come and go.
func Assign(shard string, workers []Worker, nodes []Node) map[string]string {
	assigned := map[string]string{}
	if len(workers) < MinWorkers {
		return assigned
	}
	workersByZone := map[string][]string{}
	for _, w := range workers {
		workersByZone[w.Zone] = append(workersByZone[w.Zone], w.ID)
	}
	for zone, ids := range workersByZone {
		chosen := choose(shard, zone, len(ids), nodes)
		for _, id := range ids {
			if name := pick(id, chosen); name != "" {
				assigned[id] = name
			}
		}
	}
	return assigned
}

// choose returns the relays for the given number of workers in a zone: the
// largest nodes of the zone, as many as the calls need.
func choose(shard, zone string, workers int, nodes []Node) []Node {
	var candidates []Node
	for _, n := range nodes {
		if n.Zone == zone && n.Cores > 0 {
			candidates = append(candidates, n)
		}
	}
	slices.SortFunc(candidates, func(a, b Node) int {
		switch {
		case a.Cores > b.Cores:
			return -1
		case a.Cores < b.Cores:
			return 1
		}
		return strings.Compare(fmt.Sprintf("%016x", hash(shard, a.Name)), fmt.Sprintf("%016x", hash(shard, b.Name)))
	})
	rounded := (workers + workerStep - 1) / workerStep * workerStep
	needed := float64(rounded) * coresPerWorker / usableShare
	for i, n := range candidates {
		if needed <= 0 {
			return candidates[:i]
		}
		needed -= n.Cores
	}
	return candidates
}

// pick returns the node for a worker by weighted rendezvous hashing: a node that
// leaves the list moves only its own workers.
func pick(worker string, nodes []Node) string {
	best, bestScore := "", math.Inf(-1)
	for _, n := range nodes {
		u := (float64(hash(worker, n.Name)>>11) + 0.5) / (1 << 53)
		if score := n.Cores / -math.Log(u); score > bestScore {
			best, bestScore = n.Name, score
		}
	}
	return best
}

// hash returns a hash of two strings whose bits are well mixed.
func hash(a, b string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(a))
	_, _ = f.Write([]byte{0})
	_, _ = f.Write([]byte(b))
	h := f.Sum64()
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
