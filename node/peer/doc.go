// Package peer connects entry nodes to each other. Nodes exchange CBOR
// messages over WebSocket. The handshake authenticates both sides with a
// shared key and negotiates the protocol version.
//
//	mesh := peer.New(peer.Config{Node: "e-1", Zone: "north", Key: key, Seeds: seeds})
//	mesh.Handle(methodEcho, func(ctx context.Context, from string, body []byte) ([]byte, error) {
//		return body, nil
//	})
//	http.Handle(peer.Path, mesh.Handler())
//	go mesh.Run(ctx)
//	reply, err := mesh.Call(ctx, "e-2", methodEcho, []byte("hello"))
//
// Two nodes share one connection. Nodes of the same zone stay connected to
// each other. Between zones only a few connections stay open; a call to any
// other node dials it on demand, and the connection is closed once it has been
// idle for Limits.IdleTimeout.
package peer
