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
	// maxPlansPerStep is the maximum number of rounds that the control loop
	// plans in one step.
	maxPlansPerStep = 3
	// repairTime is the time until the platform repairs a broken VM.
	repairTime = 20 * time.Minute
	// maxShortRequest is the maximum duration of ordinary requests.
	maxShortRequest = 10 * time.Second
)

// worker is the true state of a VM, which the planner observes only in part.
type worker struct {
	id            string
	boot          uint64
	image         string
	downUntil     time.Time
	nextImage     string // image booted after the current outage or reboot
	lastReboot    uint64 // sequence of the last reboot action
	shortEnd      time.Time
	longEnd       time.Time
	broken        bool // fails its probes although it is up
	repairedAt    time.Time
	probeFailures int
	rebootTime    time.Duration // duration of its reboots
	hadOutage     bool          // had an unplanned outage
	// outageUntil is the end of the last unplanned outage.
	outageUntil time.Time
}

// workerOf returns the true state of a VM.
func (s *sim) workerOf(vm *structs.VMStatus) *worker { return s.workers[s.byID[vm.ID]] }

func (w *worker) up(now time.Time) bool { return !now.Before(w.downUntil) }

// sim simulates a fleet on top of the real state machine of the log.
type sim struct {
	rng              *rand.Rand
	now              time.Time
	start            time.Time
	view             *structs.View
	initialView      *structs.View // the fleet at the start
	workers          []*worker
	byID             map[string]int
	log              *state.State
	epoch            structs.Epoch
	writer           string
	unreachableZones []string
	observed         []Observation // reused between rounds

	longRequestShare float64 // share of active VMs with a long request
	longRequestMean  time.Duration
	maxShortRequest  time.Duration // maximum duration of ordinary requests
	repairTime       time.Duration // time until a broken VM is repaired; zero means never
	maxPlans         int           // maximum number of rounds planned in one step
	brokenImage      string        // VMs that boot this image are broken
	brokenShare      float64       // share of reboots after which the VM is broken
	restartsPerDay   float64
	failuresPerDay   float64

	skipBudgetCheck     bool // do not count budget breaches
	interruptedRequests int  // requests interrupted by planned reboots
	budgetBreaches      int  // budgets violated by planned outages, counted in each step
	voidRecords         int
	lastVoid            structs.Verdict
	undrainedReboots    int // reboots requested for VMs that were not drained
}

func newSim(view *structs.View, seed int64) *sim {
	start := time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)
	s := &sim{
		rng: rand.New(rand.NewSource(seed)), now: start, start: start, view: view,
		byID: make(map[string]int), log: state.New(),
		longRequestMean: 10 * time.Minute, maxShortRequest: maxShortRequest, repairTime: repairTime, maxPlans: maxPlansPerStep,
	}
	s.publishFleet(view)
	s.takeLease("e-0-0")
	view = s.view
	s.initialView = view
	for i := range view.VMs {
		id := view.VMs[i].ID
		s.byID[id] = i
		reboot := 4*time.Minute + time.Duration(s.rng.Int63n(int64(2*time.Minute)))
		s.workers = append(s.workers, &worker{id: id, boot: 1, image: imageOld, rebootTime: reboot})
	}
	return s
}

func (s *sim) addWave() {
	s.publishChanges(structs.Change{Kind: structs.ItemWave, Name: "march", Wave: &structs.Wave{Name: "march", Image: imageNew}})
}

// policy plans rounds; it is implemented by Planner and by the baselines.
type policy interface{ Round(Input) Plan }

// step advances the VMs by one round and then plans with the policy, unless it
// is nil.
func (s *sim) step(p policy) Plan {
	s.now = s.now.Add(simRound)
	for i := range s.view.VMs {
		s.advanceWorker(&s.view.VMs[i], s.workerOf(&s.view.VMs[i]))
	}
	s.view = s.log.View()
	if !s.skipBudgetCheck {
		s.checkBudgets()
	}
	if p == nil {
		return Plan{}
	}
	plan := s.planRound(p)
	for plans := 1; plans < s.maxPlans && len(plan.Records) > 0; plans++ {
		plan = s.planRound(p)
	}
	return plan
}

// planRound runs one planning round and applies its results. The control loop
// plans again as soon as it has read its own records back.
func (s *sim) planRound(p policy) Plan {
	plan := p.Round(s.input())
	for _, rec := range plan.Records {
		s.apply(rec)
	}
	s.view = s.log.View()
	for _, action := range plan.Actions {
		s.applyAction(action)
	}
	return plan
}

func (s *sim) input() Input {
	in := Input{View: s.view, Now: s.now, Scope: simScope, Epoch: s.epoch, Writer: s.writer, UnreachableZones: s.unreachableZones}
	in.Observations = s.observed[:0]
	for _, w := range s.workers {
		o := Observation{
			VM: w.id, Presence: wave.PresenceLive, BootCount: w.boot, Image: w.image,
			ProbeOK: w.up(s.now) && !w.broken, ConsecutiveFailures: w.probeFailures,
		}
		if w.up(s.now) {
			o.InProgress = w.inProgress(s.now)
			o.InProgressAt = s.now
		}
		in.Observations = append(in.Observations, o)
	}
	s.observed = in.Observations
	return in
}

