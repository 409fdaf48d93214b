// Package slots divides each worker's slots between the entry nodes of a
// zone, and lets idle slots be borrowed, without a shared store.
//
//	share := slots.Share("worker-7", 8, members, "entry-1")
//
// Share is a pure function of the worker and the member list of the zone's
// entry epoch: nodes that know the same epoch agree on it without a message,
// and the shares add up to exactly the worker's slots. A Ledger adds borrowing
// on top.
package slots

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Share returns how many of a worker's slots belong to one member. Members
// without a place in the list have none.
func Share(worker string, total int, members []string, member string) int {
	index := slices.Index(members, member)
	if index < 0 || total <= 0 {
		return 0
	}
	base := total / len(members)
	if rank(worker, members, index) < total%len(members) {
		return base + 1
	}
	return base
}

// rank is the member's place in the worker's own order of the members, so
// that the remainders of many workers spread over all members.
func rank(worker string, members []string, index int) int {
	mine := weight(worker, members[index])
	before := 0
	for i, other := range members {
		if i == index {
			continue
		}
		c := cmp.Compare(weight(worker, other), mine)
		if c > 0 || c == 0 && i < index {
			before++
		}
	}
	return before
}

func weight(worker, member string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(worker))
	h.Write([]byte{0})
	h.Write([]byte(member))
	return mix(h.Sum64())
}

// mix spreads the hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
