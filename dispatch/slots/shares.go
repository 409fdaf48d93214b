// Package slots divides the slots of each worker between the entry nodes of a
// zone, and lets nodes borrow idle slots from each other, without a shared
// store.
//
//	share := slots.Share("worker-7", 8, members, "entry-1")
//
// Share is a pure function of the worker and the member list of the zone's
// entry epoch. Nodes that know the same epoch therefore compute the same shares
// without exchanging messages, and the shares add up to exactly the worker's
// slots. A Ledger adds borrowing on top of the shares.
package slots

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Share returns how many of a worker's slots belong to a member. A member that
// is not in the list has none.
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

// rank returns the member's position in an order of the members that is
// specific to the worker. This spreads the remainders of many workers over all
// members.
func rank(worker string, members []string, index int) int {
	own := weight(worker, members[index])
	higher := 0
	for i, other := range members {
		if i == index {
			continue
		}
		c := cmp.Compare(weight(worker, other), own)
		if c > 0 || c == 0 && i < index {
			higher++
		}
	}
	return higher
}

// weight returns the hash that orders the members of a worker.
func weight(worker, member string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(worker))
	h.Write([]byte{0})
	h.Write([]byte(member))
	return mix(h.Sum64())
}

// mix distributes the entropy of a hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
