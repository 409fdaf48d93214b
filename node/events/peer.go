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
	{PeerSilent, "peer_silent", SeverityWarning, "A connection to a peer was closed because a ping was not answered in time.", "None if a new connection follows; otherwise check the network between the two nodes."},
	{PeerDialFailed, "peer_dial_failed", SeverityWarning, "A connection to a peer could not be established.", "Check the reason in the error; compare address and key in both nodes' settings."},
	{PeerRejected, "peer_rejected", SeverityWarning, "An incoming peer connection was rejected.", "Check the reason in the error; compare the keys in both nodes' settings and the nodes' versions."},
	{PeerMessageRefused, "peer_message_refused", SeverityWarning, "A message from a peer was refused without being processed.", "If the reason is unknown_method, upgrade this node; if the reason is busy, find the cause of the load."},
	{PeerLeaving, "peer_leaving", SeverityInfo, "A peer announced that it is stopping.", ""},
}
