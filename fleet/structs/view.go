package structs

import "sort"

// View is an immutable picture of the control state at one log offset. The
// request path and the planner read views; nothing may change one after it
// has been published.
type View struct {
	// Offset is the offset of the next record to fold: every record below it
	// has been taken into account.
	Offset Offset
	// Generation counts the accepted publishes.
	Generation Generation
	// PublishedAt is the offset of the last accepted publish.
	PublishedAt Offset

	Zones    map[string]Zone
	Teams    map[string]Team
	Pools    map[string]Pool
	Services map[string]Service
	Windows  map[string]Window
	Waves    map[string]WaveStatus
	// VMs is sorted by ID.
	VMs []VMStatus
	// Entry is the membership of entry nodes by zone.
	Entry map[string]EntryEpoch
	// Leases is the last lease record by scope.
	Leases map[string]Lease
}

// VMStatus is a VM as the fold sees it.
type VMStatus struct {
	VM
	// Pool is the pool the VM belongs to now; it shadows the declared one.
	Pool string
	// State is where the VM stands in its life.
	State VMState
	// Sequence counts the VM's applied transitions and moves.
	Sequence uint64
	// Image is the image the VM was last seen to run; empty means the image
	// its pool had when the VM was declared.
	Image string
	// Wave is the wave that took the VM out, if any.
	Wave string
	// Acks are the entry nodes that acknowledged the current drain, sorted.
	Acks []string
	// Removed says that the manifest no longer lists the VM; it is dropped
	// once drained.
	Removed bool
}

// WaveStatus is a wave and how far it has come.
type WaveStatus struct {
	Wave
	// Returned counts the VMs that came back on the image and passed.
	Returned int
	// FailedProbation counts the VMs that came back and failed.
	FailedProbation int
	// Stopped is the reason the wave was ended early, or empty.
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

// AvailableByPool counts the workers of each pool that count for budgets.
func (v *View) AvailableByPool() map[string]int {
	counts := make(map[string]int, len(v.Pools))
	for i := range v.VMs {
		if v.VMs[i].State.Available() {
			counts[v.VMs[i].Pool]++
		}
	}
	return counts
}

// Available says whether a VM in this state counts for a budget.
func (s VMState) Available() bool { return s == VMActive }

// MayHaveWork says whether requests may be in progress on a VM in this state.
func (s VMState) MayHaveWork() bool {
	return s == VMActive || s == VMDraining || s == VMProbation
}

// Void is the typed reason why the fold ignored a record.
type Void string

// The reasons why a record can be void.
const (
	VoidNone        Void = ""
	VoidDuplicate   Void = "duplicate"    // the key was applied before
	VoidStale       Void = "stale"        // it names an old generation, sequence or epoch
	VoidNotHolder   Void = "not_holder"   // the writer does not hold the lease
	VoidBudget      Void = "budget"       // it would break a service's budget
	VoidInvalid     Void = "invalid"      // its content is not valid
	VoidNotDrained  Void = "not_drained"  // an entry node has not acknowledged
	VoidUnknownItem Void = "unknown_item" // it names something that does not exist
	VoidGap         Void = "gap"          // an earlier record is missing, so nothing was folded
)

// Verdict is what the fold made of one record.
type Verdict struct {
	Offset Offset
	Key    string
	// Void is empty when the record was applied.
	Void Void
	// Detail says what was wrong and how to remedy it.
	Detail string
}
