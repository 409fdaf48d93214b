package events

// The events of the job area, 600 to 699.
const (
	JobAccepted Number = 600 + iota
	JobRefused
	JobCancelled
	JobFinal
	RunPlaced
	RunStartAnswered
	RunEnded
	RunStopOrdered
	RunSettled
	RunAdopted
	RunStray
	WorkerChanged
	WorkerPollFailed
	OwnerDeposed
	RecordUnwritable
	RunPaced
	JobInvariantBroken
	JobDecision
	StoreLost
	StoreBack
	NodeSeen
	ShardTaken
	ShardLost
	ShardReleased
	TakeoverFailed
	RecordUnreadable
	JobConfigInForce
	WaveSeen
	WaveDone
	VMAct
	VMActFailed
	RequestAnswered
	RequestPassedOn
	LogLinesDropped
	FleetPlan
	AdviceGiven
	AdviceFailed
	PoolLoad
	SettingsReloaded
)

var jobEvents = []Definition{
	{JobAccepted, "job_accepted", SeverityInfo, "A job was admitted; its caller is told once the store has it.", ""},
	{JobRefused, "job_refused", SeverityInfo, "A job was turned away and never runs unless it is submitted again; the outcome is the reason.", "too_much_ahead: the pool is full; no_worker_can_hold_it: change the job; store_away: look at the store."},
	{JobCancelled, "job_cancelled", SeverityInfo, "A caller cancelled a job.", ""},
	{JobFinal, "job_final", SeverityInfo, "A job ended; the outcome is its state.", ""},
	{RunPlaced, "run_placed", SeverityInfo, "A task got a worker; its start is ordered once the store has the placement.", ""},
	{RunStartAnswered, "run_start_answered", SeverityInfo, "A worker answered a start, or did not.", ""},
	{RunEnded, "run_ended", SeverityInfo, "A worker listed the end of a run; the outcome says how.", ""},
	{RunStopOrdered, "run_stop_ordered", SeverityInfo, "A run is to be stopped; the outcome says why.", ""},
	{RunSettled, "run_settled", SeverityInfo, "A run without a listed end certainly does not run; the outcome says how that is known.", ""},
	{RunAdopted, "run_adopted", SeverityInfo, "A run of an earlier owner was taken over.", ""},
	{RunStray, "run_stray", SeverityWarning, "A worker lists a run that is not to be there; it is stopped.", ""},
	{WorkerChanged, "worker_changed", SeverityInfo, "What is known of a worker changed; the outcome says how.", ""},
	{WorkerPollFailed, "worker_poll_failed", SeverityWarning, "A worker did not answer a poll.", "Look at the worker and the links to its zone."},
	{OwnerDeposed, "owner_deposed", SeverityWarning, "A worker obeys a newer owner of the shard.", ""},
	{RecordUnwritable, "record_unwritable", SeverityError, "A job's record can't be encoded.", "Report it as a defect with the job."},
	{RunPaced, "run_paced", SeverityInfo, "A filler task was slowed or sped up beside serving tasks.", ""},
	{JobInvariantBroken, "job_invariant_broken", SeverityViolation, "An act was refused because it would have broken a rule of jobs.", "Report it with the logs of all nodes."},
	{JobDecision, "job_decision", SeverityInfo, "Another decision about a job.", ""},
	{StoreLost, "store_lost", SeverityWarning, "Calls to the store fail.", "Look at the store; nothing new is accepted that can't be stored."},
	{StoreBack, "store_back", SeverityInfo, "Calls to the store succeed again.", ""},
	{NodeSeen, "node_seen", SeverityInfo, "Another entry node's heartbeat was read for the first time.", ""},
	{ShardTaken, "shard_taken", SeverityInfo, "This node owns the shard now.", ""},
	{ShardLost, "shard_lost", SeverityWarning, "This node no longer owns the shard.", ""},
	{ShardReleased, "shard_released", SeverityInfo, "This node gave the shard up because it stops.", ""},
	{TakeoverFailed, "takeover_failed", SeverityWarning, "A shard could not be taken over; it is tried again.", "Look at the error."},
	{RecordUnreadable, "record_unreadable", SeverityWarning, "A record in the store can't be used.", "Look who wrote it."},
	{JobConfigInForce, "job_config_in_force", SeverityInfo, "A newer configuration of queues is in force on this node.", ""},
	{WaveSeen, "wave_seen", SeverityInfo, "The operator asked for a maintenance wave.", ""},
	{WaveDone, "wave_done", SeverityInfo, "All VMs of a wave have begun their maintenance.", ""},
	{VMAct, "vm_act", SeverityInfo, "A VM was moved or its maintenance begun.", ""},
	{VMActFailed, "vm_act_failed", SeverityWarning, "An act on a VM failed; it is decided anew.", ""},
	{RequestAnswered, "request_answered", SeverityInfo, "A caller's request was answered; the outcome is what it was told.", ""},
	{RequestPassedOn, "request_passed_on", SeverityInfo, "A request could not be passed on to its shard's owner; the outcome says why.", ""},
	{LogLinesDropped, "log_lines_dropped", SeverityWarning, "Log lines were left out because the output did not take them.", "Read the log faster."},
	{SettingsReloaded, "settings_reloaded", SeverityInfo, "The settings file was read again; the outcome says whether it changed.", "changed: restart the node when it suits."},
	{PoolLoad, "pool_load", SeverityInfo, "A pool's load as the fleet duty sees it.", ""},
	{FleetPlan, "fleet_plan", SeverityInfo, "The plan for moves and maintenance changed.", ""},
	{AdviceGiven, "advice", SeverityInfo, "The service that permits placements was asked, or answered; the outcome says which.", ""},
	{AdviceFailed, "advice_failed", SeverityWarning, "The service that permits placements gave no answer; it is asked again.", "Look at the service; queues that need its permits wait."},
}
