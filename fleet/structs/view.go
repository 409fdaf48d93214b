package structs

import "sort"

// View is an immutable copy of the control state at one log offset. The request
// path and the planner read views. A view must not be modified after it has
// been shared.
type View struct {
	// Offset is the offset of the next record to apply: the view reflects every
	// record below it.
	Offset Offset
	// Generation counts the accepted publishes.
	Generation Generation
	// PublishedAt is the log offset of the last accepted publish.
	PublishedAt Offset

	Zones    map[string]Zone
	Teams    map[string]Team
	Pools    map[string]Pool
	Services map[string]Service
	Windows  map[string]Window
	Waves    map[string]WaveStatus
	// VMs is sorted by ID.
	VMs []VMStatus
	// EntryEpochs is the membership of the entry nodes by zone.
	EntryEpochs map[string]EntryEpoch
	// Leases is the last applied lease record by scope.
	Leases map[string]Lease
}

// VMStatus is the state of a VM in a view.
type VMStatus struct {
	VM
	// Pool is the pool to which the VM currently belongs. It shadows the pool
	// declared in the manifest.
	Pool string
	// State is the lifecycle state of the VM.
	State VMState
	// Sequence counts the VM's applied transitions and moves.
	Sequence uint64
	// Image is the image that the VM was last reported to run. Empty means the
	// image of its pool at the time the VM was declared.
	Image string
	// Wave is the wave for which the VM was drained, if any.
	Wave string
	// Acks lists the entry nodes that have acknowledged the current drain, in
	// order of their names.
	Acks []string
	// Removed reports that the manifest no longer lists the VM. The VM is
	// deleted from the state once it is drained.
	Removed bool
}

// WaveStatus is a wave with its progress.
type WaveStatus struct {
	Wave
	// Returned counts the VMs that have passed probation on the wave's image.
	Returned int
	// FailedProbation counts the VMs that have failed probation.
	FailedProbation int
	// Stopped is the reason for which the wave was stopped, or empty.
	Stopped string
}

// VMByID returns the VM with the given ID.
func (v *View) VMByID(id string) (VMStatus, bool) {
	i := sort.Search(len(v.VMs), func(i int) bool { return v.VMs[i].ID >= id })
	if i < len(v.VMs) && v.VMs[i].ID == id {
		return v.VMs[i], true
	}
	return VMStatus{}, false
}

// AvailableByPool returns the number of available workers in each pool.
func (v *View) AvailableByPool() map[string]int {
	counts := make(map[string]int, len(v.Pools))
	for i := range v.VMs {
		if v.VMs[i].State.Available() {
			counts[v.VMs[i].Pool]++
		}
	}
	return counts
}

// Available reports whether a VM in this state counts towards a budget.
func (s VMState) Available() bool { return s == VMActive }

// MayHaveRequests reports whether requests may be in progress on a VM in this
// state.
func (s VMState) MayHaveRequests() bool {
	return s == VMActive || s == VMDraining || s == VMProbation
}

// VoidReason is the reason why a record was ignored. It is empty for an applied
// record.
type VoidReason string

// The reasons why a record is void.
const (
	VoidNone        VoidReason = ""
	VoidDuplicate   VoidReason = "duplicate"    // a record with this key or offset was already processed
	VoidStale       VoidReason = "stale"        // the generation, sequence, epoch or incarnation is not current
	VoidNotHolder   VoidReason = "not_holder"   // the writer does not hold the lease
	VoidBudget      VoidReason = "budget"       // the change would breach a service's budget
	VoidInvalid     VoidReason = "invalid"      // the content is not valid
	VoidNotDrained  VoidReason = "not_drained"  // an entry node has not acknowledged the drain
	VoidUnknownItem VoidReason = "unknown_item" // the record names an item that does not exist
	VoidGap         VoidReason = "gap"          // an earlier record is missing, so the record was not applied
)

// Verdict is the outcome of one record: applied, or void with a reason.
type Verdict struct {
	Offset Offset
	Key    string
	// Void is the reason why the record was ignored, or empty if it was
	// applied.
	Void VoidReason
	// Detail describes why the record is void and how to correct it.
	Detail string
}
