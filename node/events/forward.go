package events

// The events of the forward area, 300 to 399.
const (
	ForwardViolation Number = 300 + iota
	ForwardConnectFailed
	ForwardConnectionSuspect
	ForwardAnswerCrossed
	ForwardStreamCut
	ForwardWorkerLeaving
	ForwardHandoverDone
	ForwardPeerMessageInvalid
	ForwardSent
	ForwardEnded
)

var forwardEvents = []Definition{
	{ForwardViolation, "forward_violation", SeverityViolation, "An invariant of the request path would have been violated; the action was not executed.", "Report the event with the time line around it."},
	{ForwardConnectFailed, "forward_connect_failed", SeverityWarning, "No connection to a worker or peer could be opened.", "Check the VM's address and whether it runs."},
	{ForwardConnectionSuspect, "forward_connection_suspect", SeverityWarning, "A connection to a worker failed while a request was in flight; for a while, only new connections to the worker are used.", "If many workers are affected, check for a network device that drops connection state."},
	{ForwardAnswerCrossed, "forward_answer_crossed", SeverityError, "An answer carried the id of another request and was dropped.", "Check that the backend server echoes Wigeonwinch-Request-Id."},
	{ForwardStreamCut, "forward_stream_cut", SeverityWarning, "A worker ended a streamed answer early; the caller's connection was closed.", ""},
	{ForwardWorkerLeaving, "forward_worker_leaving", SeverityInfo, "A worker is leaving; this node sends no new requests to it.", ""},
	{ForwardHandoverDone, "forward_handover_done", SeverityInfo, "This node has taken over the claims of the previous home nodes and grants claims again.", ""},
	{ForwardPeerMessageInvalid, "forward_peer_message_invalid", SeverityWarning, "A message from a peer could not be decoded and was dropped.", "Check that the nodes run compatible versions."},
	{ForwardSent, "forward_sent", SeverityDebug, "A request was sent to a worker or relayed to a peer.", ""},
	{ForwardEnded, "forward_ended", SeverityDebug, "A request ended; the detail has the outcome and the reason.", ""},
}
