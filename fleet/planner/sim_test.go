package planner

import (
	"math/rand"
	"time"

	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/fleet/wave"
)

const (
	simRound   = 5 * time.Second
	simScope   = "fleet"
	imageOld   = "image-1"
	imageNew   = "image-2"
	simEntries = 3
	// passesPerRound bounds how often the control loop plans in one step.
	passesPerRound = 3
	// repairTime is how long a VM stays broken until the platform mends it.
	repairTime = 20 * time.Minute
	// shortAtMost is the longest run of ordinary requests.
	shortAtMost = 10 * time.Second
)

// worker is the truth about one VM, which the planner sees only in part.
type worker struct {
	id        string
	boot      uint64
	image     string
	downUntil time.Time
	comesBack string // image after the current outage
	rebooted  uint64 // sequence of the last reboot act
	shortEnd  time.Time
	longEnd   time.Time
	broken    bool // answers no probe although it is up
	mendedAt  time.Time
	failures  int
	reboot    time.Duration // how long its reboots last
	restarted bool          // had an unplanned outage
	// outageUntil is the end of the last unplanned outage.
	outageUntil time.Time
}

// of returns the truth about a VM.
func (s *sim) of(vm *structs.VMStatus) *worker { return s.workers[s.byID[vm.ID]] }

func (w *worker) up(now time.Time) bool { return !now.Before(w.downUntil) }

// sim is the life of some VMs under the real fold of the log.
type sim struct {
	rng      *rand.Rand
	now      time.Time
	start    time.Time
	view     *structs.View
	pristine *structs.View // the fleet as it was at the start
	workers  []*worker
	byID     map[string]int
	log      *state.State
	epoch    structs.Epoch
	writer   string
	cut      []string
	observed []Observation // reused between rounds

	longShare    float64 // share of busy VMs that hold a long request
	longMean     time.Duration
	shortMost    time.Duration // longest run of ordinary requests
	repair       time.Duration // how long a VM stays broken; zero for ever
	passes       int           // plans in one step at most
	breakImage   string        // VMs that come back on this image are broken
	breakShare   float64       // share of reboots that end broken
	restartsADay float64
	failuresADay float64

	unchecked bool // leave out the count of breaches
	cutWork   int  // requests cut by a planned stop
	breaches  int  // rounds and pools in which planned outages broke a budget
	voids     int
	lastVoid  structs.Verdict
	early     int // reboots of VMs that were not drained
}

func newSim(view *structs.View, seed int64) *sim {
	start := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	s := &sim{
		rng: rand.New(rand.NewSource(seed)), now: start, start: start, view: view,
		byID: make(map[string]int), log: state.New(),
		longMean: 10 * time.Minute, shortMost: shortAtMost, repair: repairTime, passes: passesPerRound,
	}
	s.publish(view)
	s.takeLease("e-0-0")
	view = s.view
	s.pristine = view
	for i := range view.VMs {
		id := view.VMs[i].ID
		s.byID[id] = i
		reboot := 4*time.Minute + time.Duration(s.rng.Int63n(int64(2*time.Minute)))
		s.workers = append(s.workers, &worker{id: id, boot: 1, image: imageOld, reboot: reboot})
	}
	return s
}

func (s *sim) addWave() {
	s.change(structs.Change{Kind: structs.ItemWave, Name: "march", Wave: &structs.Wave{Name: "march", Image: imageNew}})
}

// policy is something that plans rounds.
type policy interface{ Round(Input) Plan }

// step lets the VMs live for one round and then lets the policy plan.
func (s *sim) step(p policy) Plan {
	s.now = s.now.Add(simRound)
	for i := range s.view.VMs {
		s.live(&s.view.VMs[i], s.of(&s.view.VMs[i]))
	}
	s.view = s.log.View()
	if !s.unchecked {
		s.check()
	}
	if p == nil {
		return Plan{}
	}
	plan := s.plan(p)
	for pass := 1; pass < s.passes && len(plan.Records) > 0; pass++ {
		plan = s.plan(p)
	}
	return plan
}

// plan makes one round of planning. The control loop plans again as soon as
// it has read its own records back.
func (s *sim) plan(p policy) Plan {
	plan := p.Round(s.input())
	for _, rec := range plan.Records {
		s.fold(rec)
	}
	s.view = s.log.View()
	for _, action := range plan.Actions {
		s.act(action)
	}
	return plan
}

func (s *sim) input() Input {
	in := Input{View: s.view, Now: s.now, Scope: simScope, Epoch: s.epoch, Writer: s.writer, CutZones: s.cut}
	in.Observed = s.observed[:0]
	for _, w := range s.workers {
		o := Observation{
			VM: w.id, Present: wave.PresenceLive, Boot: w.boot, Image: w.image,
			ProbeOK: w.up(s.now) && !w.broken, Failures: w.failures,
		}
		if w.up(s.now) {
			o.InProgress = w.inProgress(s.now)
			o.BusyAt = s.now
		}
		in.Observed = append(in.Observed, o)
	}
	s.observed = in.Observed
	return in
}

// outOfOrder says that the VM has an outage that no plan made.
func (w *worker) outOfOrder(now time.Time) bool {
	return w.broken || (w.restarted && !w.up(now))
}

func (w *worker) inProgress(now time.Time) int {
	n := 0
	if now.Before(w.shortEnd) {
		n++
	}
	if now.Before(w.longEnd) {
		n++
	}
	return n
}

