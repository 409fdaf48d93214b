// Package fleet is the module of the control state and its decisions. Nothing
// in it does I/O, reads a clock or starts a goroutine.
package fleet
