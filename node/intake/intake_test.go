package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/node/events"
)

// serve starts a server that answers with the length of the body, and with the first
// header that Gate.Read leaves to it.
func serve(t *testing.T, limits Limits) (gate *Gate, dial func() (net.Conn, *bufio.Reader)) {
	t.Helper()
	gate = NewGate(limits, events.Discard{})
	port := gate.CallerPort()
	l, err := port.Listen("127.0.0.1:0")
	require.NoError(t, err)
	server := port.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/unread":
			w.WriteHeader(http.StatusUnauthorized)
			return
		case "/slow":
			time.Sleep(3 * patience)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		body, refusal := gate.Read(w, r, 0)
		if refusal != nil {
			w.WriteHeader(refusal.Status)
			return
		}
		defer body.Release()
		_, _ = fmt.Fprint(w, len(body.Bytes))
	}))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return gate, func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn)
	}
}

func ask(t *testing.T, conn net.Conn, from *bufio.Reader, request string) (status int, text string) {
	t.Helper()
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	return answer(t, from)
}

func answer(t *testing.T, from *bufio.Reader) (status int, text string) {
	t.Helper()
	res, err := http.ReadResponse(from, nil)
	require.NoError(t, err)
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, string(data)
}

func announced(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

func chunked(chunks ...string) string {
	text := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range chunks {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(c), c)
	}
	return text
}

// Whole bodies of all lengths are read in calm, over one connection.
func TestWholeBodiesAreRead(t *testing.T) {
	gate, dial := serve(t, LimitsFor(0, 0))
	conn, from := dial()
	for _, n := range []int{0, 1, firstPartBytes - 1, firstPartBytes, firstPartBytes + 1, 100_000, bodyBytes} {
		body := strings.Repeat("x", n)
		for _, request := range []string{announced("/", n, body), chunked(strings.Fields(body)...) + "0\r\n\r\n"} {
			status, text := ask(t, conn, from, request)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, fmt.Sprint(n), text)
		}
	}
	assert.Zero(t, gate.HeldBytes(), "bytes of the budget left behind")
}

// A body over the limit is refused before it is read, and a refusal does not wait for the
// rest of a body.
func TestRefusalsDoNotWaitForTheBody(t *testing.T) {
	_, dial := serve(t, LimitsFor(0, 0))
	for request, want := range map[string]int{
		announced("/", bodyBytes+1, ""):                   http.StatusRequestEntityTooLarge,
		announced("/unread", bodyBytes, "x"):              http.StatusUnauthorized,
		chunked(strings.Repeat("x", bodyBytes), "x"):      http.StatusRequestEntityTooLarge,
		chunked("x") + "z\r\n":                            http.StatusBadRequest,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x": http.StatusBadRequest,
	} {
		conn, from := dial()
		status, _ := ask(t, conn, from, request+"\r\n\r\n")
		assert.Equal(t, want, status)
	}
}

