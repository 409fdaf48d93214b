package state

import (
	"fmt"
	"math/rand/v2"
	"os"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
)

const (
	fleetPlanners = 4
	fleetReplicas = 3
	// repeatPerMille is how often an append is sent a second time.
	repeatPerMille = 80
	// pausePerMille is how often a planner is paused in a round.
	pausePerMille = 5
	// outagePerMille is how often the log goes down in a round.
	outagePerMille = 2
)

// fleetSim is a log, the nodes that read it and the planners and pipelines
// that write to it on views of their own.
type fleetSim struct {
	random   *rand.Rand
	log      fakeLog
	digests  digests
	primary  *State
	replicas []*replica
	planners []*fleetPlanner
	// late holds the records that arrive later, some for a second time.
	late []structs.Record
	// down is the number of rounds for which the log stays away.
	down    int
	keys    int
	applied map[string]int
	voids   map[structs.Void]int
	// domains counts the failures by kind of failure domain.
	domains map[structs.FailureDomain]int
	// kept is a view with its digest when it was taken.
	kept       *structs.View
	keptDigest uint64
}

// fleetPlanner writes records on a view that may be old.
type fleetPlanner struct {
	name   string
	view   *structs.View
	epoch  structs.Epoch
	paused int
}

func newFleetSim(seed uint64, unsafe unsafeSkips) (*fleetSim, error) {
	f := &fleetSim{
		random:  rand.New(rand.NewPCG(seed, 0)),
		digests: digests{},
		primary: New(),
		applied: map[string]int{},
		voids:   map[structs.Void]int{},
		domains: map[structs.FailureDomain]int{},
	}
	f.primary.unsafe = unsafe
	for i := range fleetReplicas {
		r := newReplica(i)
		r.s.unsafe = unsafe
		f.replicas = append(f.replicas, r)
	}
	for i := range fleetPlanners {
		f.planners = append(f.planners, &fleetPlanner{name: fmt.Sprintf("n%d", i)})
	}
	return f, f.begin()
}

// begin publishes the example and forms the entry epochs.
func (f *fleetSim) begin() error {
	data, err := os.ReadFile("../../examples/gothalo.json")
	if err != nil {
		return err
	}
	m, problems := manifest.Parse(data)
	if len(problems) > 0 {
		return problems[0]
	}
	changes := manifest.Diff(f.primary.View(), m)
	if err := f.append(structs.Record{Writer: "pipeline", Publish: &structs.Publish{Changes: changes}}); err != nil {
		return err
	}
	for _, zone := range m.Zones {
		if err := f.append(f.newEpoch(f.primary.View(), zone.Name)); err != nil {
			return err
		}
	}
	for _, p := range f.planners {
		p.view = f.primary.View()
	}
	return nil
}

func (f *fleetSim) chance(perMille int) bool {
	return f.random.IntN(1000) < perMille
}

// run lets records be written until the log has had a number of them.
func (f *fleetSim) run(records int) error {
	for f.log.next() < structs.Offset(records) {
		if err := f.round(); err != nil {
			return err
		}
	}
	for _, r := range f.replicas {
		if err := r.read(&f.log, f.digests, records); err != nil {
			return err
		}
	}
	return nil
}

// round lets each planner write, and replicas read.
func (f *fleetSim) round() error {
	if f.down > 0 {
		f.down--
	} else if f.chance(outagePerMille) {
		f.down = f.random.IntN(50)
	}
	for _, p := range f.planners {
		if err := f.roundOf(p); err != nil {
			return err
		}
	}
	if err := f.deliverLate(); err != nil {
		return err
	}
	if err := f.snapshot(); err != nil {
		return err
	}
	if err := f.garbage(); err != nil {
		return err
	}
	return f.readAll()
}

func (f *fleetSim) roundOf(p *fleetPlanner) error {
	if p.paused > 0 {
		p.paused--
		return nil
	}
	if f.chance(pausePerMille) {
		p.paused = f.random.IntN(60)
	}
	if f.chance(600) {
		p.view = f.primary.View()
	}
	for range 1 + f.random.IntN(3) {
		if err := f.send(f.propose(p)); err != nil {
			return err
		}
	}
	return nil
}

// send appends records now, later or twice. During an outage they all arrive
// later.
func (f *fleetSim) send(records []structs.Record) error {
	for _, rec := range records {
		f.keys++
		rec.Key = fmt.Sprintf("%s/%d", rec.Writer, f.keys)
		if f.down > 0 || f.chance(repeatPerMille) {
			f.late = append(f.late, rec)
		}
		if f.down > 0 {
			continue
		}
		if err := f.append(rec); err != nil {
			return err
		}
	}
	return nil
}

