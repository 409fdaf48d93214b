// Package structs holds the types that every other package shares: the
// manifest an operator publishes, the records kept in the platform's log and
// the states a VM passes through.
//
// The package has no behaviour beyond encoding and small lookups:
//
//	rec := structs.Record{Move: &structs.Move{VM: "w-1", To: "intake"}}
//	data, err := structs.EncodeRecord(rec)
//	back, err := structs.DecodeRecord(data)
package structs
