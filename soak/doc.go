// Package soak runs the real program as separate processes against stand-ins of
// the users' platform, injects faults from outside the processes, and checks the
// platform's promises from what clients and workers see. All random choices come
// from one seed.
package soak
