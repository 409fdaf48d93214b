// Package availability counts the VMs of a pool by failure domain and says
// whether an availability budget holds.
//
//	t := availability.NewTally()
//	t.Add("zone-a", "rack-1", true)
//	if short := t.Shortfall(service.Budget, availability.Available); short != nil {
//		return short
//	}
package availability

import (
	"fmt"

	"wigeonwinch/fleet/structs"
)

// Count is the number of VMs in one failure domain.
type Count struct {
	// Declared counts the VMs that the manifest lists.
	Declared int
	// Available counts the VMs that serve.
	Available int
}

// Measure selects which count a budget is held against.
type Measure uint8

// The measures.
const (
	// Declared holds a budget against the VMs that the manifest lists, as if
	// all were up.
	Declared Measure = iota
	// Available holds a budget against the VMs that serve now.
	Available
)

func (c Count) of(m Measure) int {
	if m == Declared {
		return c.Declared
	}
	return c.Available
}

// Rack names a rack; rack names need only be unique in their zone.
type Rack struct {
	Zone string
	Name string
}

// Tally counts the VMs of one pool.
type Tally struct {
	Pool  Count
	Zones map[string]Count
	Racks map[Rack]Count
}

// NewTally returns a tally of no VMs.
func NewTally() *Tally {
	return &Tally{
		Zones: map[string]Count{},
		Racks: map[Rack]Count{},
	}
}

// Add counts one declared VM more.
func (t *Tally) Add(zone, rack string, available bool) {
	t.Change(zone, rack, Count{Declared: 1, Available: asInt(available)})
}

// Change adds a difference to the counts of a zone and a rack.
func (t *Tally) Change(zone, rack string, diff Count) {
	t.Pool = t.Pool.plus(diff)
	if c := t.Zones[zone].plus(diff); c == (Count{}) {
		delete(t.Zones, zone)
	} else {
		t.Zones[zone] = c
	}
	key := Rack{Zone: zone, Name: rack}
	if c := t.Racks[key].plus(diff); c == (Count{}) {
		delete(t.Racks, key)
	} else {
		t.Racks[key] = c
	}
}

func (c Count) plus(diff Count) Count {
	return Count{
		Declared:  c.Declared + diff.Declared,
		Available: c.Available + diff.Available,
	}
}

// Shortage says how a budget does not hold. It is an error.
type Shortage struct {
	// Domain names where VMs are missing: the pool, a zone, or what is left
	// after a loss that the budget is to survive.
	Domain string
	// Have is the number of VMs there.
	Have int
	// Need is the number the budget asks for.
	Need int
}

// Error names the domain and both numbers.
func (s *Shortage) Error() string {
	return fmt.Sprintf("%s: %d VMs, the budget needs %d", s.Domain, s.Have, s.Need)
}

// Shortfall returns the first way in which a budget does not hold, or nil.
func (t *Tally) Shortfall(b structs.Budget, m Measure) *Shortage {
	have := t.Pool.of(m)
	if have < b.MinAvailable {
		return &Shortage{Domain: "pool", Have: have, Need: b.MinAvailable}
	}
	if short := t.zoneShortfall(b, m); short != nil {
		return short
	}
	left := have - t.LargestLoss(b.Survive, m)
	if b.Survive != structs.FailureDomainNone && left < b.MinAvailable {
		domain := fmt.Sprintf("after the loss of one %s", b.Survive)
		return &Shortage{Domain: domain, Have: left, Need: b.MinAvailable}
	}
	return nil
}

// Missing says how many VMs are missing from each part of a budget that does
// not hold.
type Missing struct {
	Pool int
	// AfterLoss counts what is missing after the loss the budget names.
	AfterLoss int
	Zones     map[string]int
}

// Missing returns what is missing from a budget. Zones without declared VMs
// are left out.
func (t *Tally) Missing(b structs.Budget, m Measure) Missing {
	have := t.Pool.of(m)
	missing := Missing{Pool: max(b.MinAvailable-have, 0), Zones: map[string]int{}}
	if b.Survive != structs.FailureDomainNone {
		missing.AfterLoss = max(b.MinAvailable-have+t.LargestLoss(b.Survive, m), 0)
	}
	for zone, c := range t.Zones {
		if short := b.MinAvailablePerZone - c.of(m); c.Declared > 0 && short > 0 {
			missing.Zones[zone] = short
		}
	}
	return missing
}

// Exceeds says that more is missing from some part than before.
func (m Missing) Exceeds(before Missing) bool {
	for zone, short := range m.Zones {
		if short > before.Zones[zone] {
			return true
		}
	}
	return m.Pool > before.Pool || m.AfterLoss > before.AfterLoss
}

// zoneShortfall checks the zones in which the pool has declared VMs. Of
// several short zones it names the first by name.
func (t *Tally) zoneShortfall(b structs.Budget, m Measure) *Shortage {
	if b.MinAvailablePerZone == 0 {
		return nil
	}
	var short *Shortage
	for zone, c := range t.Zones {
		if c.Declared == 0 || c.of(m) >= b.MinAvailablePerZone {
			continue
		}
		if short == nil || zone < short.Domain {
			short = &Shortage{Domain: zone, Have: c.of(m), Need: b.MinAvailablePerZone}
		}
	}
	return short
}

// LargestLoss returns how many VMs the loss of the worst failure domain of a
// kind would take.
func (t *Tally) LargestLoss(domain structs.FailureDomain, m Measure) int {
	worst := 0
	switch domain {
	case structs.FailureDomainVM:
		worst = min(1, t.Pool.of(m))
	case structs.FailureDomainRack:
		for _, c := range t.Racks {
			worst = max(worst, c.of(m))
		}
	case structs.FailureDomainZone:
		for _, c := range t.Zones {
			worst = max(worst, c.of(m))
		}
	}
	return worst
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Empty says that the tally counts no VM.
func (t *Tally) Empty() bool {
	return t.Pool == Count{} && len(t.Racks) == 0
}
