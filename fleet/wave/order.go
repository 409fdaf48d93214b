package wave

import (
	"sort"

	"wigeonwinch/fleet/budget"
	"wigeonwinch/fleet/structs"
)

// Candidate is a VM that may be taken out of service.
type Candidate struct {
	VM *structs.VMStatus
	// InProgress is the number of requests running on the worker.
	InProgress int
	// CanceledDrains is how many drains of the VM were canceled in a row.
	CanceledDrains int
	// zoneRemaining and rackRemaining count the pool's available VMs in the
	// VM's zone and rack, including this VM, once the candidates before it are
	// out of service.
	zoneRemaining int
	rackRemaining int
	// critical is whether the VM's zone needs as many batches as the pool.
	critical bool
}

// Order sorts the candidates of one pool so that draining them in order keeps
// the largest zone and the largest rack as small as possible. The loss that the
// budgets must survive then shrinks with every drained VM, and the largest
// number of VMs can be out of service at once. VMs that are otherwise equal are
// sorted by canceled drains and by requests in progress, fewest first. Zones in
// which fewer VMs may be out at once, so that they need as many batches as the
// whole pool, come before all others.
func Order(ledger *budget.Ledger, candidates []Candidate) {
	sort.Slice(candidates, func(i, j int) bool { return lessDisruptive(&candidates[i], &candidates[j]) })
	countRemaining(ledger, candidates)
	if len(candidates) == 0 {
		return
	}
	markCritical(ledger, candidates)
	byZone := ledger.MustSurviveZoneLoss(candidates[0].VM.Pool)
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := &candidates[i], &candidates[j]
		if a.critical != b.critical {
			return a.critical
		}
		if byZone && a.zoneRemaining != b.zoneRemaining {
			return a.zoneRemaining > b.zoneRemaining
		}
		if a.rackRemaining != b.rackRemaining {
			return a.rackRemaining > b.rackRemaining
		}
		return a.zoneRemaining > b.zoneRemaining
	})
}

func lessDisruptive(a, b *Candidate) bool {
	if a.CanceledDrains != b.CanceledDrains {
		return a.CanceledDrains < b.CanceledDrains
	}
	if a.InProgress != b.InProgress {
		return a.InProgress < b.InProgress
	}
	return a.VM.ID < b.VM.ID
}

// rackKey identifies a rack by its zone and name.
type rackKey struct {
	zone string
	rack string
}

// countRemaining sets zoneRemaining and rackRemaining of each candidate, in the
// current order of the candidates.
func countRemaining(ledger *budget.Ledger, candidates []Candidate) {
	zones := make(map[string]int)
	racks := make(map[rackKey]int)
	for i := range candidates {
		c := &candidates[i]
		rack := rackKey{zone: c.VM.Zone, rack: c.VM.Rack}
		c.zoneRemaining = ledger.AvailableInZone(c.VM.Pool, c.VM.Zone) - zones[c.VM.Zone]
		c.rackRemaining = ledger.AvailableInRack(c.VM.Pool, c.VM.Zone, c.VM.Rack) - racks[rack]
		zones[c.VM.Zone]++
		racks[rack]++
	}
}

// markCritical marks the candidates of each zone that needs as many batches as
// the whole pool when each batch is as large as the zone's budget allows. A zone
// that needs a single batch can come last.
func markCritical(ledger *budget.Ledger, candidates []Candidate) {
	pool := candidates[0].VM.Pool
	inZone := make(map[string]int)
	for i := range candidates {
		inZone[candidates[i].VM.Zone]++
	}
	poolBatches := batches(len(candidates), ledger.MaxUnavailable(pool))
	critical := make(map[string]bool, len(inZone))
	for zone, n := range inZone {
		zoneBatches := batches(n, ledger.MaxUnavailableInZone(pool, zone))
		critical[zone] = zoneBatches > 1 && zoneBatches >= poolBatches
	}
	for i := range candidates {
		candidates[i].critical = critical[candidates[i].VM.Zone]
	}
}

// batches returns the number of batches needed to take n VMs out of service
// when at most maxUnavailable can be out at once.
func batches(n, maxUnavailable int) int {
	maxUnavailable = max(maxUnavailable, 1)
	return (n + maxUnavailable - 1) / maxUnavailable
}
