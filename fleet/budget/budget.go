// Package budget counts the available VMs of each pool, in one pass over the
// VMs, and decides which of them can be taken out of service without breaking a
// service's availability budget.
//
//	ledger := budget.New(view, nil)
//	if ledger.Check(vm) == budget.Allowed {
//		ledger.MarkUnavailable(vm)
//	}
//
// Planned and unplanned outages count alike. The ledger is stricter than the
// check made when a record of the log is applied to the state: during planned
// outages, enough workers must remain even after the loss of the failure domain
// that a budget names.
package budget

import (
	"sort"

	"wigeonwinch/fleet/structs"
)

// Refusal is the reason why a VM can't be taken out of service.
type Refusal string

// The results of Check.
const (
	Allowed        Refusal = ""
	RefusedPool    Refusal = "pool"    // the pool would fall below MinAvailable
	RefusedZone    Refusal = "zone"    // the zone would fall below MinAvailablePerZone
	RefusedSurvive Refusal = "survive" // the loss of a failure domain would break the budget
	RefusedUnknown Refusal = "unknown" // the pool does not exist
)

// vmReserve is the number of VMs that planned outages hold in reserve for a
// random failure when no budget names a failure domain.
const vmReserve = 1

// Ledger holds the availability of every pool. It is not safe for concurrent
// use.
type Ledger struct {
	pools map[string]*pool
}

// UnavailableFunc reports whether a VM is out of service although the control
// state counts it as available, for example because it is missing from the
// platform's list of VMs.
type UnavailableFunc func(vm *structs.VMStatus) bool

// rule is the availability budget of one service of a pool.
type rule struct {
	min     int
	perZone int
	survive structs.FailureDomain
}

// pool is the availability of one pool.
type pool struct {
	rules     []rule
	total     int
	available int
	failed    int // out of service unplanned
	zones     *domains
	racks     *domains
}

func newPool() *pool {
	return &pool{zones: newDomains(), racks: newDomains()}
}

// New returns a ledger of the view's VMs. The function unavailable may be nil.
func New(view *structs.View, unavailable UnavailableFunc) *Ledger {
	l := &Ledger{pools: make(map[string]*pool, len(view.Pools))}
	for name := range view.Pools {
		l.pools[name] = newPool()
	}
	l.addRules(view)
	for i := range view.VMs {
		l.addVM(&view.VMs[i], unavailable)
	}
	return l
}

func (l *Ledger) addRules(view *structs.View) {
	names := make([]string, 0, len(view.Services))
	for name := range view.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		service := view.Services[name]
		p := l.pools[service.Pool]
		if p == nil {
			continue
		}
		b := service.Budget
		p.rules = append(p.rules, rule{min: b.MinAvailable, perZone: b.MinAvailablePerZone, survive: b.Survive})
	}
}

func (l *Ledger) addVM(vm *structs.VMStatus, unavailable UnavailableFunc) {
	p := l.pools[vm.Pool]
	if p == nil {
		return
	}
	zone, rack := p.countsOf(vm)
	p.total++
	zone.total++
	rack.total++
	if vm.State == structs.VMFailed || (vm.State.Available() && unavailable != nil && unavailable(vm)) {
		p.failed++
		return
	}
	p.zones.addHealthy(zone)
	p.racks.addHealthy(rack)
	if vm.State.Available() {
		p.markAvailable(zone, rack)
	}
}

// countsOf returns the counts of the VM's zone and rack, for modification.
func (p *pool) countsOf(vm *structs.VMStatus) (zone, rack *domainCounts) {
	zone = p.zones.getOrCreate(domain{zone: vm.Zone})
	rack = p.racks.getOrCreate(domain{zone: vm.Zone, rack: vm.Rack})
	return zone, rack
}

func (p *pool) markAvailable(zone, rack *domainCounts) {
	p.available++
	p.zones.addAvailable(zone)
	p.racks.addAvailable(rack)
}

func (p *pool) markUnavailable(zone, rack *domainCounts) {
	p.available--
	p.zones.removeAvailable(zone)
	p.racks.removeAvailable(rack)
}