// live advances one VM: new work, acknowledgements, outages and probes.
func (s *sim) live(vm *structs.VMStatus, w *worker) {
	if w.comesBack != "" && w.up(s.now) {
		s.boot(w)
	}
	if w.up(s.now) {
		s.work(vm, w)
	}
	if w.broken && w.image != s.breakImage && s.repair > 0 && s.now.After(w.mendedAt) {
		w.broken = false
	}
	if w.up(s.now) && !w.broken {
		w.failures = 0
	} else {
		w.failures++
	}
	perRound := simRound.Hours() / 24 / float64(len(s.workers))
	switch draw := s.rng.Float64(); {
	case draw < s.restartsADay*perRound:
		image := w.image
		if s.rng.Intn(2) == 0 {
			image = imageNew
		}
		s.fail(w, 3*time.Minute, image)
	case draw < (s.restartsADay+s.failuresADay)*perRound:
		s.fail(w, 4*time.Hour, w.image)
	}
}

func (s *sim) boot(w *worker) {
	w.boot++
	w.image = w.comesBack
	w.comesBack = ""
	w.broken = w.image == s.breakImage || s.rng.Float64() < s.breakShare
	w.mendedAt = s.now.Add(s.repair)
}

func (s *sim) work(vm *structs.VMStatus, w *worker) {
	if vm.State == structs.VMActive {
		w.shortEnd = s.now.Add(time.Duration(s.rng.Int63n(int64(s.shortMost))))
		chance := s.longShare * simRound.Seconds() / s.longMean.Seconds()
		if s.now.After(w.longEnd) && s.rng.Float64() < chance {
			w.longEnd = s.now.Add(s.longRun())
		}
	}
	if vm.State == structs.VMDraining && w.inProgress(s.now) == 0 && len(vm.Acks) == 0 {
		s.acknowledge(vm)
	}
}

func (s *sim) longRun() time.Duration {
	return s.longMean/2 + time.Duration(s.rng.Int63n(int64(s.longMean)))
}

// fail is an unplanned outage; work in progress is lost with the VM.
func (s *sim) fail(w *worker, length time.Duration, image string) {
	w.downUntil = s.now.Add(length)
	w.comesBack = image
	w.shortEnd, w.longEnd = time.Time{}, time.Time{}
	w.restarted = true
	w.outageUntil = w.downUntil
}

// failWhere fails every VM that the function picks.
func (s *sim) failWhere(length time.Duration, pick func(*structs.VMStatus) bool) {
	for i := range s.view.VMs {
		if w := s.of(&s.view.VMs[i]); pick(&s.view.VMs[i]) {
			s.fail(w, length, w.image)
		}
	}
}

func (s *sim) act(a Action) {
	w := s.workers[s.byID[a.VM]]
	vm, found := s.view.VMByID(a.VM)
	if !found {
		return
	}
	if a.Kind != ActionReboot || w.rebooted >= a.Sequence || a.Epoch < s.epoch {
		return
	}
	if vm.State != structs.VMRebooting || vm.Sequence != a.Sequence {
		s.early++
		return
	}
	s.cutWork += w.inProgress(s.now)
	w.rebooted = a.Sequence
	w.comesBack = a.Image
	if w.comesBack == "" {
		w.comesBack = w.image
	}
	w.downUntil = s.now.Add(w.reboot)
}

// tally counts one pool's available workers and those out by plan.
type tally struct{ available, planned int }

// check counts the pools in which planned outages break a budget now.
func (s *sim) check() {
	pools := make(map[string]*tally, len(s.view.Pools))
	zones := make(map[[2]string]*tally)
	for i := range s.view.VMs {
		vm := &s.view.VMs[i]
		cell := [2]string{vm.Pool, vm.Zone}
		if pools[vm.Pool] == nil {
			pools[vm.Pool] = &tally{}
		}
		if zones[cell] == nil {
			zones[cell] = &tally{}
		}
		s.count(vm, s.of(vm), pools[vm.Pool], zones[cell])
	}
	for _, service := range s.view.Services {
		if p := pools[service.Pool]; p != nil && p.broken(service.Budget.MinAvailable) {
			s.breaches++
		}
		for cell, z := range zones {
			if cell[0] == service.Pool && z.broken(service.Budget.MinAvailablePerZone) {
				s.breaches++
			}
		}
	}
}

// broken says that the budget would hold without the planned outages.
func (t *tally) broken(least int) bool {
	return t.available < least && t.available+t.planned >= least
}

func (s *sim) count(vm *structs.VMStatus, w *worker, tallies ...*tally) {
	serves := vm.State == structs.VMActive && w.up(s.now) && !w.broken
	planned := vm.State != structs.VMActive && vm.State != structs.VMFailed
	for _, t := range tallies {
		if serves {
			t.available++
		}
		if planned {
			t.planned++
		}
	}
}

// finished says that every VM that has not failed runs the new image.
func (s *sim) finished() bool {
	for i := range s.view.VMs {
		vm := &s.view.VMs[i]
		if vm.State == structs.VMFailed || s.of(vm).outOfOrder(s.now) {
			continue
		}
		if vm.State != structs.VMActive || vm.Image != imageNew && s.of(vm).image != imageNew {
			return false
		}
	}
	return true
}

// run steps until the wave is finished or the time is up.
func (s *sim) run(p policy, limit time.Duration) time.Duration {
	for s.now.Sub(s.start) < limit && !s.finished() {
		s.step(p)
	}
	return s.now.Sub(s.start)
}
