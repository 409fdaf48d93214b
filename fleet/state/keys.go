package state

import "github.com/cespare/xxhash/v2"

// keyWindow is the number of latest records whose keys are remembered. A
// repeat from further back is refused by its generation, sequence or epoch.
const keyWindow = 4096

// keyRing remembers the hashes of the keys of the latest records.
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

// add remembers a hash that is not contained and forgets the oldest.
func (k *keyRing) add(hash uint64) {
	k.seen[hash] = struct{}{}
	if len(k.ring) < keyWindow {
		k.ring = append(k.ring, hash)
		return
	}
	delete(k.seen, k.ring[k.next])
	k.ring[k.next] = hash
	k.next = (k.next + 1) % keyWindow
}

// oldestFirst returns the hashes in the order in which they were added.
func (k *keyRing) oldestFirst() []uint64 {
	list := make([]uint64, 0, len(k.ring))
	list = append(list, k.ring[k.next:]...)
	return append(list, k.ring[:k.next]...)
}
