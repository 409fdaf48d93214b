// Package state applies the records of the platform's log to the control state
// of the fleet.
//
//	st := state.New()
//	for _, entry := range batch.Entries {
//		verdict := st.ApplyEncoded(entry.Offset, entry.Data)
//		if verdict.Void != structs.VoidNone {
//			log.Warn(verdict.Detail)
//		}
//	}
//	view := st.View()
//
// State is a deterministic state machine: applying equal records at equal
// offsets yields equal states on every node. Each record is checked against the
// current state, regardless of its writer. A record is void, and ignored, if it
// is stale, if its writer was not authorized to write it, or if it would
// violate a rule of the fleet. The package does no I/O and reads no clock. A
// State is not safe for concurrent use; a View is.
package state
