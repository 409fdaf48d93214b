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
	// lastPingNanos is when the accepting side received the last ping, in
	// nanoseconds since the Unix epoch. It is nil on the dialing side.
	lastPingNanos *atomic.Int64
}

// handshake holds the parameters of one side of the handshake.
type handshake struct {
	own  hello
	keys keyring
	// expectedNode is the name of the dialed node. Empty accepts any node.
	expectedNode string
	// admit decides whether the accepting side takes an authenticated peer.
	admit func(peer hello) Refusal
}

// dial runs the dialing side: it sends a hello, reads the challenge, sends the
// proof and reads the welcome.
func (h handshake) dial(ctx context.Context, conn *websocket.Conn) (session, error) {
	ownHello, err := writeMessage(ctx, conn, h.own)
	if err != nil {
		return session{}, handshakeFailed(h.expectedNode, RefusalNone, err)
	}
	peer, key, err := h.readChallenge(ctx, conn, ownHello)
	if err != nil {
		return session{}, err
	}
	version, ok := commonVersion(h.own, peer.hello)
	if !ok {
		return session{}, handshakeFailed(h.expectedNode, RefusalVersion, nil)
	}
	answer := proof{Proof: computeProof(key, labelDialing, ownHello, peer.encoded)}
	if _, err := writeMessage(ctx, conn, answer); err != nil {
		return session{}, handshakeFailed(h.expectedNode, RefusalNone, err)
	}
	var result welcome
	if _, err := readMessage(ctx, conn, &result); err != nil {
		return session{}, handshakeFailed(h.expectedNode, RefusalNone, err)
	}
	if result.Refusal != RefusalNone {
		return session{}, handshakeFailed(h.expectedNode, result.Refusal, nil)
	}
	return session{peer: peer.hello, version: version}, nil
}

// helloMessage is a received hello with its encoding, over which the proofs are
// computed.
type helloMessage struct {
	hello   hello
	encoded []byte
}

func (h handshake) readChallenge(ctx context.Context, conn *websocket.Conn, ownHello []byte) (helloMessage, []byte, error) {
	var empty helloMessage
	var c challenge
	if _, err := readMessage(ctx, conn, &c); err != nil {
		return empty, nil, handshakeFailed(h.expectedNode, RefusalNone, err)
	}
	if c.Refusal != RefusalNone {
		return empty, nil, handshakeFailed(h.expectedNode, c.Refusal, nil)
	}
	key, ok := h.keys.verify(labelAccepting, ownHello, c.Hello, c.Proof)
	if !ok {
		return empty, nil, handshakeFailed(h.expectedNode, RefusalKey, nil)
	}
	peer, err := decodeHello(c.Hello)
	if err != nil {
		return empty, nil, handshakeFailed(h.expectedNode, RefusalMalformed, err)
	}
	if h.expectedNode != "" && peer.Node != h.expectedNode {
		return empty, nil, handshakeFailed(h.expectedNode, RefusalWrongNode, errors.Errorf("connected to node %q instead", peer.Node))
	}
	return helloMessage{hello: peer, encoded: c.Hello}, key, nil
}

// accept runs the accepting side: it reads the hello, sends the challenge, reads
// the proof and sends the welcome.
func (h handshake) accept(ctx context.Context, conn *websocket.Conn) (session, error) {
	peer, version, err := h.readHello(ctx, conn)
	if err != nil {
		return session{}, err
	}
	ownHello, err := encMode.Marshal(h.own)
	if err != nil {
		return session{}, handshakeFailed(peer.hello.Node, RefusalNone, err)
	}
	c := challenge{Hello: ownHello, Proof: computeProof(h.keys[0], labelAccepting, peer.encoded, ownHello)}
	if _, err := writeMessage(ctx, conn, c); err != nil {
		return session{}, handshakeFailed(peer.hello.Node, RefusalNone, err)
	}
	var answer proof
	if _, err := readMessage(ctx, conn, &answer); err != nil {
		return session{}, handshakeFailed(peer.hello.Node, RefusalNone, err)
	}
	refusal := h.authenticate(peer, ownHello, answer)
	if _, err := writeMessage(ctx, conn, welcome{Version: version, Refusal: refusal}); err != nil {
		return session{}, handshakeFailed(peer.hello.Node, RefusalNone, err)
	}
	if refusal != RefusalNone {
		return session{}, handshakeFailed(peer.hello.Node, refusal, nil)
	}
	return session{peer: peer.hello, version: version}, nil
}

func (h handshake) authenticate(peer helloMessage, ownHello []byte, answer proof) Refusal {
	if _, ok := h.keys.verify(labelDialing, peer.encoded, ownHello, answer.Proof); !ok {
		return RefusalKey
	}
	return h.admit(peer.hello)
}

func (h handshake) readHello(ctx context.Context, conn *websocket.Conn) (helloMessage, int, error) {
	var empty helloMessage
	data, err := readBinaryMessage(ctx, conn)
	if err != nil {
		return empty, 0, handshakeFailed("", RefusalNone, err)
	}
	peer, err := decodeHello(data)
	if err != nil {
		_, _ = writeMessage(ctx, conn, challenge{Refusal: RefusalMalformed})
		return empty, 0, handshakeFailed("", RefusalMalformed, err)
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
		return empty, 0, handshakeFailed(peer.Node, refusal, nil)
	}
	return helloMessage{hello: peer, encoded: data}, version, nil
}

func writeMessage(ctx context.Context, conn *websocket.Conn, message any) ([]byte, error) {
	data, err := encMode.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode handshake")
	}
	return data, errors.Wrap(conn.Write(ctx, websocket.MessageBinary, data), "write handshake")
}

func readMessage(ctx context.Context, conn *websocket.Conn, into any) ([]byte, error) {
	data, err := readBinaryMessage(ctx, conn)
	if err != nil {
		return nil, err
	}
	return data, errors.Wrap(decMode.Unmarshal(data, into), "decode handshake")
}

func readBinaryMessage(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read peer message")
	}
	if kind != websocket.MessageBinary {
		return nil, errors.New("received a text message, peers must send binary messages")
	}
	return data, nil
}
