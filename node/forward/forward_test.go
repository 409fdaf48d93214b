package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"wigeonwinch/dispatch"
	"wigeonwinch/dispatch/claims"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
)

func replyHello(w http.ResponseWriter, h *http.Request) {
	body, _ := io.ReadAll(h.Body)
	_, _ = w.Write([]byte("hello " + string(body)))
}

func newID(t *testing.T) string {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	return id.String()
}

func outcomeOf(h http.Header) dispatch.Outcome { return dispatch.Outcome(h.Get(HeaderOutcome)) }

// TestOutcomePerBackendBehavior checks that each behavior of a backend server
// leads to the correct outcome.
func TestOutcomePerBackendBehavior(t *testing.T) {
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("only a part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	tests := []struct {
		name    string
		method  string
		serve   http.HandlerFunc
		outcome dispatch.Outcome
		reason  Reason
		runs    int64
	}{
		{"whole", http.MethodPost, replyHello, dispatch.OutcomeAnswered, "", 1},
		{"whole without answer body", http.MethodPost, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, dispatch.OutcomeAnswered, "", 1},
		{"cut", http.MethodPost, truncate, dispatch.OutcomeUnknown, ReasonAnswerTruncated, 1},
		{"cut and repeatable", http.MethodPut, truncate, dispatch.OutcomeUnknown, ReasonAnswerTruncated, 3},
		{"crossed", http.MethodPost, func(w http.ResponseWriter, h *http.Request) {
			w.Header().Set(HeaderRequestID, "another")
			replyHello(w, h)
		}, dispatch.OutcomeUnknown, ReasonAnswerCrossed, 1},
		{"dropped", http.MethodPost, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, dispatch.OutcomeUnknown, ReasonAnswerLost, 1},
		{"dropped on GET marked not repeatable", http.MethodGet, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, dispatch.OutcomeUnknown, ReasonAnswerLost, 1},
		{"failed", http.MethodPost, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, dispatch.OutcomeAnswered, "", 1},
		{"refused by worker", http.MethodPost, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderWorkerRefused, "draining")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, dispatch.OutcomeNotRun, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			backend := newTestBackend(t, tt.serve)
			fleet := &fakeFleet{}
			fleet.view.Store(newView([]string{"a"}, newWorker("w1", "a", backend.address())))
			s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{})
			header := map[string]string{HeaderRequestID: newID(t)}
			if tt.method == http.MethodGet {
				header[HeaderRepeatable] = "no"
				header[HeaderDeadlineMS] = "300"
			}
			if tt.reason == "" && tt.outcome == dispatch.OutcomeNotRun {
				header[HeaderDeadlineMS] = "300"
			}
			w := sendRequest(s.Handler(), tt.method, "/fire/x", "body", header)
			require.Equal(t, tt.outcome, outcomeOf(w.Header()), w.Body.String())
			require.Equal(t, tt.runs, backend.runs.Load())
			require.Equal(t, header[HeaderRequestID], w.Header().Get(HeaderRequestID))
			if tt.reason != "" {
				require.Equal(t, string(tt.reason), w.Header().Get(HeaderReason))
			}
		})
	}
}

// TestDuplicateGetsFirstAnswer checks that a duplicate of a non-repeatable
// request gets the answer of the first copy, on the same node and on another
// one.
func TestDuplicateGetsFirstAnswer(t *testing.T) {
	release := make(chan struct{})
	backend := newTestBackend(t, func(w http.ResponseWriter, h *http.Request) {
		<-release
		replyHello(w, h)
	})
	fleet := &fakeFleet{}
	fleet.view.Store(newView([]string{"a", "b"}, newWorker("w1", "a", backend.address())))
	net := newFakeNet()
	a, _ := startServer(t, fleet, net, "a", Limits{})
	b, _ := startServer(t, fleet, net, "b", Limits{})
	header := map[string]string{HeaderRequestID: newID(t), HeaderTeam: "shed"}
	answers := make(chan string, 3)
	go func() { answers <- sendRequest(a.Handler(), http.MethodPost, "/fire", "x", header).Body.String() }()
	require.Eventually(t, func() bool { return backend.runs.Load() == 1 }, 5*time.Second, time.Millisecond)
	for _, s := range []*Server{a, b} {
		go func() { answers <- sendRequest(s.Handler(), http.MethodPost, "/fire", "x", header).Body.String() }()
	}
	close(release)
	for range 3 {
		require.Equal(t, "hello x", <-answers)
	}
	repeated := sendRequest(b.Handler(), http.MethodPost, "/fire", "x", header)
	require.Equal(t, "hello x", repeated.Body.String())
	require.Equal(t, "yes", repeated.Header().Get(HeaderDuplicate))
	require.EqualValues(t, 1, backend.runs.Load())
	other := sendRequest(b.Handler(), http.MethodPost, "/fire", "other work", header)
	require.Equal(t, http.StatusUnprocessableEntity, other.Code)
	require.EqualValues(t, 1, backend.runs.Load())
}

