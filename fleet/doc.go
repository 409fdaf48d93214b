// Package fleet is the root of the module that holds the control state and the
// decisions made on it. No package of the module does I/O, reads a clock or
// starts a goroutine.
package fleet
