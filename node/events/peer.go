package events

// The events of the peer area, 200 to 299.
var peerEvents = []Definition{}
