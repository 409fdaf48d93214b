// Package control runs the control loop of an entry node. The loop replays the
// platform's log into the control state, exchanges records with peers,
// proposes changes of its zone's membership and plans maintenance while this
// node holds the planner's lease.
//
//	loop := control.New(control.Config{Node: "e-1", Zone: "north", Log: log, Peers: mesh})
//	go loop.Run(ctx)
//	view := loop.View()
//	verdict, err := loop.Append(ctx, structs.Record{Publish: &publish})
//
// One goroutine owns the control state. Other goroutines post functions to it
// and read immutable views, so that the request path never waits for the
// control loop.
package control
