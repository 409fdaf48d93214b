package state

import "wigeonwinch/fleet/structs"

// ApplyChecked folds a record as Apply does and lists every invariant that
// this step broke. It costs a view for each record; a node that follows the
// log uses it for every record.
func (s *State) ApplyChecked(offset structs.Offset, rec structs.Record) (structs.Verdict, []Violation) {
	before := s.View()
	verdict := s.Apply(offset, rec)
	list := s.TakeViolations()
	return verdict, append(list, CheckStep(before, s.View(), rec, verdict)...)
}
