package planner

import (
	"fmt"
	"maps"
	"slices"

	"wigeonwinch/fleet/structs"
)

// apply appends a record to the log and counts it if it is void.
func (s *sim) apply(rec structs.Record) structs.Verdict {
	verdict := s.log.Apply(s.log.Next(), rec)
	if verdict.Void != structs.VoidNone {
		s.voidRecords++
		s.lastVoid = verdict
	}
	return verdict
}

// mustApply applies a record that must be valid.
func (s *sim) mustApply(rec structs.Record) {
	rec.Key = fmt.Sprintf("sim/%d", s.log.Next())
	if rec.Writer == "" {
		rec.Writer = "pipeline"
	}
	if verdict := s.apply(rec); verdict.Void != structs.VoidNone {
		panic(verdict.Detail)
	}
	s.view = s.log.View()
}

// publishChanges publishes configuration changes.
func (s *sim) publishChanges(changes ...structs.Change) {
	s.mustApply(structs.Record{Publish: &structs.Publish{Base: s.log.View().Generation, Changes: changes}})
}

// publishFleet publishes the fleet's configuration and the entry node
// membership of each zone.
func (s *sim) publishFleet(view *structs.View) {
	var changes []structs.Change
	for _, name := range slices.Sorted(maps.Keys(view.Zones)) {
		zone := view.Zones[name]
		changes = append(changes, structs.Change{Kind: structs.ItemZone, Name: name, Zone: &zone})
	}
	for _, name := range slices.Sorted(maps.Keys(view.Pools)) {
		pool := view.Pools[name]
		changes = append(changes, structs.Change{Kind: structs.ItemPool, Name: name, Pool: &pool})
	}
	for _, vm := range view.VMs {
		declared := vm.VM
		changes = append(changes, structs.Change{Kind: structs.ItemVM, Name: vm.ID, VM: &declared})
	}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		service := view.Services[name]
		changes = append(changes, structs.Change{Kind: structs.ItemService, Name: name, Service: &service})
	}
	s.publishChanges(changes...)
	for _, name := range slices.Sorted(maps.Keys(view.EntryEpochs)) {
		entry := view.EntryEpochs[name]
		s.mustApply(structs.Record{Writer: entry.Members[0].Node, EntryEpoch: &entry})
	}
}

// takeLease makes the node the lease holder.
func (s *sim) takeLease(node string) {
	s.epoch++
	s.writer = node
	s.mustApply(structs.Record{Writer: node, Lease: &structs.Lease{Scope: simScope, Epoch: s.epoch, Holder: node, TTLMS: 10_000}})
}

// acknowledge appends the drain acknowledgements of all entry nodes of the
// VM's zone.
func (s *sim) acknowledge(vm *structs.VMStatus) {
	for _, member := range s.view.EntryEpochs[vm.Zone].Members {
		s.apply(structs.Record{
			Key:    fmt.Sprintf("ack/%s/%d/%s", vm.ID, vm.Sequence, member.Node),
			Writer: member.Node,
			DrainAck: &structs.DrainAck{
				VM: vm.ID, Sequence: vm.Sequence, Node: member.Node, Incarnation: member.Incarnation,
			},
		})
	}
}
