package events

// The events of the node as a whole, 500 to 599.
const (
	NodeStarted Number = 500 + iota
	NodeReady
	NodeNotReady
	NodeStopping
	NodeStopped
	PanicContained
)

var nodeEvents = []Definition{
	{NodeStarted, "node_started", SeverityInfo, "The entry node started.", ""},
	{NodeReady, "node_ready", SeverityInfo, "The node accepts requests.", ""},
	{NodeNotReady, "node_not_ready", SeverityWarning, "The node does not accept requests.", "Check the reason in the detail."},
	{NodeStopping, "node_stopping", SeverityInfo, "The node is stopping; it finishes the requests in progress first.", ""},
	{NodeStopped, "node_stopped", SeverityInfo, "The node has stopped.", ""},
	{PanicContained, "panic_contained", SeverityViolation, "A defect was met while an input was processed; the input was dropped, and shards that it may have damaged are restored from the store.", "Report it with the detail and the logs of the seconds before."},
}
