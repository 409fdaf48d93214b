package events

// The events of the node as a whole, 500 to 599.
const (
	NodeStarted Number = 500 + iota
	NodeReady
	NodeNotReady
	NodeStopping
	NodeStopped
)

var nodeEvents = []Definition{
	{NodeStarted, "node_started", SeverityInfo, "The entry node started.", ""},
	{NodeReady, "node_ready", SeverityInfo, "The node takes requests.", ""},
	{NodeNotReady, "node_not_ready", SeverityWarning, "The node takes no requests.", "Look at the reason in the detail field."},
	{NodeStopping, "node_stopping", SeverityInfo, "The node finishes what is in progress and stops.", ""},
	{NodeStopped, "node_stopped", SeverityInfo, "The node has stopped.", ""},
}