// Check returns whether an available VM can be taken out of service now:
// Allowed, or the reason for the refusal.
func (l *Ledger) Check(vm *structs.VMStatus) Refusal {
	p := l.pools[vm.Pool]
	if p == nil {
		return RefusedUnknown
	}
	zone, rack := p.countsOf(vm)
	p.markUnavailable(zone, rack)
	defer p.markAvailable(zone, rack)
	for _, r := range p.rules {
		if refusal := p.violation(r, zone); refusal != Allowed {
			return refusal
		}
	}
	return Allowed
}

// violation returns the part of the rule that the pool's availability breaks,
// or Allowed.
func (p *pool) violation(r rule, zone *domainCounts) Refusal {
	if p.available < r.min {
		return RefusedPool
	}
	if p.available-p.lossReserve(r) < r.min {
		return RefusedSurvive
	}
	if zone.available < r.perZone+r.zoneReserve(zone) {
		return RefusedZone
	}
	return Allowed
}

// lossReserve returns the number of workers to hold in reserve for the sudden
// loss that the rule names, or for a random failure if it names none.
func (p *pool) lossReserve(r rule) int {
	switch r.survive {
	case structs.FailureDomainZone:
		return p.zones.available.max
	case structs.FailureDomainRack:
		return p.racks.available.max
	case structs.FailureDomainVM:
		return min(vmReserve, p.available)
	}
	return defaultReserve(p.total - p.failed - r.min)
}

// zoneReserve returns the number of workers to hold in reserve in a zone for a
// random failure.
func (r rule) zoneReserve(zone *domainCounts) int {
	if r.perZone == 0 {
		return 0
	}
	return defaultReserve(zone.healthy - r.perZone)
}

// defaultReserve returns the reserve where the budget names no failure domain.
// The slack is the number of workers beyond the budget that have not failed. If
// only one is left it is not reserved, because then no worker could ever be
// maintained.
func defaultReserve(slack int) int {
	if slack > vmReserve {
		return vmReserve
	}
	return 0
}

// MarkUnavailable counts an available VM as out of service from now on.
func (l *Ledger) MarkUnavailable(vm *structs.VMStatus) {
	if p := l.pools[vm.Pool]; p != nil {
		p.markUnavailable(p.countsOf(vm))
	}
}

// MarkAvailable counts a VM that was out of service as available again.
func (l *Ledger) MarkAvailable(vm *structs.VMStatus) {
	if p := l.pools[vm.Pool]; p != nil {
		p.markAvailable(p.countsOf(vm))
	}
}

// Violated reports whether a service on the pool has fewer available workers
// than its budget requires, in the pool or in a zone.
func (l *Ledger) Violated(name string) bool {
	p := l.pools[name]
	if p == nil {
		return false
	}
	for _, r := range p.rules {
		if p.available < r.min || p.zones.anyBelow(r.perZone) {
			return true
		}
	}
	return false
}

// Strained reports whether the pool's budgets would not survive the sudden loss
// that they name. Drains should then be canceled where that interrupts no work.
func (l *Ledger) Strained(name string) bool {
	p := l.pools[name]
	if p == nil {
		return false
	}
	for _, r := range p.rules {
		if p.available-p.lossReserve(r) < r.min {
			return true
		}
	}
	return l.Violated(name)
}

// Available returns the number of available workers of the pool.
func (l *Ledger) Available(name string) int {
	if p := l.pools[name]; p != nil {
		return p.available
	}
	return 0
}

// Total returns the number of workers of the pool, available or not.
func (l *Ledger) Total(name string) int {
	if p := l.pools[name]; p != nil {
		return p.total
	}
	return 0
}

// AvailableInZone returns the number of available workers of the pool in a
// zone.
func (l *Ledger) AvailableInZone(name, zone string) int {
	if p := l.pools[name]; p != nil {
		return p.zones.get(domain{zone: zone}).available
	}
	return 0
}

// AvailableInRack returns the number of available workers of the pool in a rack.
func (l *Ledger) AvailableInRack(name, zone, rack string) int {
	if p := l.pools[name]; p != nil {
		return p.racks.get(domain{zone: zone, rack: rack}).available
	}
	return 0
}

// MustSurviveZoneLoss reports whether a service on the pool must survive the
// loss of a zone.
func (l *Ledger) MustSurviveZoneLoss(name string) bool {
	p := l.pools[name]
	if p == nil {
		return false
	}
	for _, r := range p.rules {
		if r.survive == structs.FailureDomainZone {
			return true
		}
	}
	return false
}
