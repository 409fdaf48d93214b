// Package state folds the records of the platform's log into the control
// state of the fleet.
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
// The fold is deterministic: equal records at equal offsets give equal states
// on every node. It checks each record against the state it meets, whoever
// wrote it, and ignores a record that is stale, that its writer had no right
// to write or that would break a rule of the fleet. The package does no I/O
// and reads no clock. A State is not safe for concurrent use; a View is.
package state
