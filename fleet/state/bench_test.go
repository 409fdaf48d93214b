package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

const (
	benchPools     = 27
	benchTeams     = 250
	benchZones     = 10
	vmsPerRack     = 4
	bytesPerMB     = 1 << 20
	minPoolPercent = 60
	// changesPerPublish is the number of changes in each publish of a large
	// manifest.
	changesPerPublish = 1000
)

// largeManifest returns a manifest with the planned number of zones and teams,
// and with pools and services scaled by the number of VMs.
func largeManifest(vms int) *structs.Manifest {
	m := &structs.Manifest{Format: structs.ManifestFormat}
	for i := range benchZones {
		m.Zones = append(m.Zones, structs.Zone{Name: fmt.Sprintf("zone-%d", i), Region: fmt.Sprintf("region-%d", i%2)})
	}
	for i := range benchTeams {
		m.Teams = append(m.Teams, structs.Team{
			Name: fmt.Sprintf("team-%03d", i), Weight: 1 + i%4, MaxInProgress: 200, RatePerSecond: 100, Burst: 200, UrgentPercent: 10,
		})
	}
	pools := min(benchPools, vms/8)
	for i := range pools {
		name := fmt.Sprintf("pool-%02d", i)
		m.Pools = append(m.Pools, structs.Pool{Name: name, Image: "worker-2026-11"})
		m.Services = append(m.Services, structs.Service{
			Name: "service-" + name, Pool: name, Routes: []string{"/" + name}, DeadlineMS: 30000,
			Budget: structs.Budget{MinAvailable: vms / pools * minPoolPercent / 100, Survive: structs.FailureDomainRack},
		})
	}
	for i := range vms {
		zone := i / vmsPerRack % benchZones
		m.VMs = append(m.VMs, structs.VM{
			ID: fmt.Sprintf("worker-%05d", i), Pool: m.Pools[i%pools].Name, Zone: m.Zones[zone].Name,
			Rack: fmt.Sprintf("rack-%04d", i/vmsPerRack), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Cores: 16, MemoryMB: 65536, Slots: 8, Connections: 64,
		})
	}
	return m
}

// largeState returns a state in which a large manifest is published in several
// publishes and n1 holds the lease.
func largeState(b testing.TB, vms int) *State {
	s := New()
	m := largeManifest(vms)
	require.Empty(b, manifest.Check(m))
	changes := manifest.Diff(s.View(), m)
	for len(changes) > 0 {
		n := min(changesPerPublish, len(changes))
		mustApply(b, s, structs.Record{Publish: &structs.Publish{Base: s.generation, Changes: changes[:n]}})
		changes = changes[n:]
	}
	mustApply(b, s, structs.Record{Lease: &structs.Lease{Scope: fleetScope, Epoch: 1, Holder: "n1", TTLMS: 1}})
	return s
}

func mustApply(b testing.TB, s *State, rec structs.Record) {
	rec.Key = fmt.Sprintf("k%d", s.Next())
	rec.Writer = "n1"
	if verdict := s.Apply(s.Next(), rec); verdict.Void != structs.VoidNone {
		b.Fatal(verdict.Detail)
	}
}

// teamPublish returns a publish that changes one team.
func teamPublish(s *State, i int) structs.Record {
	team := structs.Team{Name: fmt.Sprintf("team-%03d", i%benchTeams), Weight: 1 + i%9}
	change := structs.Change{Kind: structs.ItemTeam, Name: team.Name, Team: &team}
	return structs.Record{Publish: &structs.Publish{Base: s.generation, Changes: []structs.Change{change}}}
}

// vmPublish returns a publish that changes one VM.
func vmPublish(s *State, i int) structs.Record {
	vm := s.vms.list[i%len(s.vms.list)].VM
	vm.Slots = 1 + i%8
	change := structs.Change{Kind: structs.ItemVM, Name: vm.ID, VM: &vm}
	return structs.Record{Publish: &structs.Publish{Base: s.generation, Changes: []structs.Change{change}}}
}

// drainOrCancel returns a transition that drains the first VM, or cancels its
// drain.
func drainOrCancel(s *State, _ int) structs.Record {
	vm := s.vms.list[0]
	to := structs.VMDraining
	if vm.State == structs.VMDraining {
		to = structs.VMActive
	}
	return structs.Record{Transition: &structs.Transition{
		VM: vm.ID, Sequence: vm.Sequence, To: to, LeaseScope: fleetScope, LeaseEpoch: 1,
	}}
}

var benchSizes = []int{50, 950, 9500}

