package state

import "wigeonwinch/fleet/structs"

// ApplyChecked applies a record like Apply and returns every invariant
// violation of this step. It creates one view per record. A node that follows
// the log uses it for every record.
func (s *State) ApplyChecked(offset structs.Offset, rec structs.Record) (structs.Verdict, []Violation) {
	before := s.View()
	verdict := s.Apply(offset, rec)
	list := s.TakeViolations()
	return verdict, append(list, CheckStep(before, s.View(), rec, verdict)...)
}
