// Package forward implements the request path of an entry node. It accepts
// callers' requests, claims the IDs of non-repeatable requests, queues the
// requests, and forwards them to workers of its zone or to an entry node of
// another zone. Every request ends with a complete answer or with the outcome
// "not-run" or "unknown".
//
//	server := forward.New(forward.Config{
//		Node: "entry-1", Zone: "a", Fleet: control, Peers: mesh, Events: recorder,
//		PeerKey: key, Limits: forward.Defaults(),
//	})
//	go server.Run(ctx)
//	http.Serve(callerListener, server.Handler())
package forward
