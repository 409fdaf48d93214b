// Package peer connects entry nodes with each other: CBOR messages over
// WebSocket, authenticated by a shared key and versioned from the first
// message.
//
//	mesh := peer.New(peer.Config{Node: "e-1", Zone: "north", Key: key, Seeds: seeds})
//	mesh.Handle(methodEcho, func(ctx context.Context, from string, body []byte) ([]byte, error) {
//		return body, nil
//	})
//	http.Handle(peer.Path, mesh.Handler())
//	go mesh.Run(ctx)
//	reply, err := mesh.Call(ctx, "e-2", methodEcho, []byte("hello"))
//
// A pair of nodes shares one connection. Nodes of one zone stay connected to
// each other; between zones a few connections stay open, and a call to any
// other node dials it and closes the connection when it has been idle.
package peer
