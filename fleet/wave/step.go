package wave

import (
	"time"

	"wigeonwinch/fleet/structs"
)

// Step is the next step in the lifecycle of a VM. The zero Step means to wait.
type Step struct {
	// To is the state to enter; zero means no change.
	To structs.VMState
	// FailedProbation is whether the VM failed to return to service after its
	// reboot.
	FailedProbation bool
	// Drain and Reboot request the action from the platform. They are set again
	// in every round until the VM leaves the state.
	Drain  bool
	Reboot bool
}

// Context is the input of a step besides the VM itself.
type Context struct {
	Now time.Time
	// Members are the entry nodes of the VM's zone.
	Members []structs.EntryMember
	// Image is the image that the VM must run after the reboot; empty means any.
	Image string
	// NewImage is whether the VM was drained because it ran another image.
	NewImage bool
}

// Next returns the next step of one VM. The observation may be nil if the VM
// has not been observed.
func (t *Tracker) Next(vm *structs.VMStatus, obs *Observation, c Context) Step {
	h := t.vms[vm.ID]
	if h == nil || obs == nil {
		return Step{}
	}
	if obs.Gone(t.options.FailureThreshold) && vm.State != structs.VMFailed {
		return t.nextGone(vm, h, c.Now)
	}
	switch vm.State {
	case structs.VMActive:
		return t.nextActive(obs)
	case structs.VMDraining:
		return t.nextDraining(vm, h, obs, c)
	case structs.VMRebooting:
		return t.nextRebooting(h, obs, c)
	case structs.VMProbation:
		return t.nextProbation(h, obs, c.Now)
	case structs.VMFailed:
		return nextFailed(obs)
	}
	return Step{}
}

// nextGone returns the next step of a VM that no longer exists. A rebooting VM
// may be missing from the platform's list of VMs for a while, so it fails only
// after the reboot timeout.
func (t *Tracker) nextGone(vm *structs.VMStatus, h *vmHistory, now time.Time) Step {
	if vm.State == structs.VMRebooting {
		if now.Sub(h.since) <= t.options.RebootTimeout {
			return Step{Reboot: true}
		}
		return Step{To: structs.VMFailed, FailedProbation: true}
	}
	return Step{To: structs.VMFailed, FailedProbation: vm.State == structs.VMProbation}
}

func (t *Tracker) nextActive(obs *Observation) Step {
	if obs.ConsecutiveFailures >= t.options.FailureThreshold {
		return Step{To: structs.VMFailed}
	}
	return Step{}
}

func (t *Tracker) nextDraining(vm *structs.VMStatus, h *vmHistory, obs *Observation, c Context) Step {
	if obs.ConsecutiveFailures >= t.options.FailureThreshold {
		return Step{To: structs.VMFailed}
	}
	if !Acknowledged(vm, c.Members) || !t.idleAfterDrain(vm, h, obs, c.Now) {
		return Step{Drain: true}
	}
	return Step{To: structs.VMDrained, Drain: true}
}

// Acknowledged reports whether every entry node of the zone has acknowledged
// that it sends no more requests to the VM and has none in progress on it.
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

func contains(names []string, name string) bool {
	for _, s := range names {
		if s == name {
			return true
		}
	}
	return false
}

func (t *Tracker) nextRebooting(h *vmHistory, obs *Observation, c Context) Step {
	if t.rebootFinished(h, obs, c) {
		return Step{To: structs.VMProbation}
	}
	if c.Now.Sub(h.since) > t.options.RebootTimeout {
		return Step{To: structs.VMFailed, FailedProbation: true}
	}
	return Step{Reboot: true}
}

// rebootFinished reports whether the VM has completed its reboot. After an
// unplanned outage the VM may run another image than the expected one; it still
// returns to service. A planner that took over during the reboot does not know
// the boot count from before it. It accepts a new image, or successful probes
// for the settle time, instead.
func (t *Tracker) rebootFinished(h *vmHistory, obs *Observation, c Context) bool {
	if obs.Presence != PresenceLive {
		return false
	}
	imageMatches := c.Image == "" || obs.Image == "" || obs.Image == c.Image
	if obs.BootCount > h.bootCount {
		return imageMatches || obs.ProbeOK
	}
	if c.NewImage && c.Image != "" && obs.Image == c.Image {
		return true
	}
	settled := !h.healthySince.IsZero() && c.Now.Sub(h.healthySince) >= t.options.RebootSettle
	return h.predatesTracker && imageMatches && settled
}

func (t *Tracker) nextProbation(h *vmHistory, obs *Observation, now time.Time) Step {
	graceOver := now.Sub(h.since) > t.options.ProbationGrace
	if graceOver && obs.ConsecutiveFailures >= t.options.FailureThreshold {
		return Step{To: structs.VMFailed, FailedProbation: true}
	}
	if !h.healthySince.IsZero() && now.Sub(h.healthySince) >= t.options.Probation {
		return Step{To: structs.VMActive}
	}
	if now.Sub(h.since) > t.options.ProbationLimit {
		return Step{To: structs.VMFailed, FailedProbation: true}
	}
	return Step{}
}

func nextFailed(obs *Observation) Step {
	if obs.Presence == PresenceLive && obs.ProbeOK {
		return Step{To: structs.VMProbation}
	}
	return Step{}
}
