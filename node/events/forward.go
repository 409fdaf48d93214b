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
	{ForwardViolation, "forward_violation", SeverityViolation, "An invariant of the request path was broken; the act was not done.", "Report the event with the time line around it."},
	{ForwardConnectFailed, "forward_connect_failed", SeverityWarning, "No connection to a worker or peer could be opened.", "Check the VM's address and whether it runs."},
	{ForwardConnectionSuspect, "forward_connection_suspect", SeverityWarning, "A connection to a worker failed in mid-flight; the worker gets fresh connections for a while.", "Look for a device that loses track of connections when many workers show it."},
	{ForwardAnswerCrossed, "forward_answer_crossed", SeverityError, "An answer carried another request's id and was dropped.", "Check that the backend server echoes Wigeonwinch-Request-Id."},
	{ForwardStreamCut, "forward_stream_cut", SeverityWarning, "A long answer was cut by the worker, and the caller's connection was closed.", ""},
	{ForwardWorkerLeaving, "forward_worker_leaving", SeverityInfo, "A worker leaves: it gets nothing new from this node.", ""},
	{ForwardHandoverDone, "forward_handover_done", SeverityInfo, "The claims of the former homes are taken over; this node grants claims again.", ""},
	{ForwardPeerMessageInvalid, "forward_peer_message_invalid", SeverityWarning, "A peer sent a message that cannot be read; it was dropped.", "Check that the nodes run versions that fit together."},
	{ForwardSent, "forward_sent", SeverityDebug, "A request was sent to a worker or relayed to a peer.", ""},
	{ForwardEnded, "forward_ended", SeverityDebug, "A request got its end; the detail has the outcome and the reason.", ""},
}
