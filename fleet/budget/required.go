package budget

import "wigeonwinch/fleet/structs"

// Required returns the minimum number of the pool's workers, in their current
// racks and zones, that keeps its budgets after the loss of the named failure
// domain and of one more worker. It is larger than the pool if the pool can't
// survive that.
func (l *Ledger) Required(name string) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	required := 0
	for _, r := range p.rules {
		required = max(required, p.requiredByRule(r), p.requiredByZone(r))
	}
	return required
}

func (p *pool) requiredByRule(r rule) int {
	minimum := r.min + vmReserve
	switch r.survive {
	case structs.FailureDomainZone:
		return minRequiredSurvivingLoss(p.total-p.failed, minimum, &p.zones.healthy)
	case structs.FailureDomainRack:
		return minRequiredSurvivingLoss(p.total-p.failed, minimum, &p.racks.healthy)
	case structs.FailureDomainVM:
		return minimum + vmReserve
	}
	return minimum
}

// minRequiredSurvivingLoss returns how many workers must remain in service so
// that the minimum is left after the loss of the largest domain, if workers of
// the largest domains are taken out of service first.
func minRequiredSurvivingLoss(healthy, minimum int, d *countHistogram) int {
	best := minimum + d.max
	for loss := d.max; loss >= 0; loss-- {
		remaining := minimum + loss
		if healthy-remaining >= d.excess(loss) {
			best = min(best, remaining)
		}
	}
	return best
}

func (p *pool) requiredByZone(r rule) int {
	if r.perZone == 0 {
		return 0
	}
	sum := 0
	for i := range p.zones.counts {
		zone := &p.zones.counts[i]
		sum += min(zone.healthy, r.perZone+vmReserve)
	}
	return sum
}

// RequiredLowerBound returns a lower bound of Required over all placements of
// the pool's workers in racks of the given number of zones.
func (l *Ledger) RequiredLowerBound(name string, zones int) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	required := 0
	for _, r := range p.rules {
		required = max(required, r.requiredAnywhere(zones))
	}
	return required
}

func (r rule) requiredAnywhere(zones int) int {
	minimum := r.min + vmReserve
	switch r.survive {
	case structs.FailureDomainZone:
		n := minimum
		for zones > 0 && n-(n+zones-1)/zones < minimum && n < 2*minimum+1 {
			n++
		}
		return n
	case structs.FailureDomainRack, structs.FailureDomainVM:
		return minimum + vmReserve
	}
	return minimum
}
