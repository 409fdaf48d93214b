package peer

import (
	"context"
	"sync/atomic"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// session is the result of a handshake.
type session struct {
	peer    hello
	version int
	// heard is when a ping last came, on the accepting side.
	heard *atomic.Int64
}

// handshake holds what one side brings to the first messages.
type handshake struct {
	own  hello
	keys keyring
	// expect is the node that the dialing side wants, empty for any.
	expect string
	// admit decides on an authenticated peer, on the accepting side.
	admit func(peer hello) Refusal
}

// dial runs the dialing side: hello, challenge, proof, welcome.
func (h handshake) dial(ctx context.Context, conn *websocket.Conn) (session, error) {
	ownData, err := writeMessage(ctx, conn, h.own)
	if err != nil {
		return session{}, handshakeFailed(h.expect, RefusalNone, err)
	}
	peer, key, err := h.readChallenge(ctx, conn, ownData)
	if err != nil {
		return session{}, err
	}
	version, ok := commonVersion(h.own, peer.hello)
	if !ok {
		return session{}, handshakeFailed(h.expect, RefusalVersion, nil)
	}
	answer := proof{Proof: prove(key, labelDialing, ownData, peer.data)}
	if _, err := writeMessage(ctx, conn, answer); err != nil {
		return session{}, handshakeFailed(h.expect, RefusalNone, err)
	}
	var end welcome
	if _, err := readMessage(ctx, conn, &end); err != nil {
		return session{}, handshakeFailed(h.expect, RefusalNone, err)
	}
	if end.Refusal != RefusalNone {
		return session{}, handshakeFailed(h.expect, end.Refusal, nil)
	}
	return session{peer: peer.hello, version: version}, nil
}

// helloMessage is a hello with the bytes it came in.
type helloMessage struct {
	hello hello
	data  []byte
}

func (h handshake) readChallenge(ctx context.Context, conn *websocket.Conn, ownData []byte) (helloMessage, []byte, error) {
	var none helloMessage
	var c challenge
	if _, err := readMessage(ctx, conn, &c); err != nil {
		return none, nil, handshakeFailed(h.expect, RefusalNone, err)
	}
	if c.Refusal != RefusalNone {
		return none, nil, handshakeFailed(h.expect, c.Refusal, nil)
	}
	key, ok := h.keys.matching(labelAccepting, ownData, c.Hello, c.Proof)
	if !ok {
		return none, nil, handshakeFailed(h.expect, RefusalKey, nil)
	}
	peer, err := decodeHello(c.Hello)
	if err != nil {
		return none, nil, handshakeFailed(h.expect, RefusalMalformed, err)
	}
	if h.expect != "" && peer.Node != h.expect {
		return none, nil, handshakeFailed(h.expect, RefusalWrongNode, errors.Errorf("node %q answered", peer.Node))
	}
	return helloMessage{hello: peer, data: c.Hello}, key, nil
}

// accept runs the accepting side.
func (h handshake) accept(ctx context.Context, conn *websocket.Conn) (session, error) {
	peer, version, err := h.readHello(ctx, conn)
	if err != nil {
		return session{}, err
	}
	ownData, err := encMode.Marshal(h.own)
	if err != nil {
		return session{}, handshakeFailed(peer.hello.Node, RefusalNone, err)
	}
	c := challenge{Hello: ownData, Proof: prove(h.keys[0], labelAccepting, peer.data, ownData)}
	if _, err := writeMessage(ctx, conn, c); err != nil {
		return session{}, handshakeFailed(peer.hello.Node, RefusalNone, err)
	}
	var answer proof
	if _, err := readMessage(ctx, conn, &answer); err != nil {
		return session{}, handshakeFailed(peer.hello.Node, RefusalNone, err)
	}
	refusal := h.judge(peer, ownData, answer)
	if _, err := writeMessage(ctx, conn, welcome{Version: version, Refusal: refusal}); err != nil {
		return session{}, handshakeFailed(peer.hello.Node, RefusalNone, err)
	}
	if refusal != RefusalNone {
		return session{}, handshakeFailed(peer.hello.Node, refusal, nil)
	}
	return session{peer: peer.hello, version: version}, nil
}

func (h handshake) judge(peer helloMessage, ownData []byte, answer proof) Refusal {
	if _, ok := h.keys.matching(labelDialing, peer.data, ownData, answer.Proof); !ok {
		return RefusalKey
	}
	return h.admit(peer.hello)
}

func (h handshake) readHello(ctx context.Context, conn *websocket.Conn) (helloMessage, int, error) {
	var none helloMessage
	data, err := readData(ctx, conn)
	if err != nil {
		return none, 0, handshakeFailed("", RefusalNone, err)
	}
	peer, err := decodeHello(data)
	if err != nil {
		_, _ = writeMessage(ctx, conn, challenge{Refusal: RefusalMalformed})
		return none, 0, handshakeFailed("", RefusalMalformed, err)
	}
	refusal := RefusalNone
	version, ok := commonVersion(h.own, peer)
	if !ok {
		refusal = RefusalVersion
	}
	if peer.Node == h.own.Node {
		refusal = RefusalSelf
	}
	if refusal != RefusalNone {
		_, _ = writeMessage(ctx, conn, challenge{Refusal: refusal})
		return none, 0, handshakeFailed(peer.Node, refusal, nil)
	}
	return helloMessage{hello: peer, data: data}, version, nil
}

func writeMessage(ctx context.Context, conn *websocket.Conn, message any) ([]byte, error) {
	data, err := encMode.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode handshake")
	}
	return data, errors.Wrap(conn.Write(ctx, websocket.MessageBinary, data), "write handshake")
}

func readMessage(ctx context.Context, conn *websocket.Conn, into any) ([]byte, error) {
	data, err := readData(ctx, conn)
	if err != nil {
		return nil, err
	}
	return data, errors.Wrap(decMode.Unmarshal(data, into), "decode handshake")
}

func readData(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read peer message")
	}
	if kind != websocket.MessageBinary {
		return nil, errors.New("a text message arrived: peers send binary messages only")
	}
	return data, nil
}
