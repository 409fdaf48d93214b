// Package room keeps what each customer has running, over all workers, services and
// owners of shards, below its cap. One Arbiter per fleet hands out the room below the
// caps. Each owner of a shard has a Holder, which says whether a task may start, asks
// for room and gives idle room back. Nothing here does I/O or reads a clock.
//
//	h := room.NewHolder(shard, epoch)
//	h.SetCaps(version, caps)
//	if h.Allows("lab", need) {
//		h.Count("lab", need, 1) // the task is placed
//	}
//	if r, ok := h.Report(now, arbiterEpoch); ok {
//		answer, err := arbiter.Handle(now, r) // on another node
//		h.Apply(now, r.Sequence, answer)
//	}
//
// The sum of what the holders hold is never raised above a cap. What a holder was given
// stays with it until it reports less or its shard has a new owner, so a holder that is
// silent needs no clock to be bounded.
package room

import "wigeonwinch/jobs/spec"

// Caps are the caps of the customers by name. 0 in a dimension means no limit.
type Caps map[string]spec.Resources

// Account is what a holder reports of one customer. Dimensions without a cap are 0.
type Account struct {
	_        struct{} `cbor:",toarray"`
	Customer string
	// Held is what the holder may use and what it does use, whichever is more.
	Held spec.Resources
	Used spec.Resources
	// Want is Used and what waits for room. Next is what the first of the waiting
	// starts needs; zero if none waits.
	Want, Next spec.Resources
}

// Report tells the arbiter what the holder of one shard holds.
type Report struct {
	Shard int `cbor:"1,keyasint"`
	// Epoch is the epoch of the shard's owner, Sequence grows with each report of it.
	Epoch    int64 `cbor:"2,keyasint"`
	Sequence int64 `cbor:"3,keyasint"`
	// Full reports whether Accounts holds all accounts and not only changed ones.
	Full     bool      `cbor:"4,keyasint,omitempty"`
	Accounts []Account `cbor:"5,keyasint,omitempty"`
}

// Limit is the room that a holder may use for one customer from now on.
type Limit struct {
	_        struct{} `cbor:",toarray"`
	Customer string
	Room     spec.Resources
}

// Answer is the arbiter's answer to a Report. Customers of the report that it does not
// list keep their limit.
type Answer struct {
	// Arbiter is the epoch of the arbiter.
	Arbiter int64 `cbor:"1,keyasint"`
	// NeedFull reports whether the arbiter does not know the holder and needs a full
	// report. Limits is empty then.
	NeedFull bool    `cbor:"2,keyasint,omitempty"`
	Limits   []Limit `cbor:"3,keyasint,omitempty"`
	// Version is the version of the configuration whose caps the arbiter knows. Holders
	// that know a newer one ignore the limits.
	Version int64 `cbor:"4,keyasint,omitempty"`
	// Granting reports whether the arbiter hands out room. Until it does, holders keep
	// what they have.
	Granting bool `cbor:"5,keyasint,omitempty"`
}

// perDimension applies f to each dimension.
func perDimension(a, b spec.Resources, f func(a, b int) int) spec.Resources {
	return spec.Resources{MilliCPU: f(a.MilliCPU, b.MilliCPU), MemoryMB: f(a.MemoryMB, b.MemoryMB), GPUs: f(a.GPUs, b.GPUs)}
}

func larger(a, b spec.Resources) spec.Resources {
	return perDimension(a, b, func(a, b int) int { return max(a, b) })
}

func smaller(a, b spec.Resources) spec.Resources {
	return perDimension(a, b, func(a, b int) int { return min(a, b) })
}

// within returns the part of r in the dimensions that a cap limits.
func within(limit, r spec.Resources) spec.Resources {
	return perDimension(limit, r, func(limit, r int) int {
		if limit == 0 {
			return 0
		}
		return r
	})
}

// exceeds reports whether r is above a limit in a dimension that the cap limits.
func exceeds(limit, r, bound spec.Resources) bool {
	return limit.MilliCPU > 0 && r.MilliCPU > bound.MilliCPU ||
		limit.MemoryMB > 0 && r.MemoryMB > bound.MemoryMB ||
		limit.GPUs > 0 && r.GPUs > bound.GPUs
}

// smallerCapped returns what a start has to have room for: what it needs, but never more
// than the cap.
func smallerCapped(limit, need spec.Resources) spec.Resources {
	return perDimension(limit, need, func(limit, need int) int {
		if limit == 0 {
			return need
		}
		return min(limit, need)
	})
}

func times(r spec.Resources, n int) spec.Resources {
	return spec.Resources{MilliCPU: r.MilliCPU * n, MemoryMB: r.MemoryMB * n, GPUs: r.GPUs * n}
}
