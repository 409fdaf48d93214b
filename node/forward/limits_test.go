package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/dispatch"
	"wigeonwinch/fleet/structs"
)

// newLimitedServer returns a server with small limits, an HTTP server for its
// callers with a real listener, and its backend server.
func newLimitedServer(t *testing.T) (*Server, *httptest.Server, *testBackend) {
	backend := newTestBackend(t, replyHello)
	fleet := &fakeFleet{}
	view := newView([]string{"a"}, newWorker("w1", "a", backend.address()))
	view.Teams["slow"] = structs.Team{Name: "slow", RatePerSecond: 0.001, Burst: 1}
	fleet.view.Store(view)
	s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{
		BodyBytes: 1000, BodyBytesTotal: 1500, HeaderBytes: 4096, RequestIDBytes: 40,
		HeaderTimeout: 100 * time.Millisecond, ProgressTimeout: 100 * time.Millisecond,
	})
	caller := httptest.NewUnstartedServer(s.Handler())
	s.ConfigureHTTPServer(caller.Config)
	caller.Start()
	t.Cleanup(caller.Close)
	return s, caller, backend
}

// TestInvalidRequestsAreRejected checks that each invalid request gets a
// specific error and reaches no worker.
func TestInvalidRequestsAreRejected(t *testing.T) {
	s, _, backend := newLimitedServer(t)
	tests := []struct {
		name    string
		path    string
		body    string
		header  map[string]string
		status  int
		reason  Reason
		outcome dispatch.Outcome
	}{
		{"long id", "/fire", "", map[string]string{HeaderRequestID: strings.Repeat("x", 41)}, 400, ReasonMalformed, dispatch.OutcomeNotRun},
		{"id with a space", "/fire", "", map[string]string{HeaderRequestID: "a b"}, 400, ReasonMalformed, dispatch.OutcomeNotRun},
		{"class", "/fire", "", map[string]string{HeaderClass: "now"}, 400, ReasonMalformed, dispatch.OutcomeNotRun},
		{"repeatable", "/fire", "", map[string]string{HeaderRepeatable: "maybe"}, 400, ReasonMalformed, dispatch.OutcomeNotRun},
		{"deadline", "/fire", "", map[string]string{HeaderDeadlineMS: "-1"}, 400, ReasonMalformed, dispatch.OutcomeNotRun},
		{"run time", "/fire", "", map[string]string{HeaderRunMS: "1e9"}, 400, ReasonMalformed, dispatch.OutcomeNotRun},
		{"issue time", "/fire", "", map[string]string{HeaderRequestID: "x", HeaderIssuedAt: "today"}, 400, ReasonMalformed, dispatch.OutcomeNotRun},
		{"team", "/fire", "", map[string]string{HeaderTeam: "nobody"}, 403, ReasonUnknownTeam, dispatch.OutcomeNotRun},
		{"route", "/fires", "", nil, 404, ReasonUnknownRoute, dispatch.OutcomeNotRun},
		{"route of an id that may have run", "/fires", "", map[string]string{HeaderRequestID: "x"}, 404, ReasonUnknownRoute, dispatch.OutcomeUnknown},
		{"body", "/fire", strings.Repeat("x", 1001), nil, 413, ReasonBodyTooLarge, dispatch.OutcomeNotRun},
		{"id issued in the future", "/fire", "", map[string]string{HeaderRequestID: "x", HeaderIssuedAt: "2999-01-01T00:00:00Z"}, 409, ReasonExpiredID, dispatch.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := sendRequest(s.Handler(), http.MethodPost, tt.path, tt.body, tt.header)
			require.Equal(t, tt.status, w.Code, w.Body.String())
			require.Equal(t, string(tt.reason), w.Header().Get(HeaderReason))
			require.Equal(t, tt.outcome, outcomeOf(w.Header()))
			require.Equal(t, "application/problem+json", w.Header().Get("Content-Type"))
		})
	}
	require.Zero(t, backend.runs.Load())
	require.Zero(t, s.Stats().InFlight)
	require.Zero(t, s.Stats().BodyBytes)
}

func TestTeamRateLimitRejectsRequests(t *testing.T) {
	s, _, backend := newLimitedServer(t)
	header := map[string]string{HeaderTeam: "slow"}
	require.Equal(t, http.StatusOK, sendRequest(s.Handler(), http.MethodPost, "/fire", "", header).Code)
	refused := sendRequest(s.Handler(), http.MethodPost, "/fire", "", header)
	require.Equal(t, http.StatusTooManyRequests, refused.Code)
	require.Equal(t, dispatch.OutcomeNotRun, outcomeOf(refused.Header()))
	require.NotEmpty(t, refused.Header().Get("Retry-After"))
	header[HeaderRequestID] = newID(t)
	mayHaveRun := sendRequest(s.Handler(), http.MethodPost, "/fire", "", header)
	require.Equal(t, dispatch.OutcomeUnknown, outcomeOf(mayHaveRun.Header()), "an earlier copy may have run")
	require.Equal(t, "same-id", mayHaveRun.Header().Get(HeaderRetry))
	require.EqualValues(t, 1, backend.runs.Load())
}

