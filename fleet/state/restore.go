package state

import (
	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
)

// Restore returns the state that a snapshot holds. It takes the parts in any
// order and fails when one is missing or was changed.
func Restore(parts []structs.Record) (*State, error) {
	data, through, err := assemble(parts)
	if err != nil {
		return nil, err
	}
	var e encodedState
	if err := stateDecMode.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode the snapshot: take an older one")
	}
	if e.Format != snapshotFormat {
		return nil, errors.Errorf("the snapshot has format %d, this version reads %d: start a version that reads it", e.Format, snapshotFormat)
	}
	if e.Next != through+1 {
		return nil, errors.Errorf("the snapshot claims offset %d and holds %d: take an older one", through, e.Next)
	}
	s := e.state()
	if list := s.Check(); len(list) > 0 {
		return nil, errors.Wrap(list[0], "the snapshot breaks a rule of the fleet: take an older one")
	}
	if s.Digest() != hashBytes(data) {
		return nil, errors.New("the snapshot does not encode to itself: take an older one")
	}
	return s, nil
}

// assemble joins the parts of a snapshot and checks the digest.
func assemble(parts []structs.Record) ([]byte, structs.Offset, error) {
	if len(parts) == 0 || len(parts) > maxParts || parts[0].Snapshot == nil {
		return nil, 0, errors.Errorf("a snapshot has 1 to %d records, got %d: read all of its parts", maxParts, len(parts))
	}
	first := parts[0].Snapshot
	chunks := make([][]byte, len(parts))
	for _, rec := range parts {
		part := rec.Snapshot
		if part == nil || part.Through != first.Through || part.Parts != len(parts) || part.Digest != first.Digest {
			return nil, 0, errors.Errorf("a part belongs to another snapshot than the one of offset %d: read all parts of one", first.Through)
		}
		if part.Part < 0 || part.Part >= len(parts) || chunks[part.Part] != nil {
			return nil, 0, errors.Errorf("part %d of the snapshot of offset %d is there twice or out of range: read each part once", part.Part, first.Through)
		}
		chunks[part.Part] = append([]byte{}, part.Data...)
	}
	var data []byte
	for _, chunk := range chunks {
		data = append(data, chunk...)
	}
	if hashBytes(data) != first.Digest {
		return nil, 0, errors.Errorf("the snapshot of offset %d does not have the digest it claims: take an older one", first.Through)
	}
	return data, first.Through, nil
}

// state rebuilds a state and its index.
func (e *encodedState) state() *State {
	s := New()
	s.next = e.Next
	s.generation = e.Generation
	s.publishedAt = e.PublishedAt
	fill(&s.zones, e.Zones, func(z structs.Zone) string { return z.Name })
	fill(&s.teams, e.Teams, func(t structs.Team) string { return t.Name })
	fill(&s.pools, e.Pools, func(p structs.Pool) string { return p.Name })
	fill(&s.services, e.Services, func(svc structs.Service) string { return svc.Name })
	fill(&s.windows, e.Windows, func(w structs.Window) string { return w.Name })
	fill(&s.entry, e.Entry, func(entry structs.EntryEpoch) string { return entry.Zone })
	fill(&s.leases, e.Leases, func(l structs.Lease) string { return l.Scope })
	for _, svc := range e.Services {
		s.index.addService(svc)
	}
	for _, wave := range e.Waves {
		s.restoreWave(wave)
	}
	for _, vm := range e.VMs {
		s.restoreVM(vm)
	}
	for _, hash := range e.Keys {
		if !s.keys.contains(hash) {
			s.keys.add(hash)
		}
	}
	return s
}

func fill[T any](t *table[T], items []T, name func(T) string) {
	for _, item := range items {
		t.put(name(item), item)
	}
}

func (s *State) restoreWave(wave encodedWave) {
	p := newWaveProgress()
	for _, id := range wave.Returned {
		p.returned[id] = struct{}{}
	}
	for _, id := range wave.Failed {
		p.failed[id] = struct{}{}
	}
	s.progress[wave.Wave.Name] = p
	s.putWaveCounts(structs.WaveStatus{Wave: wave.Wave, Stopped: wave.Stopped})
}

func (s *State) restoreVM(vm encodedVM) {
	status := structs.VMStatus{
		VM:       vm.VM,
		Pool:     vm.Pool,
		State:    vm.State,
		Sequence: vm.Sequence,
		Image:    vm.Image,
		Wave:     vm.Wave,
		Removed:  vm.Removed,
	}
	s.index.addresses.add(vm.VM.Address, vm.VM.ID)
	s.putVM(status)
	s.setAcks(status, vm.Acks)
}