var benchRecords = []struct {
	name string
	make func(*State, int) structs.Record
}{
	{"team", teamPublish},
	{"vm", vmPublish},
	{"transition", drainOrCancel},
}

// benchmarkChanges benchmarks each kind of small change at each fleet size. The
// run function may report metrics after its loop.
func benchmarkChanges(b *testing.B, run func(b *testing.B, s *State, change func(*State, int) structs.Record)) {
	for _, vms := range benchSizes {
		for _, rec := range benchRecords {
			b.Run(fmt.Sprintf("%s/%d", rec.name, vms), func(b *testing.B) {
				s := largeState(b, vms)
				b.ReportAllocs()
				run(b, s, rec.make)
			})
		}
	}
}

// benchmarkSizes benchmarks a baseline at each fleet size.
func benchmarkSizes(b *testing.B, name string, run func(b *testing.B, vms int)) {
	for _, vms := range benchSizes {
		b.Run(fmt.Sprintf("%s/%d", name, vms), func(b *testing.B) { run(b, vms) })
	}
}

// BenchmarkApplyPublish applies one small change and reports the size of its
// record in the log. The baseline publishes the whole manifest for each change.
func BenchmarkApplyPublish(b *testing.B) {
	benchmarkChanges(b, func(b *testing.B, s *State, change func(*State, int) structs.Record) {
		for i := 0; b.Loop(); i++ {
			mustApply(b, s, change(s, i))
		}
		b.ReportMetric(encodedBytes(b, change(s, 1)), "log_bytes")
	})
	benchmarkSizes(b, "whole_manifest", benchWholeManifest)
}

func encodedBytes(b *testing.B, rec structs.Record) float64 {
	rec.Key = "0198f2c1-6b1e-7c3a-9a2b-000000000001"
	rec.Writer = "pipeline"
	data, err := structs.EncodeRecord(rec)
	require.NoError(b, err)
	return float64(len(data))
}

func benchWholeManifest(b *testing.B, vms int) {
	s := largeState(b, vms)
	empty := New().View()
	all := manifest.Diff(empty, manifest.FromView(s.View()))
	bytes := 0.0
	b.ReportAllocs()
	for b.Loop() {
		bytes = 0
		for from := 0; from < len(all); from += changesPerPublish {
			part := all[from:min(from+changesPerPublish, len(all))]
			rec := structs.Record{Publish: &structs.Publish{Base: s.generation, Changes: part}}
			mustApply(b, s, rec)
			bytes += encodedBytes(b, rec)
		}
	}
	b.ReportMetric(bytes, "log_bytes")
}

// BenchmarkView applies one change and takes a view. The baseline copies the
// whole state for each view.
func BenchmarkView(b *testing.B) {
	benchmarkChanges(b, func(b *testing.B, s *State, change func(*State, int) structs.Record) {
		s.View()
		for i := 0; b.Loop(); i++ {
			mustApply(b, s, change(s, i))
			s.View()
		}
	})
	benchmarkSizes(b, "whole_copy", func(b *testing.B, vms int) {
		s := largeState(b, vms)
		b.ReportAllocs()
		for b.Loop() {
			e := s.export()
			e.newState().View()
		}
	})
}

// BenchmarkApplyChecked applies one change and checks all invariants that a
// step can violate. The baseline is BenchmarkView.
func BenchmarkApplyChecked(b *testing.B) {
	benchmarkChanges(b, func(b *testing.B, s *State, change func(*State, int) structs.Record) {
		for i := 0; b.Loop(); i++ {
			step := change(s, i)
			step.Key = fmt.Sprintf("k%d", s.Next())
			step.Writer = "n1"
			if _, broken := s.ApplyChecked(s.Next(), step); len(broken) > 0 {
				b.Fatal(broken[0])
			}
		}
	})
}

// BenchmarkStateSize reports the memory used by a state with its view, and the
// size and duration of a snapshot.
func BenchmarkStateSize(b *testing.B) {
	for _, vms := range benchSizes {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			before := heapBytes()
			s := largeState(b, vms)
			for range dedupWindow {
				mustApply(b, s, structs.Record{Snapshot: &structs.Snapshot{}})
			}
			view := s.View()
			size := heapBytes() - before
			var parts []structs.Record
			for b.Loop() {
				var err error
				parts, err = s.SnapshotRecords("s", "n1")
				require.NoError(b, err)
			}
			b.ReportMetric(float64(size)/bytesPerMB, "state_MB")
			b.ReportMetric(float64(len(s.encode())), "snapshot_bytes")
			b.ReportMetric(float64(len(parts)), "snapshot_records")
			runtime.KeepAlive(view)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
