package wave

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// Step is the next step in a VM's life. The zero Step means to wait.
type Step struct {
	// To is the state to enter, or zero.
	To structs.VMState
	// FailedProbation says that the VM did not return well from its reboot.
	FailedProbation bool
	// Drain and Reboot ask the platform for the act, again in every round
	// while the state lasts.
	Drain  bool
	Reboot bool
}

// Context is what a step depends on besides the VM itself.
type Context struct {
	Now time.Time
	// Members are the entry nodes of the VM's zone.
	Members []structs.EntryMember
	// Image is the image the VM is to come back on, empty for any.
	Image string
	// NewImage says that the VM was taken out because it ran another image.
	NewImage bool
}

// Next returns the next step of one VM. The observation may be nil when
// nothing is known of the VM.
func (t *Tracker) Next(vm *structs.VMStatus, seen *Observation, c Context) Step {
	m := t.vms[vm.ID]
	if m == nil || seen == nil {
		return Step{}
	}
	if seen.Gone(t.options.FailureProbes) && vm.State != structs.VMFailed {
		return t.gone(vm, m, c.Now)
	}
	switch vm.State {
	case structs.VMActive:
		return t.nextActive(seen)
	case structs.VMDraining:
		return t.nextDraining(vm, m, seen, c)
	case structs.VMRebooting:
		return t.nextRebooting(m, seen, c)
	case structs.VMProbation:
		return t.nextProbation(m, seen, c.Now)
	case structs.VMFailed:
		return nextFailed(seen)
	}
	return Step{}
}

// gone marks a VM as failed that the list no longer names. A VM that was told
// to reboot may be missing from the list for a while.
func (t *Tracker) gone(vm *structs.VMStatus, m *memory, now time.Time) Step {
	if vm.State == structs.VMRebooting {
		if now.Sub(m.since) <= t.options.RebootTimeout {
			return Step{Reboot: true}
		}
		return Step{To: structs.VMFailed, FailedProbation: true}
	}
	return Step{To: structs.VMFailed, FailedProbation: vm.State == structs.VMProbation}
}

func (t *Tracker) nextActive(seen *Observation) Step {
	if seen.Failures >= t.options.FailureProbes {
		return Step{To: structs.VMFailed}
	}
	return Step{}
}

func (t *Tracker) nextDraining(vm *structs.VMStatus, m *memory, seen *Observation, c Context) Step {
	if seen.Failures >= t.options.FailureProbes {
		return Step{To: structs.VMFailed}
	}
	if !Acknowledged(vm, c.Members) || !t.idleSince(vm, m, seen, c.Now) {
		return Step{Drain: true}
	}
	return Step{To: structs.VMDrained, Drain: true}
}

// Acknowledged says that every entry node of the zone sends nothing more to
// the VM and has nothing in progress on it.
func Acknowledged(vm *structs.VMStatus, members []structs.EntryMember) bool {
	if len(members) == 0 {
		return false
	}
	for _, member := range members {
		if !contains(vm.Acks, member.Node) {
			return false
		}
	}
	return true
}

func contains(sorted []string, name string) bool {
	for _, s := range sorted {
		if s == name {
			return true
		}
	}
	return false
}

func (t *Tracker) nextRebooting(m *memory, seen *Observation, c Context) Step {
	if t.cameBack(m, seen, c) {
		return Step{To: structs.VMProbation}
	}
	if c.Now.Sub(m.since) > t.options.RebootTimeout {
		return Step{To: structs.VMFailed, FailedProbation: true}
	}
	return Step{Reboot: true}
}

// cameBack says that the reboot is over. An outage of its own can bring the
// VM back on another image than the wanted one; it then returns as it is. A
// planner that took over in the middle does not know the boot count from
// before the reboot; it accepts a new image, or a while of good probes,
// instead.
func (t *Tracker) cameBack(m *memory, seen *Observation, c Context) bool {
	if seen.Present != PresenceLive {
		return false
	}
	wanted := c.Image == "" || seen.Image == "" || seen.Image == c.Image
	if seen.Boot > m.boot {
		return wanted || seen.ProbeOK
	}
	if c.NewImage && c.Image != "" && seen.Image == c.Image {
		return true
	}
	settled := !m.okSince.IsZero() && c.Now.Sub(m.okSince) >= t.options.RebootSettle
	return m.resumed && wanted && settled
}

func (t *Tracker) nextProbation(m *memory, seen *Observation, now time.Time) Step {
	graceOver := now.Sub(m.since) > t.options.ProbationGrace
	if graceOver && seen.Failures >= t.options.FailureProbes {
		return Step{To: structs.VMFailed, FailedProbation: true}
	}
	if !m.okSince.IsZero() && now.Sub(m.okSince) >= t.options.Probation {
		return Step{To: structs.VMActive}
	}
	if now.Sub(m.since) > t.options.ProbationLimit {
		return Step{To: structs.VMFailed, FailedProbation: true}
	}
	return Step{}
}

func nextFailed(seen *Observation) Step {
	if seen.Present == PresenceLive && seen.ProbeOK {
		return Step{To: structs.VMProbation}
	}
	return Step{}
}
