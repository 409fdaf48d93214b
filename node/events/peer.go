package events

// The events of the peer area, 200 to 299.
const (
	PeerConnected Number = 200 + iota
	PeerDisconnected
	PeerSilent
	PeerDialFailed
	PeerRejected
	PeerMessageRefused
	PeerLeaving
)

var peerEvents = []Definition{
	{PeerConnected, "peer_connected", SeverityInfo, "A connection to a peer was established.", ""},
	{PeerDisconnected, "peer_disconnected", SeverityInfo, "A connection to a peer ended.", ""},
	{PeerSilent, "peer_silent", SeverityWarning, "A connection to a peer carried no answer to a ping and was closed.", "Nothing if a new connection follows; otherwise look at the network between the two nodes."},
	{PeerDialFailed, "peer_dial_failed", SeverityWarning, "A connection to a peer could not be established.", "Look at the reason in the error; compare address and key in both nodes' settings."},
	{PeerRejected, "peer_rejected", SeverityWarning, "A connection that came in was refused.", "Look at the reason in the error; compare key and version in both nodes' settings."},
	{PeerMessageRefused, "peer_message_refused", SeverityWarning, "A peer's message was refused without running it.", "If the reason is unknown_method, upgrade this node; if busy, look for what keeps it busy."},
	{PeerLeaving, "peer_leaving", SeverityInfo, "A peer announced that it stops.", ""},
}
