package planner

import (
	"fmt"
	"maps"
	"slices"

	"wigeonwinch/fleet/structs"
)

// fold appends a record to the log and counts it when it is void.
func (s *sim) fold(rec structs.Record) structs.Verdict {
	verdict := s.log.Apply(s.log.Next(), rec)
	if verdict.Void != structs.VoidNone {
		s.voids++
		s.lastVoid = verdict
	}
	return verdict
}

// must folds a record that has to be valid.
func (s *sim) must(rec structs.Record) {
	rec.Key = fmt.Sprintf("sim/%d", s.log.Next())
	if rec.Writer == "" {
		rec.Writer = "pipeline"
	}
	if verdict := s.fold(rec); verdict.Void != structs.VoidNone {
		panic(verdict.Detail)
	}
	s.view = s.log.View()
}

// change publishes changes of the configuration.
func (s *sim) change(changes ...structs.Change) {
	s.must(structs.Record{Publish: &structs.Publish{Base: s.log.View().Generation, Changes: changes}})
}

// publish declares the fleet and forms the zones' memberships.
func (s *sim) publish(view *structs.View) {
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
	s.change(changes...)
	for _, name := range slices.Sorted(maps.Keys(view.Entry)) {
		entry := view.Entry[name]
		s.must(structs.Record{Writer: entry.Members[0].Node, EntryEpoch: &entry})
	}
}

// takeLease makes the node the holder of the lease.
func (s *sim) takeLease(node string) {
	s.epoch++
	s.writer = node
	s.must(structs.Record{Writer: node, Lease: &structs.Lease{Scope: simScope, Epoch: s.epoch, Holder: node, TTLMS: 10_000}})
}

// acknowledge appends the acknowledgements of a VM's drain.
func (s *sim) acknowledge(vm *structs.VMStatus) {
	for _, member := range s.view.Entry[vm.Zone].Members {
		s.fold(structs.Record{
			Key:    fmt.Sprintf("ack/%s/%d/%s", vm.ID, vm.Sequence, member.Node),
			Writer: member.Node,
			DrainAck: &structs.DrainAck{
				VM: vm.ID, Sequence: vm.Sequence, Node: member.Node, Incarnation: member.Incarnation,
			},
		})
	}
}
