package events

// Catalogue returns the definitions of all events, in no particular order. Each
// area has its own file and its own range of numbers.
func Catalogue() []Definition {
	var all []Definition
	all = append(all, nodeEvents...)
	all = append(all, jobEvents...)
	all = append(all, controlEvents...)
	all = append(all, peerEvents...)
	all = append(all, forwardEvents...)
	return all
}
