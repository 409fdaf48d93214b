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
	// Recalls is how often a drain of the VM was called back.
	Recalls int
	// zoneHeight and rackHeight are the VM's place counted from the bottom of
	// the available VMs of its pool in its zone and rack.
	zoneHeight int
	rackHeight int
	// critical says that the VM's zone needs as many turns as the pool.
	critical bool
}

// Order sorts the candidates of one pool so that taking them in turn keeps
// the largest zone and the largest rack as small as possible: the loss that
// the budgets must survive then shrinks with every VM taken, and most VMs can
// be out at once. Among equals the least busy VM comes first. Zones in which
// fewer VMs may be out at once, so that they need as many turns as the whole
// pool, come before all others.
func Order(ledger *budget.Ledger, candidates []Candidate) {
	sort.Slice(candidates, func(i, j int) bool { return lessBusy(&candidates[i], &candidates[j]) })
	place(ledger, candidates)
	if len(candidates) == 0 {
		return
	}
	markCritical(ledger, candidates)
	byZone := ledger.NamesZone(candidates[0].VM.Pool)
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := &candidates[i], &candidates[j]
		if a.critical != b.critical {
			return a.critical
		}
		if byZone && a.zoneHeight != b.zoneHeight {
			return a.zoneHeight > b.zoneHeight
		}
		if a.rackHeight != b.rackHeight {
			return a.rackHeight > b.rackHeight
		}
		return a.zoneHeight > b.zoneHeight
	})
}

func lessBusy(a, b *Candidate) bool {
	if a.Recalls != b.Recalls {
		return a.Recalls < b.Recalls
	}
	if a.InProgress != b.InProgress {
		return a.InProgress < b.InProgress
	}
	return a.VM.ID < b.VM.ID
}

// rackName names a rack in a zone.
type rackName struct {
	zone string
	rack string
}

// place gives each candidate its height: the first of a zone or rack stands
// on top, the next one below it.
func place(ledger *budget.Ledger, candidates []Candidate) {
	zones := make(map[string]int)
	racks := make(map[rackName]int)
	for i := range candidates {
		c := &candidates[i]
		rack := rackName{zone: c.VM.Zone, rack: c.VM.Rack}
		c.zoneHeight = ledger.InZone(c.VM.Pool, c.VM.Zone) - zones[c.VM.Zone]
		c.rackHeight = ledger.InRack(c.VM.Pool, c.VM.Zone, c.VM.Rack) - racks[rack]
		zones[c.VM.Zone]++
		racks[rack]++
	}
}

// markCritical marks the candidates of each zone whose VMs, taken as many at a
// time as the zone's budget allows, need as many turns as the whole pool. A
// zone that needs one turn only can come last.
func markCritical(ledger *budget.Ledger, candidates []Candidate) {
	pool := candidates[0].VM.Pool
	inZone := make(map[string]int)
	for i := range candidates {
		inZone[candidates[i].VM.Zone]++
	}
	left := turns(len(candidates), ledger.MaxOut(pool))
	critical := make(map[string]bool, len(inZone))
	for zone, n := range inZone {
		own := turns(n, ledger.MaxOutInZone(pool, zone))
		critical[zone] = own > 1 && own >= left
	}
	for i := range candidates {
		candidates[i].critical = critical[candidates[i].VM.Zone]
	}
}

// turns is how often some of n VMs must be taken out when so many can be out
// at once.
func turns(n, most int) int {
	most = max(most, 1)
	return (n + most - 1) / most
}
