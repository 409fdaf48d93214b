// Package forward is the request path of an entry node: it takes callers'
// requests, claims the ones that are not repeatable, queues them, sends them
// to workers or to an entry node of another zone, and ends every one of them
// with a whole answer, "not-run" or "unknown".
//
//	server := forward.New(forward.Config{
//		Node: "entry-1", Zone: "a", Fleet: control, Peers: mesh, Events: recorder,
//		PeerKey: key, Limits: forward.Defaults(),
//	})
//	go server.Run(ctx)
//	http.Serve(callerListener, server.Handler())
package forward
