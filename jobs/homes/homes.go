// Package homes decides which shards may hold jobs of a queue.
//
// A queue belongs to the shard of its service, and moves when the operator gives it
// to another service. Jobs stay in the shard that accepted them, so a submission that
// arrives once more after a move must be looked for in the earlier shards. The book
// of homes tells which these are. Each shard stores its entry before it accepts the
// first job of a queue and reads the book afterwards. Of two shards that accept jobs
// of one queue at least the one that has read last thus knows the other.
//
// The package does no I/O and reads no clock.
package homes

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/codec"
)

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{ArrayElements: 16, MapPairs: 16, NestedLevels: 4})
)

// Home is one shard that accepts, or has accepted, jobs of a queue.
type Home struct {
	Queue string `cbor:"1,keyasint"`
	Shard int    `cbor:"2,keyasint"`
	// SinceMS is when the queue came to the shard, in Unix milliseconds.
	SinceMS int64 `cbor:"3,keyasint"`
}

// Key returns the key under which the home is stored. Names of queues may be longer
// than the store's keys.
func (h Home) Key() string {
	sum := sha256.Sum256([]byte(h.Queue))
	return fmt.Sprintf("%d/%x", h.Shard, sum[:16])
}

// Encode returns the record of the home.
func (h Home) Encode() ([]byte, error) {
	value, err := encMode.Marshal(h)
	return value, errors.Wrapf(err, "encode the home of queue %s", h.Queue)
}

// Decode is the inverse of Encode.
func Decode(value []byte) (Home, error) {
	var h Home
	err := decMode.Unmarshal(value, &h)
	return h, errors.Wrap(err, "decode the home of a queue")
}

// Book holds the homes of all queues. The zero value is empty.
type Book struct{ byQueue map[string][]Home }

// Add adds a home.
func (b *Book) Add(h Home) {
	if b.byQueue == nil {
		b.byQueue = map[string][]Home{}
	}
	b.byQueue[h.Queue] = append(b.byQueue[h.Queue], h)
}

// Shards returns all shards that have ever accepted jobs of the queue. Jobs that run, and
// those that last, outlive the time in which callers submit them once more.
func (b *Book) Shards(queue string) []int {
	var shards []int
	for _, h := range b.byQueue[queue] {
		shards = append(shards, h.Shard)
	}
	return shards
}

// AllShards returns the shards that have ever accepted jobs of any queue, in ascending
// order.
func (b *Book) AllShards() []int {
	shards := map[int]bool{}
	for _, list := range b.byQueue {
		for _, h := range list {
			shards[h.Shard] = true
		}
	}
	return slices.Sorted(maps.Keys(shards))
}

// newest returns the home to which the queue came last.
func (b *Book) newest(queue string) (Home, bool) {
	var newest Home
	found := false
	for _, h := range b.byQueue[queue] {
		if !found || h.SinceMS > newest.SinceMS {
			newest, found = h, true
		}
	}
	return newest, found
}

// Settled reports whether the shard is the newest home of the queue.
func (b *Book) Settled(queue string, shard int) bool {
	newest, found := b.newest(queue)
	return found && newest.Shard == shard
}

// Next returns the home to store before the shard accepts jobs of the queue. It is
// newer than the others, also if the clock of this VM is behind.
func (b *Book) Next(queue string, shard int, wallMS int64) Home {
	if newest, found := b.newest(queue); found {
		wallMS = max(wallMS, newest.SinceMS+1)
	}
	return Home{Queue: queue, Shard: shard, SinceMS: wallMS}
}

// Earlier returns the other shards that may hold jobs of the queue which callers
// submit once more. keepMS is how long after a move callers may do so.
func (b *Book) Earlier(queue string, shard int, wallMS, keepMS int64) []int {
	var earlier []int
	for _, h := range b.byQueue[queue] {
		if h.Shard == shard {
			if wallMS > h.SinceMS+keepMS {
				return nil
			}
			continue
		}
		earlier = append(earlier, h.Shard)
	}
	return earlier
}
