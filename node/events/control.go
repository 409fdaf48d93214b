package events

// The events of the control area, 100 to 199.
const (
	ConfigInForce Number = 100 + iota
	RecordVoid
	LogLost
	LogBack
	LogBehind
	LogOvertaken
	LogUncovered
	StateAdopted
	AppendFailed
	EntryEpochInForce
	MembershipDecided
	LeaseHeld
	LeaseLost
	ActDone
	ActFailed
	ActFenced
	ActWithheld
	ActDropped
	SnapshotAppended
	SnapshotFailed
	ControlReady
	ControlNotReady
	ControlMessageBad
	ControlInvariantBroken
	FleetInvariantBroken
	VMState
	VMMoved
	VMDrainAcked
	WaveStopped
)

var controlEvents = []Definition{
	{ConfigInForce, "config_in_force", SeverityInfo, "A newer configuration is in force on this node.", ""},
	{RecordVoid, "record_void", SeverityInfo, "A record of the log was ignored; the detail says why.", ""},
	{LogLost, "log_lost", SeverityWarning, "The platform's log can't be read.", "Look at the platform; the node goes on with what it knows and with what peers pass on."},
	{LogBack, "log_back", SeverityInfo, "The platform's log can be read again.", ""},
	{LogBehind, "log_behind", SeverityError, "The log answered with a tail before records that were folded.", "Look whether the platform's log lost records; the node keeps the newer state."},
	{LogOvertaken, "log_overtaken", SeverityWarning, "The log no longer keeps the next record; the node takes a snapshot.", ""},
	{LogUncovered, "log_uncovered", SeverityError, "The log keeps neither the next record nor a whole snapshot.", "Keep records longer; a node without a state gets one from a peer, or publish the manifest again."},
	{StateAdopted, "state_adopted", SeverityInfo, "The node took over a newer state from a snapshot or a peer.", ""},
	{AppendFailed, "append_failed", SeverityWarning, "A record could not be queued for the log.", "Look at the error; the decision is made again later."},
	{EntryEpochInForce, "entry_epoch_in_force", SeverityInfo, "The zone has a new entry epoch.", ""},
	{MembershipDecided, "membership_decided", SeverityInfo, "The node decided about its zone's membership; the detail says what.", "If the detail is superseded, stop the older process; if undeclared, add the zone to the manifest."},
	{LeaseHeld, "lease_held", SeverityInfo, "This node holds the planner's lease.", ""},
	{LeaseLost, "lease_lost", SeverityInfo, "This node no longer holds the planner's lease.", ""},
	{ActDone, "act_done", SeverityInfo, "The platform took an act on a worker.", ""},
	{ActFailed, "act_failed", SeverityWarning, "The platform did not take an act on a worker.", "Look at the error; the planner asks again."},
	{ActFenced, "act_fenced", SeverityWarning, "The platform refused an act because the lease has a newer holder.", ""},
	{ActWithheld, "act_withheld", SeverityInfo, "An act was not carried out because the lease or the VM's step had passed.", ""},
	{ActDropped, "act_dropped", SeverityWarning, "Too many acts wait; the planner asks again.", "Look whether the platform answers slowly."},
	{SnapshotAppended, "snapshot_appended", SeverityInfo, "A snapshot of the control state was handed to the log.", ""},
	{SnapshotFailed, "snapshot_failed", SeverityError, "A snapshot of the control state could not be made.", "Look at the error."},
	{ControlReady, "control_ready", SeverityInfo, "The control state is recent enough to take requests.", ""},
	{ControlNotReady, "control_not_ready", SeverityWarning, "The control state does not allow taking requests; the detail says why.", "Look at the detail."},
	{ControlMessageBad, "control_message_bad", SeverityWarning, "A peer's control message could not be used.", "Look at the error; compare the versions of the two nodes."},
	{ControlInvariantBroken, "control_invariant_broken", SeverityViolation, "The control loop refused something that would break an invariant.", "Report it with the time lines of all nodes."},
	{FleetInvariantBroken, "fleet_invariant_broken", SeverityViolation, "The control state breaks a rule of the fleet.", "Report it with the log from the last snapshot on."},
	{VMState, "vm_state", SeverityInfo, "A VM entered the state in the detail.", ""},
	{VMMoved, "vm_moved", SeverityInfo, "A VM belongs to another pool now.", ""},
	{VMDrainAcked, "vm_drain_acknowledged", SeverityInfo, "The entry node in the peer field sends nothing more to the VM and has nothing in progress on it.", ""},
	{WaveStopped, "wave_stopped", SeverityWarning, "A wave was ended early.", "Mend the image and publish the wave under a new name."},
}
