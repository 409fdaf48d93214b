// Package intake bounds what clients can make a node hold: connections, headers,
// unread bytes and bodies. Callers whose requests are small and complete keep being
// served beside any number of clients that send much, slowly or nothing.
//
//	gate := intake.NewGate(intake.LimitsFor(memory, descriptors), recorder)
//	port := gate.CallerPort()
//	listener, err := port.Listen(address)
//	err = port.Server(handler).Serve(listener)
//
// A handler reads a body with Gate.Read. All ports of a gate share its budget of bytes.
//
// When a port has its full number of connections, the one that has been incomplete for
// the longest time is closed for the next one.
package intake
