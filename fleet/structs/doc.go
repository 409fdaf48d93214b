// Package structs defines the types shared by all other packages: the manifest
// that operators publish, the records of the platform's log, and the lifecycle
// states of a VM.
//
// The package only encodes and decodes records and looks up items:
//
//	rec := structs.Record{Move: &structs.Move{VM: "w-1", To: "intake"}}
//	data, err := structs.EncodeRecord(rec)
//	back, err := structs.DecodeRecord(data)
package structs
