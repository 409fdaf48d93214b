// Package availability counts the VMs of a pool by failure domain and checks
// them against an availability budget.
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

// Measure selects the count that a budget is checked against.
type Measure uint8

// The measures.
const (
	// Declared checks a budget against the VMs that the manifest lists, as if
	// all of them were available.
	Declared Measure = iota
	// Available checks a budget against the VMs that serve now.
	Available
)

func (c Count) get(m Measure) int {
	if m == Declared {
		return c.Declared
	}
	return c.Available
}

// Rack identifies a rack. Rack names need only be unique within their zone.
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

// Add counts one more declared VM.
func (t *Tally) Add(zone, rack string, available bool) {
	t.Adjust(zone, rack, Count{Declared: 1, Available: boolToInt(available)})
}

// Adjust adds a difference to the counts of the pool, of a zone and of a rack.
func (t *Tally) Adjust(zone, rack string, diff Count) {
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

// Shortage describes how a budget is not satisfied. It implements error.
type Shortage struct {
	// Domain describes where VMs are missing: in the pool, in a zone, or after
	// a loss that the budget must survive.
	Domain string
	// Have is the number of VMs there.
	Have int
	// Need is the number that the budget requires.
	Need int
}

// Error returns a message with the domain and both numbers.
func (s *Shortage) Error() string {
	return fmt.Sprintf("%s: %d VMs, the budget needs %d", s.Domain, s.Have, s.Need)
}

// Shortfall returns the first shortage that violates a budget, or nil.
func (t *Tally) Shortfall(b structs.Budget, m Measure) *Shortage {
	have := t.Pool.get(m)
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

// Missing holds the number of VMs that each part of a budget lacks. All numbers
// are zero if the budget is satisfied.
type Missing struct {
	Pool int
	// AfterLoss is the number missing after the loss that the budget names.
	AfterLoss int
	Zones     map[string]int
}

// Missing returns the number of VMs that each part of a budget lacks. Zones
// without declared VMs are not checked.
func (t *Tally) Missing(b structs.Budget, m Measure) Missing {
	have := t.Pool.get(m)
	missing := Missing{Pool: max(b.MinAvailable-have, 0), Zones: map[string]int{}}
	if b.Survive != structs.FailureDomainNone {
		missing.AfterLoss = max(b.MinAvailable-have+t.LargestLoss(b.Survive, m), 0)
	}
	for zone, c := range t.Zones {
		if short := b.MinAvailablePerZone - c.get(m); c.Declared > 0 && short > 0 {
			missing.Zones[zone] = short
		}
	}
	return missing
}

// WorseThan reports whether some part of the budget lacks more VMs than before.
func (m Missing) WorseThan(before Missing) bool {
	for zone, short := range m.Zones {
		if short > before.Zones[zone] {
			return true
		}
	}
	return m.Pool > before.Pool || m.AfterLoss > before.AfterLoss
}

// zoneShortfall checks the zones in which the pool has declared VMs. If several
// zones lack VMs, it returns the first in order of zone names.
func (t *Tally) zoneShortfall(b structs.Budget, m Measure) *Shortage {
	if b.MinAvailablePerZone == 0 {
		return nil
	}
	var short *Shortage
	for zone, c := range t.Zones {
		if c.Declared == 0 || c.get(m) >= b.MinAvailablePerZone {
			continue
		}
		if short == nil || zone < short.Domain {
			short = &Shortage{Domain: zone, Have: c.get(m), Need: b.MinAvailablePerZone}
		}
	}
	return short
}

// LargestLoss returns the largest number of VMs that the loss of one failure
// domain of the given kind would remove.
func (t *Tally) LargestLoss(domain structs.FailureDomain, m Measure) int {
	worst := 0
	switch domain {
	case structs.FailureDomainVM:
		worst = min(1, t.Pool.get(m))
	case structs.FailureDomainRack:
		for _, c := range t.Racks {
			worst = max(worst, c.get(m))
		}
	case structs.FailureDomainZone:
		for _, c := range t.Zones {
			worst = max(worst, c.get(m))
		}
	}
	return worst
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Empty reports whether the tally counts no VMs.
func (t *Tally) Empty() bool {
	return t.Pool == Count{} && len(t.Racks) == 0
}