// TestSlowSendersAreDisconnected checks that a caller that stops sending
// occupies neither a connection nor a worker.
func TestSlowSendersAreDisconnected(t *testing.T) {
	s, caller, backend := newLimitedServer(t)
	tests := []struct{ name, sent, want string }{
		{"in the headers", "POST /fire HTTP/1.1\r\nHost: x\r\nX-A: b", ""},
		{"in the body", "POST /fire HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nonly", "408"},
		{"in the body for an unknown route", "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nonly", "404"},
		{"in a chunk", "POST /fire HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "408"},
		{"with endless headers", "POST /fire HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("x", 20_000) + "\r\n\r\n", "431"},
		{"with two lengths", "POST /fire HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", caller.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, tt.sent)
			require.NoError(t, err)
			answer, _ := io.ReadAll(conn) // until the server closes the connection
			require.Contains(t, strings.SplitN(string(answer), "\n", 2)[0], tt.want)
		})
	}
	require.Zero(t, backend.runs.Load())
	require.Eventually(t, func() bool { return s.Stats().InFlight == 0 && s.Stats().BodyBytes == 0 }, 5*time.Second, time.Millisecond)
}

// TestRequestThatFitsNoWorkerIsRejected checks that a request that no worker
// can hold is refused immediately.
func TestRequestThatFitsNoWorkerIsRejected(t *testing.T) {
	backend := newTestBackend(t, replyHello)
	fleet := &fakeFleet{}
	view := newView([]string{"a"}, newWorker("w1", "a", backend.address()))
	view.Services["review"] = structs.Service{Name: "review", Pool: "fire", Routes: []string{"/fire"}, DeadlineMS: 60_000, Cores: 17}
	fleet.view.Store(view)
	s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{})
	w := sendRequest(s.Handler(), http.MethodPost, "/fire", "", map[string]string{HeaderRequestID: newID(t)})
	require.Equal(t, http.StatusUnprocessableEntity, w.Code)
	require.Equal(t, dispatch.OutcomeNotRun, outcomeOf(w.Header()))
	require.Zero(t, backend.runs.Load())
}

// TestNonRepeatableRequestIsSentOnce checks that the transport does not itself
// resend a non-repeatable request when the worker closes a reused connection.
func TestNonRepeatableRequestIsSentOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	seen := make(chan string, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn, seen)
		}
	}()
	fleet := &fakeFleet{}
	fleet.view.Store(newView([]string{"a"}, newWorker("w1", "a", listener.Addr().String())))
	s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{})
	header := map[string]string{HeaderRepeatable: "no", HeaderRequestID: newID(t)}
	require.Equal(t, http.StatusOK, sendRequest(s.Handler(), http.MethodGet, "/fire", "", header).Code)
	header[HeaderRequestID] = newID(t)
	second := sendRequest(s.Handler(), http.MethodGet, "/fire", "", header)
	require.Equal(t, dispatch.OutcomeUnknown, outcomeOf(second.Header()))
	require.Len(t, seen, 2, "each request was read once")
}

// answerOnce answers the first request on a connection. It reads the second
// one and closes the connection without an answer.
func answerOnce(conn net.Conn, seen chan<- string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(HeaderRequestID)
		seen <- id
		if len(seen) == 1 {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, id)
		}
	}
}

// FuzzPeerMessages passes arbitrary bytes to every handler of peer messages.
func FuzzPeerMessages(f *testing.F) {
	fleet := &fakeFleet{}
	fleet.view.Store(newView([]string{"a", "b"}))
	peers := newFakeNet().join(entryMember("a"))
	New(Config{Node: "entry-a", Zone: "a", Incarnation: 1, Fleet: fleet, Peers: peers})
	for _, message := range []any{
		lookupRequest{Token: 1, Incarnation: 1}, leavingMessage{VM: "w1"}, slotMessages{}, freeSlotsMessage{Pools: []poolFreeSlots{{Pool: "fire", Free: 4}}},
		problem{}, map[string]int{"x": 1}, []int{1, 2, 3},
	} {
		data, err := encode(message)
		require.NoError(f, err)
		for method := methodClaim; method <= methodFreeSlots; method++ {
			f.Add(method, data)
			f.Add(method, data[:len(data)/2])
		}
	}
	f.Add(methodClaim, []byte{0xbf, 0x9f, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, method uint16, data []byte) {
		h := peers.handlers[method]
		if h == nil {
			return
		}
		reply, err := h(t.Context(), "entry-b", data)
		if err == nil {
			require.LessOrEqual(t, len(reply), maxMessageBytes)
		}
	})
}