// TestLongAnswerIsStreamed checks that an answer that exceeds AnswerBytes is
// streamed, and that the caller detects the truncation when the backend server
// truncates it.
func TestLongAnswerIsStreamed(t *testing.T) {
	const size = 300 << 10
	whole := strings.Repeat("x", size)
	for _, truncated := range []bool{false, true} {
		backend := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			if truncated {
				_, _ = io.WriteString(w, whole[:size/2])
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, whole)
		})
		fleet := &fakeFleet{}
		fleet.view.Store(newView([]string{"a"}, newWorker("w1", "a", backend.address())))
		s, recorder := startServer(t, fleet, newFakeNet(), "a", Limits{AnswerBytes: 64 << 10})
		caller := newTestBackend(t, s.Handler().ServeHTTP)
		resp, err := http.Get(caller.URL + "/fire")
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, resp.Body.Close())
		if truncated {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Equal(t, 1, recorder.count(events.ForwardStreamCut))
			continue
		}
		require.NoError(t, err)
		require.Equal(t, whole, string(body))
	}
}

// TestDrainWaitsForRequestsInProgress checks that a draining worker gets no new
// requests, that its request in progress finishes normally, and that the drain
// is acknowledged only then.
func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	release := make(chan struct{})
	backend := newTestBackend(t, func(w http.ResponseWriter, h *http.Request) {
		<-release
		replyHello(w, h)
	})
	fleet := &fakeFleet{}
	active := newWorker("w1", "a", backend.address())
	fleet.view.Store(newView([]string{"a"}, active))
	s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{})
	got := make(chan string, 1)
	go func() { got <- sendRequest(s.Handler(), http.MethodPost, "/fire", "x", nil).Body.String() }()
	require.Eventually(t, func() bool { return backend.runs.Load() == 1 }, 5*time.Second, time.Millisecond)
	draining := active
	draining.State = structs.VMDraining
	draining.Sequence = 1
	fleet.view.Store(newView([]string{"a"}, draining))
	require.False(t, s.CanAcknowledgeDrain("w1", 1))
	require.Equal(t, 1, s.InProgress("w1"))
	late := sendRequest(s.Handler(), http.MethodPost, "/fire", "x", nil)
	require.Equal(t, dispatch.OutcomeNotRun, outcomeOf(late.Header()))
	close(release)
	require.Equal(t, "hello x", <-got)
	require.Eventually(t, func() bool { return s.CanAcknowledgeDrain("w1", 1) }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 1, backend.runs.Load())
}

// TestZoneWithoutWorkersRelaysOnce checks that a zone without workers relays a
// request, exactly once.
func TestZoneWithoutWorkersRelaysOnce(t *testing.T) {
	backend := newTestBackend(t, func(w http.ResponseWriter, h *http.Request) {
		_, _ = w.Write([]byte(h.Header.Get("Authorization") + h.URL.Path))
	})
	fleet := &fakeFleet{}
	net := newFakeNet()
	view := newView([]string{"a", "b"}, newWorker("w1", "b", backend.address()))
	a, _ := startServer(t, fleet, net, "a", Limits{})
	b, _ := startServer(t, fleet, net, "b", Limits{})
	mux := http.NewServeMux()
	mux.Handle(RelayPath+"/", b.RelayHandler())
	peer := newTestBackend(t, mux.ServeHTTP)
	net.peers["entry-b"].member.PeerAddress = peer.address()
	view.EntryEpochs["b"].Members[0].PeerAddress = peer.address()
	fleet.view.Store(view)
	w := sendRequest(a.Handler(), http.MethodPost, "/fire/y", "x", map[string]string{"Authorization": "caller's"})
	require.Equal(t, "caller's/fire/y", w.Body.String())
	require.EqualValues(t, 1, a.Stats().Relayed)
	stranger := sendRequest(b.RelayHandler(), http.MethodPost, RelayPath+"/fire", "x", map[string]string{HeaderRelayed: "1", "Authorization": "Bearer x"})
	require.Equal(t, http.StatusForbidden, stranger.Code)
	require.EqualValues(t, 1, backend.runs.Load())
}

// pausedPeers simulates a pause of the process during every claim.
type pausedPeers struct {
	*fakePeers
	offset *atomic.Int64
}

func (p pausedPeers) Call(ctx context.Context, node string, method uint16, body []byte) ([]byte, error) {
	reply, err := p.fakePeers.Call(ctx, node, method, body)
	if method == methodClaim {
		p.offset.Add(int64(Defaults().ClaimFence))
	}
	return reply, err
}

// TestLateGrantIsDiscarded checks that a grant that arrives after a pause of
// the process is not used. During the pause the home node may have been
// replaced, and the ID granted to another holder.
func TestLateGrantIsDiscarded(t *testing.T) {
	backend := newTestBackend(t, replyHello)
	fleet := &fakeFleet{}
	fleet.view.Store(newView([]string{"a", "b"}, newWorker("w1", "a", backend.address())))
	net := newFakeNet()
	startServer(t, fleet, net, "b", Limits{})
	offset := &atomic.Int64{}
	a := New(Config{
		Node: "entry-a", Zone: "a", Region: "r", Incarnation: 1, Fleet: fleet,
		Peers: pausedPeers{net.join(entryMember("a")), offset},
		Clock: func() time.Time { return time.Now().Add(time.Duration(offset.Load())) },
	})
	id := newID(t)
	for claims.HomeZone(claims.NewKey("", id), []string{"a", "b"}) != "b" {
		id = newID(t)
	}
	w := sendRequest(a.Handler(), http.MethodPost, "/fire", "", map[string]string{HeaderRequestID: id})
	require.Equal(t, string(ReasonHomeUnreachable), w.Header().Get(HeaderReason))
	require.Equal(t, dispatch.OutcomeUnknown, outcomeOf(w.Header()))
	require.Zero(t, backend.runs.Load())
}
