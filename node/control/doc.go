// Package control keeps a node's control state: it follows the platform's
// log, passes records on between peers, takes part in the zone's membership
// and, while it holds the planner's lease, plans maintenance.
//
//	loop := control.New(control.Config{Node: "e-1", Zone: "north", Log: log, Peers: mesh})
//	go loop.Run(ctx)
//	view := loop.View()
//	verdict, err := loop.Append(ctx, structs.Record{Publish: &publish})
//
// One goroutine owns the control state. All others send it functions to run
// and read immutable views, so that the request path never waits for control.
package control
