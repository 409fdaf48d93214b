package events

// The events of the forward area, 300 to 399.
var forwardEvents = []Definition{}