// inUnplannedOutage reports whether the VM is in an outage that was not
// planned.
func (w *worker) inUnplannedOutage(now time.Time) bool {
	return w.broken || (w.hadOutage && !w.up(now))
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

// advanceWorker advances one VM by a round: boots, requests, drain
// acknowledgements, outages and probes.
func (s *sim) advanceWorker(vm *structs.VMStatus, w *worker) {
	if w.nextImage != "" && w.up(s.now) {
		s.bootWorker(w)
	}
	if w.up(s.now) {
		s.serveRequests(vm, w)
	}
	if w.broken && w.image != s.brokenImage && s.repairTime > 0 && s.now.After(w.repairedAt) {
		w.broken = false
	}
	if w.up(s.now) && !w.broken {
		w.probeFailures = 0
	} else {
		w.probeFailures++
	}
	perRound := simRound.Hours() / 24 / float64(len(s.workers))
	switch draw := s.rng.Float64(); {
	case draw < s.restartsPerDay*perRound:
		image := w.image
		if s.rng.Intn(2) == 0 {
			image = imageNew
		}
		s.fail(w, 3*time.Minute, image)
	case draw < (s.restartsPerDay+s.failuresPerDay)*perRound:
		s.fail(w, 4*time.Hour, w.image)
	}
}

func (s *sim) bootWorker(w *worker) {
	w.boot++
	w.image = w.nextImage
	w.nextImage = ""
	w.broken = w.image == s.brokenImage || s.rng.Float64() < s.brokenShare
	w.repairedAt = s.now.Add(s.repairTime)
}

func (s *sim) serveRequests(vm *structs.VMStatus, w *worker) {
	if vm.State == structs.VMActive {
		w.shortEnd = s.now.Add(time.Duration(s.rng.Int63n(int64(s.maxShortRequest))))
		chance := s.longRequestShare * simRound.Seconds() / s.longRequestMean.Seconds()
		if s.now.After(w.longEnd) && s.rng.Float64() < chance {
			w.longEnd = s.now.Add(s.longRequestDuration())
		}
	}
	if vm.State == structs.VMDraining && w.inProgress(s.now) == 0 && len(vm.Acks) == 0 {
		s.acknowledge(vm)
	}
}

func (s *sim) longRequestDuration() time.Duration {
	return s.longRequestMean/2 + time.Duration(s.rng.Int63n(int64(s.longRequestMean)))
}

// fail starts an unplanned outage; requests in progress are lost with the VM.
func (s *sim) fail(w *worker, length time.Duration, image string) {
	w.downUntil = s.now.Add(length)
	w.nextImage = image
	w.shortEnd, w.longEnd = time.Time{}, time.Time{}
	w.hadOutage = true
	w.outageUntil = w.downUntil
}

// failWhere fails every VM that pick selects.
func (s *sim) failWhere(length time.Duration, pick func(*structs.VMStatus) bool) {
	for i := range s.view.VMs {
		if w := s.workerOf(&s.view.VMs[i]); pick(&s.view.VMs[i]) {
			s.fail(w, length, w.image)
		}
	}
}

func (s *sim) applyAction(a Action) {
	w := s.workers[s.byID[a.VM]]
	vm, found := s.view.VMByID(a.VM)
	if !found {
		return
	}
	if a.Kind != ActionReboot || w.lastReboot >= a.Sequence || a.Epoch < s.epoch {
		return
	}
	if vm.State != structs.VMRebooting || vm.Sequence != a.Sequence {
		s.undrainedReboots++
		return
	}
	s.interruptedRequests += w.inProgress(s.now)
	w.lastReboot = a.Sequence
	w.nextImage = a.Image
	if w.nextImage == "" {
		w.nextImage = w.image
	}
	w.downUntil = s.now.Add(w.rebootTime)
}

// tally counts the available workers of a pool or of a pool in a zone, and
// those in a planned outage.
type tally struct{ available, planned int }

// checkBudgets counts the budgets that planned outages violate now.
func (s *sim) checkBudgets() {
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
		s.count(vm, s.workerOf(vm), pools[vm.Pool], zones[cell])
	}
	for _, service := range s.view.Services {
		if p := pools[service.Pool]; p != nil && p.brokenByPlan(service.Budget.MinAvailable) {
			s.budgetBreaches++
		}
		for cell, z := range zones {
			if cell[0] == service.Pool && z.brokenByPlan(service.Budget.MinAvailablePerZone) {
				s.budgetBreaches++
			}
		}
	}
}

// brokenByPlan reports whether the budget is violated but would hold without
// the planned outages.
func (t *tally) brokenByPlan(least int) bool {
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

// finished reports whether every VM that has not failed runs the new image.
func (s *sim) finished() bool {
	for i := range s.view.VMs {
		vm := &s.view.VMs[i]
		if vm.State == structs.VMFailed || s.workerOf(vm).inUnplannedOutage(s.now) {
			continue
		}
		if vm.State != structs.VMActive || vm.Image != imageNew && s.workerOf(vm).image != imageNew {
			return false
		}
	}
	return true
}

// runUntilFinished steps until the wave is finished or the time limit is
// reached. It returns the elapsed time.
func (s *sim) runUntilFinished(p policy, limit time.Duration) time.Duration {
	for s.now.Sub(s.start) < limit && !s.finished() {
		s.step(p)
	}
	return s.now.Sub(s.start)
}
