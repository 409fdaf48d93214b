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
	// repeatPerMille is the probability that a record is appended twice, in
	// 1/1000.
	repeatPerMille = 80
	// pausePerMille is the probability per round that a planner pauses, in
	// 1/1000.
	pausePerMille = 5
	// outagePerMille is the probability per round that a log outage starts, in
	// 1/1000.
	outagePerMille = 2
)

// fleetSim simulates a log, the nodes that read it, and the planners and
// pipelines that append to it based on their own views.
type fleetSim struct {
	random   *rand.Rand
	log      fakeLog
	digests  digests
	primary  *State
	replicas []*replica
	planners []*fleetPlanner
	// delayed holds the records that are appended later. Some of them have
	// already been appended once.
	delayed []structs.Record
	// outageRounds is the number of rounds for which the log remains
	// unavailable.
	outageRounds int
	keys         int
	applied      map[string]int
	voids        map[structs.VoidReason]int
	// domains counts the simulated failures by kind of failure domain.
	domains map[structs.FailureDomain]int
	// savedView is an earlier view, and savedViewDigest its digest at that
	// time.
	savedView       *structs.View
	savedViewDigest uint64
}

// fleetPlanner appends records based on a view that may be outdated.
type fleetPlanner struct {
	name   string
	view   *structs.View
	epoch  structs.Epoch
	paused int
}

func newFleetSim(seed uint64, skip skippedChecks) (*fleetSim, error) {
	f := &fleetSim{
		random:  rand.New(rand.NewPCG(seed, 0)),
		digests: digests{},
		primary: New(),
		applied: map[string]int{},
		voids:   map[structs.VoidReason]int{},
		domains: map[structs.FailureDomain]int{},
	}
	f.primary.skip = skip
	for i := range fleetReplicas {
		r := newReplica(i)
		r.s.skip = skip
		f.replicas = append(f.replicas, r)
	}
	for i := range fleetPlanners {
		f.planners = append(f.planners, &fleetPlanner{name: fmt.Sprintf("n%d", i)})
	}
	return f, f.initialize()
}

// initialize publishes the example manifest and appends the first entry epochs.
func (f *fleetSim) initialize() error {
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
		if err := f.append(f.proposeEntryEpoch(f.primary.View(), zone.Name)); err != nil {
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

// run runs rounds until the log has reached a number of records, and then lets
// the replicas catch up.
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

// round lets each planner append records, and the replicas read.
func (f *fleetSim) round() error {
	if f.outageRounds > 0 {
		f.outageRounds--
	} else if f.chance(outagePerMille) {
		f.outageRounds = f.random.IntN(50)
	}
	for _, p := range f.planners {
		if err := f.plannerRound(p); err != nil {
			return err
		}
	}
	if err := f.appendDelayed(); err != nil {
		return err
	}
	if err := f.appendSnapshot(); err != nil {
		return err
	}
	if err := f.appendGarbage(); err != nil {
		return err
	}
	return f.readAll()
}

func (f *fleetSim) plannerRound(p *fleetPlanner) error {
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

// send appends each record once or twice, the second time delayed. During an
// outage of the log all records are delayed.
func (f *fleetSim) send(records []structs.Record) error {
	for _, rec := range records {
		f.keys++
		rec.Key = fmt.Sprintf("%s/%d", rec.Writer, f.keys)
		if f.outageRounds > 0 || f.chance(repeatPerMille) {
			f.delayed = append(f.delayed, rec)
		}
		if f.outageRounds > 0 {
			continue
		}
		if err := f.append(rec); err != nil {
			return err
		}
	}
	return nil
}

// appendDelayed appends some of the delayed records in random order.
func (f *fleetSim) appendDelayed() error {
	if f.outageRounds > 0 || len(f.delayed) == 0 {
		return nil
	}
	for range 1 + len(f.delayed)/8 {
		i := f.random.IntN(len(f.delayed))
		rec := f.delayed[i]
		f.delayed[i] = f.delayed[len(f.delayed)-1]
		f.delayed = f.delayed[:len(f.delayed)-1]
		if err := f.append(rec); err != nil {
			return err
		}
		if len(f.delayed) == 0 {
			return nil
		}
	}
	return nil
}

// append appends a record to the log, applies it to the primary and checks the
// invariants.
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
	f.applied[recordKind(rec)]++
}

func (f *fleetSim) check(before *structs.View, rec structs.Record, verdict structs.Verdict) error {
	if list := CheckStep(before, f.primary.View(), rec, verdict); len(list) > 0 {
		return list[0]
	}
	if list := f.primary.TakeViolations(); len(list) > 0 {
		return list[0]
	}
	if f.primary.Next()%8 == 0 {
		if list := f.primary.CheckInvariants(); len(list) > 0 {
			return list[0]
		}
	}
	if err := f.checkSavedView(); err != nil {
		return err
	}
	return f.digests.compare(f.primary)
}

// checkSavedView checks, every 32 records, that the saved view has not changed,
// and saves the current one.
func (f *fleetSim) checkSavedView() error {
	if f.primary.Next()%32 != 0 {
		return nil
	}
	if f.savedView != nil && viewDigest(f.savedView) != f.savedViewDigest {
		return newViolation(RuleNoRevert, "view at offset %d has changed", f.savedView.Offset)
	}
	f.savedView = f.primary.View()
	f.savedViewDigest = viewDigest(f.savedView)
	return nil
}

// viewDigest returns a hash of the whole content of a view.
func viewDigest(view *structs.View) uint64 {
	data, err := stateEncMode.Marshal(view)
	if err != nil {
		panic(err)
	}
	return hashBytes(data)
}

func recordKind(rec structs.Record) string {
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

// appendSnapshot appends a snapshot about every snapshotEvery records.
func (f *fleetSim) appendSnapshot() error {
	if f.outageRounds > 0 || f.primary.Next()%snapshotEvery > 12 {
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

// appendGarbage appends, with a probability of 5/1000, bytes that are not a
// valid record.
func (f *fleetSim) appendGarbage() error {
	if f.outageRounds > 0 || !f.chance(5) {
		return nil
	}
	data := []byte{0xbf, byte(f.random.IntN(256)), byte(f.random.IntN(256))}
	before := f.primary.View()
	verdict := f.primary.ApplyEncoded(f.log.append(data), data)
	f.voids[verdict.Void]++
	return f.check(before, structs.Record{}, verdict)
}

// readAll lets the replicas read. Occasionally a replica pauses for many
// rounds, so that retention overtakes it.
func (f *fleetSim) readAll() error {
	for _, r := range f.replicas {
		if r.pausedRounds > 0 {
			r.pausedRounds--
			continue
		}
		if f.chance(2) {
			r.pausedRounds = f.random.IntN(800)
		}
		if err := r.read(&f.log, f.digests, f.random.IntN(60)); err != nil {
			return err
		}
	}
	return nil
}
