package state

import (
	"github.com/pkg/errors"

	"wigeonwinch/fleet/structs"
)

// Restore returns the state stored in a snapshot. It accepts the parts in any
// order and fails if a part is missing or corrupted.
func Restore(parts []structs.Record) (*State, error) {
	data, through, err := joinParts(parts)
	if err != nil {
		return nil, err
	}
	var e encodedState
	if err := stateDecMode.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode the snapshot: use an older one")
	}
	if e.Format != snapshotFormat {
		return nil, errors.Errorf("snapshot has format %d, but this version supports format %d: use a version that supports it", e.Format, snapshotFormat)
	}
	if e.Next != through+1 {
		return nil, errors.Errorf("snapshot record names offset %d, but its state has next offset %d: use an older snapshot", through, e.Next)
	}
	s := e.newState()
	if list := s.CheckInvariants(); len(list) > 0 {
		return nil, errors.Wrap(list[0], "snapshot violates an invariant of the fleet: use an older one")
	}
	if s.Digest() != hashBytes(data) {
		return nil, errors.New("restored state does not encode to the snapshot's data: use an older snapshot")
	}
	return s, nil
}

// joinParts joins the parts of a snapshot, verifies the digest and returns the
// data with the offset of the last record that it includes.
func joinParts(parts []structs.Record) ([]byte, structs.Offset, error) {
	if len(parts) == 0 || len(parts) > maxParts || parts[0].Snapshot == nil {
		return nil, 0, errors.Errorf("a snapshot has 1 to %d records, got %d: read all parts of one snapshot", maxParts, len(parts))
	}
	first := parts[0].Snapshot
	chunks := make([][]byte, len(parts))
	for _, rec := range parts {
		part := rec.Snapshot
		if part == nil || part.Through != first.Through || part.Parts != len(parts) || part.Digest != first.Digest {
			return nil, 0, errors.Errorf("a part does not belong to the snapshot at offset %d: read all parts of one snapshot", first.Through)
		}
		if part.Part < 0 || part.Part >= len(parts) || chunks[part.Part] != nil {
			return nil, 0, errors.Errorf("part %d of the snapshot at offset %d is repeated or out of range: read each part once", part.Part, first.Through)
		}
		chunks[part.Part] = append([]byte{}, part.Data...)
	}
	var data []byte
	for _, chunk := range chunks {
		data = append(data, chunk...)
	}
	if hashBytes(data) != first.Digest {
		return nil, 0, errors.Errorf("data of the snapshot at offset %d does not match its digest: use an older snapshot", first.Through)
	}
	return data, first.Through, nil
}

// newState returns the decoded state with its index rebuilt.
func (e *encodedState) newState() *State {
	s := New()
	s.next = e.Next
	s.generation = e.Generation
	s.publishedAt = e.PublishedAt
	putAll(&s.zones, e.Zones, func(z structs.Zone) string { return z.Name })
	putAll(&s.teams, e.Teams, func(t structs.Team) string { return t.Name })
	putAll(&s.pools, e.Pools, func(p structs.Pool) string { return p.Name })
	putAll(&s.services, e.Services, func(svc structs.Service) string { return svc.Name })
	putAll(&s.windows, e.Windows, func(w structs.Window) string { return w.Name })
	putAll(&s.entry, e.Entry, func(entry structs.EntryEpoch) string { return entry.Zone })
	putAll(&s.leases, e.Leases, func(l structs.Lease) string { return l.Scope })
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

func putAll[T any](t *table[T], items []T, name func(T) string) {
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
	s.updateWaveCounts(structs.WaveStatus{Wave: wave.Wave, Stopped: wave.Stopped})
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
