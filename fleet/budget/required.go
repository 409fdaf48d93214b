package budget

import "wigeonwinch/fleet/structs"

// Required returns the least number of the pool's workers, as they stand in
// racks and zones, that keeps its budgets through the named loss and one more
// failed worker. It is larger than the pool when the pool can't bear that.
func (l *Ledger) Required(name string) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	most := 0
	for _, r := range p.rules {
		most = max(most, p.requiredByRule(r), p.requiredByZone(r))
	}
	return most
}

func (p *pool) requiredByRule(r rule) int {
	least := r.min + vmReserve
	switch r.survive {
	case structs.FailureDomainZone:
		return leastSurviving(p.total-p.failed, least, &p.zones.sound)
	case structs.FailureDomainRack:
		return leastSurviving(p.total-p.failed, least, &p.racks.sound)
	case structs.FailureDomainVM:
		return least + vmReserve
	}
	return least
}

// leastSurviving returns how many workers must stay so that least are left
// after the loss of the largest domain, when those of the largest domains go
// first.
func leastSurviving(sound, least int, d *heights) int {
	best := least + d.max
	for loss := d.max; loss >= 0; loss-- {
		stay := least + loss
		if sound-stay >= d.excess(loss) {
			best = min(best, stay)
		}
	}
	return best
}

func (p *pool) requiredByZone(r rule) int {
	if r.perZone == 0 {
		return 0
	}
	sum := 0
	for i := range p.zones.cells {
		zone := &p.zones.cells[i]
		sum += min(zone.sound, r.perZone+vmReserve)
	}
	return sum
}

// RequiredAnywhere returns what Required would be at least if the pool's
// workers could stand in any rack of the given number of zones.
func (l *Ledger) RequiredAnywhere(name string, zones int) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	most := 0
	for _, r := range p.rules {
		most = max(most, r.requiredAnywhere(zones))
	}
	return most
}

func (r rule) requiredAnywhere(zones int) int {
	least := r.min + vmReserve
	switch r.survive {
	case structs.FailureDomainZone:
		n := least
		for zones > 0 && n-(n+zones-1)/zones < least && n < 2*least+1 {
			n++
		}
		return n
	case structs.FailureDomainRack, structs.FailureDomainVM:
		return least + vmReserve
	}
	return least
}
