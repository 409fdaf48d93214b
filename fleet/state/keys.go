package state

import "github.com/cespare/xxhash/v2"

// dedupWindow is the number of most recent keys that are remembered. A repeated
// record whose key is no longer remembered is refused because its generation,
// sequence or epoch is stale.
const dedupWindow = 4096

// keyRing is a ring buffer of the hashes of the most recent keys.
type keyRing struct {
	ring []uint64
	next int
	seen map[uint64]struct{}
}

func newKeyRing() keyRing {
	return keyRing{seen: map[uint64]struct{}{}}
}

func hashBytes(data []byte) uint64 {
	return xxhash.Sum64(data)
}

func hashKey(key string) uint64 {
	return xxhash.Sum64String(key)
}

func (k *keyRing) contains(hash uint64) bool {
	_, ok := k.seen[hash]
	return ok
}

// add adds a hash that the ring does not contain yet. A full ring drops its
// oldest hash.
func (k *keyRing) add(hash uint64) {
	k.seen[hash] = struct{}{}
	if len(k.ring) < dedupWindow {
		k.ring = append(k.ring, hash)
		return
	}
	delete(k.seen, k.ring[k.next])
	k.ring[k.next] = hash
	k.next = (k.next + 1) % dedupWindow
}

// oldestFirst returns the hashes in the order in which they were added.
func (k *keyRing) oldestFirst() []uint64 {
	list := make([]uint64, 0, len(k.ring))
	list = append(list, k.ring[k.next:]...)
	return append(list, k.ring[:k.next]...)
}