// deliverLate appends some of the records that were held back, in any order.
func (f *fleetSim) deliverLate() error {
	if f.down > 0 || len(f.late) == 0 {
		return nil
	}
	for range 1 + len(f.late)/8 {
		i := f.random.IntN(len(f.late))
		rec := f.late[i]
		f.late[i] = f.late[len(f.late)-1]
		f.late = f.late[:len(f.late)-1]
		if err := f.append(rec); err != nil {
			return err
		}
		if len(f.late) == 0 {
			return nil
		}
	}
	return nil
}

// append adds a record to the log, folds it in the primary and checks every
// invariant.
func (f *fleetSim) append(rec structs.Record) error {
	if rec.Key == "" {
		f.keys++
		rec.Key = fmt.Sprintf("%s/%d", rec.Writer, f.keys)
	}
	data, err := structs.EncodeRecord(rec)
	if err != nil {
		return err
	}
	offset := f.log.append(data)
	before := f.primary.View()
	verdict := f.primary.ApplyEncoded(offset, data)
	f.count(rec, verdict)
	return f.check(before, rec, verdict)
}

func (f *fleetSim) count(rec structs.Record, verdict structs.Verdict) {
	if verdict.Void != structs.VoidNone {
		f.voids[verdict.Void]++
		return
	}
	f.applied[kindOf(rec)]++
}

func (f *fleetSim) check(before *structs.View, rec structs.Record, verdict structs.Verdict) error {
	if list := CheckStep(before, f.primary.View(), rec, verdict); len(list) > 0 {
		return list[0]
	}
	if list := f.primary.TakeViolations(); len(list) > 0 {
		return list[0]
	}
	if f.primary.Next()%8 == 0 {
		if list := f.primary.Check(); len(list) > 0 {
			return list[0]
		}
	}
	if err := f.checkKeptView(); err != nil {
		return err
	}
	return f.digests.compare(f.primary)
}

// checkKeptView checks now and then that an old view has not changed, and
// keeps a new one.
func (f *fleetSim) checkKeptView() error {
	if f.primary.Next()%32 != 0 {
		return nil
	}
	if f.kept != nil && viewDigest(f.kept) != f.keptDigest {
		return violated(RuleNoRevert, "the view of offset %d has changed", f.kept.Offset)
	}
	f.kept = f.primary.View()
	f.keptDigest = viewDigest(f.kept)
	return nil
}

// viewDigest hashes all that a view shows.
func viewDigest(view *structs.View) uint64 {
	data, err := stateEncMode.Marshal(view)
	if err != nil {
		panic(err)
	}
	return hashBytes(data)
}

func kindOf(rec structs.Record) string {
	switch {
	case rec.Publish != nil:
		return "publish"
	case rec.Lease != nil:
		return "lease"
	case rec.Transition != nil:
		return "to " + rec.Transition.To.String()
	case rec.Move != nil:
		return "move"
	case rec.DrainAck != nil:
		return "drain ack"
	case rec.EntryEpoch != nil:
		return "entry epoch"
	case rec.WaveStop != nil:
		return "wave stop"
	}
	return "snapshot"
}

// snapshot appends a snapshot every so often.
func (f *fleetSim) snapshot() error {
	if f.down > 0 || f.primary.Next()%snapshotEvery > 12 {
		return nil
	}
	parts, err := f.primary.SnapshotRecords(fmt.Sprintf("snapshot/%d", f.primary.Next()), "n0")
	if err != nil {
		return err
	}
	for _, part := range parts {
		if err := f.append(part); err != nil {
			return err
		}
	}
	return nil
}

// garbage appends bytes that are no record now and then.
func (f *fleetSim) garbage() error {
	if f.down > 0 || !f.chance(5) {
		return nil
	}
	data := []byte{0xbf, byte(f.random.IntN(256)), byte(f.random.IntN(256))}
	before := f.primary.View()
	verdict := f.primary.ApplyEncoded(f.log.append(data), data)
	f.voids[verdict.Void]++
	return f.check(before, structs.Record{}, verdict)
}

// readAll lets the replicas read; now and then one stays away for long.
func (f *fleetSim) readAll() error {
	for _, r := range f.replicas {
		if r.away > 0 {
			r.away--
			continue
		}
		if f.chance(2) {
			r.away = f.random.IntN(800)
		}
		if err := r.read(&f.log, f.digests, f.random.IntN(60)); err != nil {
			return err
		}
	}
	return nil
}
