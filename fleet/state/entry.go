package state

import (
	"net/netip"
	"slices"
	"strings"

	"wigeonwinch/fleet/structs"
)

// maxEntryMembers limits the number of entry nodes in one zone.
const maxEntryMembers = 64

// applyEntryEpoch replaces the entry node membership of a zone.
func (s *State) applyEntryEpoch(e *structs.EntryEpoch) *Refusal {
	if _, ok := s.zones.get(e.Zone); !ok {
		return refuse(structs.VoidUnknownItem, "zone %s is not declared: add it to the manifest", quoteText(e.Zone))
	}
	current, _ := s.entry.get(e.Zone)
	if e.Epoch != current.Epoch+1 {
		return refuse(structs.VoidStale, "zone %s is at entry epoch %d: propose epoch %d", quoteText(e.Zone), current.Epoch, current.Epoch+1)
	}
	if refusal := checkMembers(current.Members, e.Members); refusal != nil {
		return refusal
	}
	members := slices.Clone(e.Members)
	slices.SortFunc(members, func(a, b structs.EntryMember) int { return strings.Compare(a.Node, b.Node) })
	s.entry.put(e.Zone, structs.EntryEpoch{Zone: e.Zone, Epoch: e.Epoch, Members: members})
	s.pruneAcks(e.Zone, members)
	return nil
}

func checkMembers(old, members []structs.EntryMember) *Refusal {
	if len(members) == 0 || len(members) > maxEntryMembers {
		return refuse(structs.VoidInvalid, "zone would have %d entry nodes: specify 1 to %d", len(members), maxEntryMembers)
	}
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		if m.Node == "" || len(m.Node) > maxTextBytes || seen[m.Node] {
			return refuse(structs.VoidInvalid, "entry node %s has no valid name or is listed twice", quoteText(m.Node))
		}
		seen[m.Node] = true
		if m.PeerAddress != "" && !validAddress(m.PeerAddress) {
			return refuse(structs.VoidInvalid, "entry node %s has peer address %s: use an IP address and a port", quoteText(m.Node), quoteText(m.PeerAddress))
		}
		if previous, ok := findMember(old, m.Node); ok && previous.Incarnation > m.Incarnation {
			return refuse(structs.VoidStale, "entry node %s is at incarnation %d, but the record names %d", quoteText(m.Node), previous.Incarnation, m.Incarnation)
		}
	}
	return nil
}

func validAddress(address string) bool {
	_, err := netip.ParseAddrPort(address)
	return err == nil
}

func findMember(members []structs.EntryMember, node string) (structs.EntryMember, bool) {
	for _, m := range members {
		if m.Node == node {
			return m, true
		}
	}
	return structs.EntryMember{}, false
}

// applyDrainAck records that an entry node has no requests left on a draining
// VM.
func (s *State) applyDrainAck(writer string, a *structs.DrainAck) *Refusal {
	if a.Node != writer {
		return refuse(structs.VoidNotHolder, "%s acknowledged a drain for %s: a node may acknowledge only for itself", quoteText(writer), quoteText(a.Node))
	}
	vm, ok := s.vms.get(a.VM)
	if !ok {
		return refuse(structs.VoidUnknownItem, "VM %s does not exist", quoteText(a.VM))
	}
	if vm.Sequence != a.Sequence || vm.State != structs.VMDraining {
		return refuse(structs.VoidStale, "VM %s is %s at sequence %d, but the record names sequence %d", quoteText(a.VM), vm.State, vm.Sequence, a.Sequence)
	}
	entry, _ := s.entry.get(vm.Zone)
	member, ok := findMember(entry.Members, a.Node)
	if !ok || member.Incarnation != a.Incarnation {
		return refuse(structs.VoidNotHolder, "%s at incarnation %d is not an entry node of zone %s: join the zone's membership first", quoteText(a.Node), a.Incarnation, quoteText(vm.Zone))
	}
	s.addAck(vm, ack{Node: a.Node, Incarnation: a.Incarnation})
	return nil
}

// addAck adds one acknowledgement. A repeated acknowledgement changes nothing.
func (s *State) addAck(vm structs.VMStatus, a ack) {
	list := s.acks[vm.ID]
	if slices.Contains(list, a) {
		return
	}
	list = append(list, a)
	slices.SortFunc(list, func(a, b ack) int { return strings.Compare(a.Node, b.Node) })
	s.setAcks(vm, list)
}

// setAcks replaces the acknowledgements of a VM.
func (s *State) setAcks(vm structs.VMStatus, list []ack) {
	vm.Acks = nil
	for _, a := range list {
		vm.Acks = append(vm.Acks, a.Node)
	}
	if len(list) == 0 {
		delete(s.acks, vm.ID)
	} else {
		s.acks[vm.ID] = list
	}
	s.vms.put(vm)
}

// pruneAcks removes the acknowledgements of entry nodes that have left a zone
// or have restarted.
func (s *State) pruneAcks(zone string, members []structs.EntryMember) {
	for id, list := range s.acks {
		vm, ok := s.vms.get(id)
		if !ok || vm.Zone != zone {
			continue
		}
		remaining := slices.DeleteFunc(slices.Clone(list), func(a ack) bool {
			member, ok := findMember(members, a.Node)
			return !ok || member.Incarnation != a.Incarnation
		})
		if len(remaining) != len(list) {
			s.setAcks(vm, remaining)
		}
	}
}

// checkDrainAcks checks that every entry node in the VM's zone has acknowledged
// its drain.
func (s *State) checkDrainAcks(vm structs.VMStatus) *Refusal {
	if s.skip.acknowledgements {
		return nil
	}
	entry, _ := s.entry.get(vm.Zone)
	if len(entry.Members) == 0 {
		return refuse(structs.VoidNotDrained, "zone %s has no entry nodes to acknowledge the drain: append its first entry epoch", quoteText(vm.Zone))
	}
	list := s.acks[vm.ID]
	for _, m := range entry.Members {
		if !slices.Contains(list, ack{Node: m.Node, Incarnation: m.Incarnation}) {
			return refuse(structs.VoidNotDrained, "entry node %s has not acknowledged the drain of VM %s: wait for its acknowledgement", quoteText(m.Node), quoteText(vm.ID))
		}
	}
	return nil
}
