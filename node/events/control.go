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
	VMDrainAcknowledged
	WaveStopped
)

var controlEvents = []Definition{
	{ConfigInForce, "config_in_force", SeverityInfo, "A newer configuration is in force on this node.", ""},
	{RecordVoid, "record_void", SeverityInfo, "A record of the log was void and was ignored; the detail has the reason.", ""},
	{LogLost, "log_lost", SeverityWarning, "The platform's log cannot be read.", "Check the platform; the node continues with its current state and with records that peers relay."},
	{LogBack, "log_back", SeverityInfo, "The platform's log can be read again.", ""},
	{LogBehind, "log_behind", SeverityError, "The tail of the log is before records that this node has already applied.", "Check whether the platform's log lost records; the node keeps the newer state."},
	{LogOvertaken, "log_overtaken", SeverityWarning, "The next record was trimmed from the log; the node restores a newer state from a peer or a snapshot.", ""},
	{LogUncovered, "log_uncovered", SeverityError, "The log contains neither the next record nor a complete snapshot.", "Increase the retention of the log; a node without a state fetches it from a peer, or publish the manifest again."},
	{StateAdopted, "state_adopted", SeverityInfo, "The node adopted a newer state from a snapshot or a peer.", ""},
	{AppendFailed, "append_failed", SeverityWarning, "A record could not be queued for the log.", "Check the error; the decision is made again later."},
	{EntryEpochInForce, "entry_epoch_in_force", SeverityInfo, "A new entry epoch is in force in the zone.", ""},
	{MembershipDecided, "membership_decided", SeverityInfo, "The node made a decision on its zone's membership; the detail has the decision.", "If the detail is superseded, stop the older process; if undeclared, add the zone to the manifest."},
	{LeaseHeld, "lease_held", SeverityInfo, "This node now holds the planner's lease.", ""},
	{LeaseLost, "lease_lost", SeverityInfo, "This node no longer holds the planner's lease.", ""},
	{ActDone, "act_done", SeverityInfo, "The platform accepted an action on a worker.", ""},
	{ActFailed, "act_failed", SeverityWarning, "The platform did not accept an action on a worker.", "Check the error; the planner requests the action again."},
	{ActFenced, "act_fenced", SeverityWarning, "The platform refused an action because the lease has a newer holder.", ""},
	{ActWithheld, "act_withheld", SeverityInfo, "An action was not executed because the lease had expired or the VM was no longer at that step.", ""},
	{ActDropped, "act_dropped", SeverityWarning, "An action was dropped because too many actions are queued; the planner requests it again.", "Check whether the platform responds slowly."},
	{SnapshotAppended, "snapshot_appended", SeverityInfo, "A snapshot of the control state was queued for the log.", ""},
	{SnapshotFailed, "snapshot_failed", SeverityError, "A snapshot of the control state could not be created.", "Check the error."},
	{ControlReady, "control_ready", SeverityInfo, "The control state is recent enough to accept requests.", ""},
	{ControlNotReady, "control_not_ready", SeverityWarning, "The control state does not allow the node to accept requests; the detail has the reason.", "Check the detail."},
	{ControlMessageBad, "control_message_bad", SeverityWarning, "A control message from a peer was invalid or could not be processed.", "Check the error; compare the versions of the two nodes."},
	{ControlInvariantBroken, "control_invariant_broken", SeverityViolation, "The control loop refused an operation that would have violated an invariant.", "Report it with the time lines of all nodes."},
	{FleetInvariantBroken, "fleet_invariant_broken", SeverityViolation, "The control state violates an invariant of the fleet.", "Report it with the log since the last snapshot."},
	{VMState, "vm_state", SeverityInfo, "A VM entered the state given in the detail.", ""},
	{VMMoved, "vm_moved", SeverityInfo, "A VM was moved to another pool.", ""},
	{VMDrainAcknowledged, "vm_drain_acknowledged", SeverityInfo, "The entry node in the peer field sends no more requests to the VM and has none in progress on it.", ""},
	{WaveStopped, "wave_stopped", SeverityWarning, "A wave was stopped before it was complete.", "Fix the image and publish the wave under a new name."},
}
