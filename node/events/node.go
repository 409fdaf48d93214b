package events

// The events of the node as a whole, 500 to 599.
const (
	NodeStarted Number = 500 + iota
	NodeReady
	NodeNotReady
	NodeStopping
	NodeStopped
	PanicContained
	ClientsLetGo
)

var nodeEvents = []Definition{
	{NodeStarted, "node_started", SeverityInfo, "The entry node started.", ""},
	{NodeReady, "node_ready", SeverityInfo, "The node accepts requests.", ""},
	{NodeNotReady, "node_not_ready", SeverityWarning, "The node does not accept requests.", "Check the reason in the detail."},
	{NodeStopping, "node_stopping", SeverityInfo, "The node is stopping; it finishes the requests in progress first.", ""},
	{NodeStopped, "node_stopped", SeverityInfo, "The node has stopped.", ""},
	{PanicContained, "panic_contained", SeverityViolation, "A defect was met while an input was processed; the input was dropped, and shards that it may have damaged are restored from the store.", "Report it with the detail and the logs of the seconds before."},
	{ClientsLetGo, "clients_let_go", SeverityWarning, "Clients were refused or let go because they exceed a limit, are too slow, or hold room that others need; at most one event in 10 s, the outcome has the reason of the last one, the detail the counts so far.", "docs/OPERATIONS.md, Crowds: see which reason grows in wigeonwinch_clients_let_go."},
}
