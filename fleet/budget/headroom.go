package budget

import "wigeonwinch/fleet/structs"

// MaxOut returns the largest number of a pool's workers that can be out of
// service by plan at once, given the workers that have failed.
func (l *Ledger) MaxOut(name string) int {
	return l.maxOut(name, true)
}

// Bound returns the largest number of a pool's workers that any plan could
// have out at once under the declared budgets alone, without the reserve for
// random failures that the ledger adds.
func (l *Ledger) Bound(name string) int {
	return l.maxOut(name, false)
}

func (l *Ledger) maxOut(name string, withReserve bool) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	most := p.total
	for _, r := range p.rules {
		most = min(most, p.maxOutByRule(r, withReserve), p.maxOutByZone(r, withReserve))
	}
	return max(most, 0)
}

func (p *pool) maxOutByRule(r rule, withReserve bool) int {
	sound := p.total - p.failed
	switch r.survive {
	case structs.FailureDomainZone:
		return maxOutSurviving(sound, r.min, &p.zones.sound)
	case structs.FailureDomainRack:
		return maxOutSurviving(sound, r.min, &p.racks.sound)
	case structs.FailureDomainVM:
		if r.min == 0 {
			return sound
		}
		return sound - r.min - vmReserve
	}
	if withReserve {
		return sound - r.min - p.reserve(r)
	}
	return sound - r.min
}

// maxOutSurviving tries each size of the largest remaining domain: taking
// VMs out of the largest domains lowers the loss that must be survived.
func maxOutSurviving(sound, least int, d *heights) int {
	most := 0
	for loss := d.max; loss >= 0; loss-- {
		out := sound - least - loss
		if out >= d.excess(loss) {
			most = max(most, out)
		}
	}
	return most
}

func (p *pool) maxOutByZone(r rule, withReserve bool) int {
	if r.perZone == 0 {
		return p.total
	}
	sum := 0
	for i := range p.zones.cells {
		sum += r.maxOutOfZone(&p.zones.cells[i], withReserve)
	}
	return sum
}

func (r rule) maxOutOfZone(zone *cell, withReserve bool) int {
	keep := r.perZone
	if withReserve {
		keep += r.zoneReserve(zone)
	}
	return max(zone.sound-keep, 0)
}

// MaxOutInZone returns the largest number of a pool's workers in one zone that
// can be out of service by plan at once, as far as the budgets for each zone
// allow.
func (l *Ledger) MaxOutInZone(name, zone string) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	counts := p.zones.of(domain{zone: zone})
	most := counts.sound
	for _, r := range p.rules {
		most = min(most, r.maxOutOfZone(&counts, true))
	}
	return most
}

// ZoneBound returns the largest number of a pool's workers in one zone that
// any plan could have out at once under the declared budgets.
func (l *Ledger) ZoneBound(name, zone string) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	n := p.zones.of(domain{zone: zone}).sound
	most := n
	for _, r := range p.rules {
		most = min(most, n-r.perZone)
	}
	return max(most, 0)
}

// Lendable returns how many available workers the pool could give away now,
// as far as its least total and the loss it must survive allow. It is an
// estimate: Check decides for each VM.
func (l *Ledger) Lendable(name string) int {
	p := l.pools[name]
	if p == nil {
		return 0
	}
	most := p.available
	for _, r := range p.rules {
		most = min(most, p.available-p.reserve(r)-r.min)
	}
	return max(most, 0)
}
