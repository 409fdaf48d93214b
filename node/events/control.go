package events

// The events of the control area, 100 to 199.
var controlEvents = []Definition{}