// Load pattern: large bodies that stop just short of their end fill the budget. Small
// bodies are read beside them, and a large one after the oldest has made room.
func TestUnfinishedBodiesMakeRoom(t *testing.T) {
	limits := LimitsFor(0, 0)
	limits.HeldBytes, limits.SmallBytes = 4<<20, firstPartBytes
	gate, dial := serve(t, limits)
	var stalled []*bufio.Reader
	for range 2 {
		conn, from := dial()
		_, err := io.WriteString(conn, announced("/", bodyBytes, strings.Repeat("x", bodyBytes-1)))
		require.NoError(t, err)
		stalled = append(stalled, from)
	}
	require.Eventually(t, func() bool { return gate.large.Load() > limits.HeldBytes/2-maxPartBytes }, 10*time.Second, time.Millisecond)
	conn, from := dial()
	status, _ := ask(t, conn, from, announced("/", 3, "abc"))
	assert.Equal(t, http.StatusOK, status)
	body := strings.Repeat("x", bodyBytes)
	require.Eventually(t, func() bool {
		conn, from := dial()
		status, _ := ask(t, conn, from, announced("/", bodyBytes, body))
		return status == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	status, _ = answer(t, stalled[0])
	assert.Equal(t, http.StatusServiceUnavailable, status)
}

// A body that was not ended in time is answered that it was not begun.
func TestSlowBodiesAreLetGo(t *testing.T) {
	limits := LimitsFor(0, 0)
	limits.BodyTimeout = 50 * time.Millisecond
	gate, dial := serve(t, limits)
	conn, from := dial()
	status, _ := ask(t, conn, from, announced("/", 10, "x"))
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.EqualValues(t, 1, gate.counts[ReasonTooSlow].Load())
}

// A header that was refused for want of room was called malformed, so that its client
// would not come back.
func TestHeaderWithoutRoomIsRefusedForNow(t *testing.T) {
	limits := LimitsFor(0, 0)
	limits.HeldBytes = 4 * headerFactor * freeHeaderBytes
	gate, dial := serve(t, limits)
	header := func(n int) string {
		return "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("x-filler: 0123456789\r\n", n/22) + "\r\n"
	}
	conn, from := dial()
	_, err := io.WriteString(conn, header(3*freeHeaderBytes))
	require.NoError(t, err)
	res, err := http.ReadResponse(from, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	assert.Equal(t, "1", res.Header.Get("Retry-After"))
	_, err = from.ReadByte()
	assert.Equal(t, io.EOF, err, "the connection closes without a reset")
	assert.EqualValues(t, 1, gate.counts[ReasonHeader].Load())
	assert.Zero(t, gate.HeldBytes())
	conn, from = dial()
	status, _ := ask(t, conn, from, header(freeHeaderBytes/2))
	assert.Equal(t, http.StatusOK, status)
}

// Load pattern: the port is full, and one of its connections has a call with a body that
// nobody reads, such as a cancel. It was let go as one that waits for its client, while it was
// worked on.
func TestWorkWithAnUnreadBodyIsNotLetGo(t *testing.T) {
	limits := LimitsFor(0, 0)
	limits.Callers = 2
	gate, dial := serve(t, limits)
	working, fromWorking := dial()
	_, err := io.WriteString(working, "DELETE /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
	require.NoError(t, err)
	dial()
	open := func() int {
		port := gate.ports[0]
		port.mu.Lock()
		defer port.mu.Unlock()
		return port.open
	}
	require.Eventually(t, func() bool { return open() == limits.Callers }, 10*time.Second, time.Millisecond)
	time.Sleep(patience)
	idle := func() int {
		port := gate.ports[0]
		port.mu.Lock()
		defer port.mu.Unlock()
		return port.idle.Len()
	}
	for range 3 {
		conn, from := dial()
		status, _ := ask(t, conn, from, announced("/", 1, "x"))
		assert.Equal(t, http.StatusOK, status)
		// A connection gives way once the server knows that its answer is complete, which is
		// after the client has read it.
		require.Eventually(t, func() bool { return idle() == 1 }, patience, time.Millisecond)
	}
	status, _ := answer(t, fromWorking)
	assert.Equal(t, http.StatusNoContent, status)
}

// Load pattern: silent connections take up the whole port. A new one is served for the
// oldest of them, and a connection that is idle after an answer goes after those.
func TestIncompleteConnectionsMakeRoom(t *testing.T) {
	limits := LimitsFor(0, 0)
	limits.Callers = 3
	gate, dial := serve(t, limits)
	idle, fromIdle := dial()
	ask(t, idle, fromIdle, announced("/", 1, "x"))
	first, _ := dial()
	dial()
	open := func() int {
		port := gate.ports[0]
		port.mu.Lock()
		defer port.mu.Unlock()
		return port.open
	}
	require.Eventually(t, func() bool { return open() == limits.Callers }, 10*time.Second, time.Millisecond)
	time.Sleep(patience)
	conn, from := dial()
	status, _ := ask(t, conn, from, announced("/", 1, "x"))
	assert.Equal(t, http.StatusOK, status)
	_, err := first.Read(make([]byte, 1))
	assert.Error(t, err)
	status, _ = ask(t, idle, fromIdle, announced("/", 1, "x"))
	assert.Equal(t, http.StatusOK, status)
	assert.EqualValues(t, 1, gate.counts[ReasonMadeRoom].Load())
}

// Each connection has room for the first bytes of a body, whatever the VM.
func TestEachConnectionHasRoomForASmallBody(t *testing.T) {
	for _, vm := range []struct {
		memoryMB    int64
		descriptors int
	}{{0, 0}, {96, 600}, {184, 4100}, {284, 4100}, {8, 400}, {4096, 65_536}} {
		l := LimitsFor(vm.memoryMB<<20, vm.descriptors)
		assert.LessOrEqual(t, int64(l.Callers*l.SmallBytes), l.HeldBytes/2, "%+v", vm)
		assert.GreaterOrEqual(t, l.HeldBytes/2, int64(l.BodyBytes), "%+v", vm)
		if vm.descriptors > 0 {
			assert.Less(t, l.Callers+l.Peers+l.Operators+l.HealthChecks, vm.descriptors-fileDescriptors, "%+v", vm)
		}
	}
}

func TestShape(t *testing.T) {
	pad := strings.Repeat(" ", shortText)
	for text, valid := range map[string]bool{
		`{"a":[1,2]}`:           true,
		`{"a":[1,2,3]}`:         false,
		`{"a":{"b":{}}}`:        false,
		`{"a":"{,{,{\"{,{"}`:    true,
		`{"a":"xxxxxxxxxxxxx"}`: false,
		`{"a":"`:                true,
		`{"a":"\`:               true,
	} {
		err := Shape{Objects: 2, Values: 2, StringBytes: 12}.Check([]byte(pad + text))
		assert.Equal(t, valid, err == nil, "%s: %v", text, err)
	}
	assert.NoError(t, Shape{}.Check([]byte(`{"a":[{},{}]}`)), "a short text is not checked")
}
