package budget

import "wigeonwinch/fleet/structs"

// MaxUnavailable returns the largest number of a pool's workers that planned
// outages can take out of service at once, given the workers that have failed.
func (l *Ledger) MaxUnavailable(name string) int {
	return l.maxUnavailable(name, true)
}

// MaxUnavailableByBudget returns the largest number of a pool's workers that
// any plan could take out of service at once under the declared budgets alone,
// without the reserve for random failures that the ledger adds.
func (l *Ledger) MaxUnavailableByBudget(name string) int {
	return l.maxUnavailable(name, false)
}

func (l *Ledger) maxUnavailable(name string, withReserve bool) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	most := p.total
	for _, r := range p.rules {
		most = min(most, p.maxUnavailableByRule(r, withReserve), p.maxUnavailableByZone(r, withReserve))
	}
	return max(most, 0)
}

func (p *pool) maxUnavailableByRule(r rule, withReserve bool) int {
	healthy := p.total - p.failed
	switch r.survive {
	case structs.FailureDomainZone:
		return maxUnavailableSurvivingLoss(healthy, r.min, &p.zones.healthy)
	case structs.FailureDomainRack:
		return maxUnavailableSurvivingLoss(healthy, r.min, &p.racks.healthy)
	case structs.FailureDomainVM:
		if r.min == 0 {
			return healthy
		}
		return healthy - r.min - vmReserve
	}
	if withReserve {
		return healthy - r.min - p.lossReserve(r)
	}
	return healthy - r.min
}

// maxUnavailableSurvivingLoss returns how many of the healthy VMs can be out of
// service so that the minimum remains after the loss of the largest domain. It
// tries each size of the largest remaining domain, because taking VMs out of the
// largest domains reduces the loss that must be survived.
func maxUnavailableSurvivingLoss(healthy, minimum int, d *countHistogram) int {
	most := 0
	for loss := d.max; loss >= 0; loss-- {
		out := healthy - minimum - loss
		if out >= d.excess(loss) {
			most = max(most, out)
		}
	}
	return most
}

func (p *pool) maxUnavailableByZone(r rule, withReserve bool) int {
	if r.perZone == 0 {
		return p.total
	}
	sum := 0
	for i := range p.zones.counts {
		sum += r.maxUnavailableInZone(&p.zones.counts[i], withReserve)
	}
	return sum
}

func (r rule) maxUnavailableInZone(zone *domainCounts, withReserve bool) int {
	keep := r.perZone
	if withReserve {
		keep += r.zoneReserve(zone)
	}
	return max(zone.healthy-keep, 0)
}

// MaxUnavailableInZone returns the largest number of a pool's workers in one
// zone that planned outages can take out of service at once. It considers only
// the budgets per zone.
func (l *Ledger) MaxUnavailableInZone(name, zone string) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	counts := p.zones.get(domain{zone: zone})
	most := counts.healthy
	for _, r := range p.rules {
		most = min(most, r.maxUnavailableInZone(&counts, true))
	}
	return most
}

// MaxUnavailableInZoneByBudget returns the largest number of a pool's workers
// in one zone that any plan could take out of service at once under the
// declared budgets per zone.
func (l *Ledger) MaxUnavailableInZoneByBudget(name, zone string) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	healthy := p.zones.get(domain{zone: zone}).healthy
	most := healthy
	for _, r := range p.rules {
		most = min(most, healthy-r.perZone)
	}
	return max(most, 0)
}

// Removable returns how many available workers could leave the pool now. It
// considers the pool's minimum and the loss that it must survive, but not the
// budgets per zone, and is therefore an estimate: Check decides for each VM.
func (l *Ledger) Removable(name string) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	most := p.available
	for _, r := range p.rules {
		most = min(most, p.available-p.lossReserve(r)-r.min)
	}
	return max(most, 0)
}
