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

func hello(w http.ResponseWriter, h *http.Request) {
	body, _ := io.ReadAll(h.Body)
	_, _ = w.Write([]byte("hello " + string(body)))
}

func newID(t *testing.T) string {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	return id.String()
}

func outcome(h http.Header) dispatch.Outcome { return dispatch.Outcome(h.Get(HeaderOutcome)) }

// TestEnds checks that what a backend server does leads to the truthful end.
func TestEnds(t *testing.T) {
	cut := func(w http.ResponseWriter, _ *http.Request) {
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
		{"whole", http.MethodPost, hello, dispatch.OutcomeAnswered, "", 1},
		{"whole without answer body", http.MethodPost, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, dispatch.OutcomeAnswered, "", 1},
		{"cut", http.MethodPost, cut, dispatch.OutcomeUnknown, ReasonCutAnswer, 1},
		{"cut and repeatable", http.MethodPut, cut, dispatch.OutcomeUnknown, ReasonCutAnswer, 3},
		{"crossed", http.MethodPost, func(w http.ResponseWriter, h *http.Request) {
			w.Header().Set(HeaderRequestID, "another")
			hello(w, h)
		}, dispatch.OutcomeUnknown, ReasonCrossedAnswer, 1},
		{"dropped", http.MethodPost, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, dispatch.OutcomeUnknown, ReasonLostAnswer, 1},
		{"dropped on GET marked not repeatable", http.MethodGet, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, dispatch.OutcomeUnknown, ReasonLostAnswer, 1},
		{"failed", http.MethodPost, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, dispatch.OutcomeAnswered, "", 1},
		{"refused by worker", http.MethodPost, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderWorkerRefused, "draining")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, dispatch.OutcomeNotRun, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			backend := newEcho(t, tt.serve)
			fleet := &fakeFleet{}
			fleet.view.Store(viewOf([]string{"a"}, worker("w1", "a", backend.address())))
			s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{})
			header := map[string]string{HeaderRequestID: newID(t)}
			if tt.method == http.MethodGet {
				header[HeaderRepeatable] = "no"
				header[HeaderDeadlineMS] = "300"
			}
			if tt.reason == "" && tt.outcome == dispatch.OutcomeNotRun {
				header[HeaderDeadlineMS] = "300"
			}
			w := ask(s.Handler(), tt.method, "/fire/x", "body", header)
			require.Equal(t, tt.outcome, outcome(w.Header()), w.Body.String())
			require.Equal(t, tt.runs, backend.runs.Load())
			require.Equal(t, header[HeaderRequestID], w.Header().Get(HeaderRequestID))
			if tt.reason != "" {
				require.Equal(t, string(tt.reason), w.Header().Get(HeaderReason))
			}
		})
	}
}

// TestSecondCopies checks that a second copy of a request that is not
// repeatable gets the first one's answer, on the same node and on another.
func TestSecondCopies(t *testing.T) {
	release := make(chan struct{})
	backend := newEcho(t, func(w http.ResponseWriter, h *http.Request) {
		<-release
		hello(w, h)
	})
	fleet := &fakeFleet{}
	fleet.view.Store(viewOf([]string{"a", "b"}, worker("w1", "a", backend.address())))
	net := newFakeNet()
	a, _ := startServer(t, fleet, net, "a", Limits{})
	b, _ := startServer(t, fleet, net, "b", Limits{})
	header := map[string]string{HeaderRequestID: newID(t), HeaderTeam: "shed"}
	answers := make(chan string, 3)
	go func() { answers <- ask(a.Handler(), http.MethodPost, "/fire", "x", header).Body.String() }()
	require.Eventually(t, func() bool { return backend.runs.Load() == 1 }, 5*time.Second, time.Millisecond)
	for _, s := range []*Server{a, b} {
		go func() { answers <- ask(s.Handler(), http.MethodPost, "/fire", "x", header).Body.String() }()
	}
	close(release)
	for range 3 {
		require.Equal(t, "hello x", <-answers)
	}
	later := ask(b.Handler(), http.MethodPost, "/fire", "x", header)
	require.Equal(t, "hello x", later.Body.String())
	require.Equal(t, "yes", later.Header().Get(HeaderDuplicate))
	require.EqualValues(t, 1, backend.runs.Load())
	other := ask(b.Handler(), http.MethodPost, "/fire", "other work", header)
	require.Equal(t, http.StatusUnprocessableEntity, other.Code)
	require.EqualValues(t, 1, backend.runs.Load())
}

// TestLongAnswers checks that an answer over the bound streams, and that its
// caller sees it cut when the backend server cuts it.
func TestLongAnswers(t *testing.T) {
	const size = 300 << 10
	whole := strings.Repeat("x", size)
	for _, cut := range []bool{false, true} {
		backend := newEcho(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			if cut {
				_, _ = io.WriteString(w, whole[:size/2])
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, whole)
		})
		fleet := &fakeFleet{}
		fleet.view.Store(viewOf([]string{"a"}, worker("w1", "a", backend.address())))
		s, seen := startServer(t, fleet, newFakeNet(), "a", Limits{AnswerBytes: 64 << 10})
		caller := newEcho(t, s.Handler().ServeHTTP)
		resp, err := http.Get(caller.URL + "/fire")
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, resp.Body.Close())
		if cut {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Equal(t, 1, seen.count(events.ForwardStreamCut))
			continue
		}
		require.NoError(t, err)
		require.Equal(t, whole, string(body))
	}
}

// TestDrain checks that a draining worker gets nothing new, that its work
// ends undisturbed, and that the drain is acknowledged only then.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	backend := newEcho(t, func(w http.ResponseWriter, h *http.Request) {
		<-release
		hello(w, h)
	})
	fleet := &fakeFleet{}
	active := worker("w1", "a", backend.address())
	fleet.view.Store(viewOf([]string{"a"}, active))
	s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{})
	got := make(chan string, 1)
	go func() { got <- ask(s.Handler(), http.MethodPost, "/fire", "x", nil).Body.String() }()
	require.Eventually(t, func() bool { return backend.runs.Load() == 1 }, 5*time.Second, time.Millisecond)
	draining := active
	draining.State = structs.VMDraining
	draining.Sequence = 1
	fleet.view.Store(viewOf([]string{"a"}, draining))
	require.False(t, s.Acknowledge("w1", 1))
	require.Equal(t, 1, s.InProgress("w1"))
	late := ask(s.Handler(), http.MethodPost, "/fire", "x", nil)
	require.Equal(t, dispatch.OutcomeNotRun, outcome(late.Header()))
	close(release)
	require.Equal(t, "hello x", <-got)
	require.Eventually(t, func() bool { return s.Acknowledge("w1", 1) }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 1, backend.runs.Load())
}

// TestRelay checks that a zone without workers passes requests on, once.
func TestRelay(t *testing.T) {
	backend := newEcho(t, func(w http.ResponseWriter, h *http.Request) {
		_, _ = w.Write([]byte(h.Header.Get("Authorization") + h.URL.Path))
	})
	fleet := &fakeFleet{}
	net := newFakeNet()
	view := viewOf([]string{"a", "b"}, worker("w1", "b", backend.address()))
	a, _ := startServer(t, fleet, net, "a", Limits{})
	b, _ := startServer(t, fleet, net, "b", Limits{})
	mux := http.NewServeMux()
	mux.Handle(RelayPath+"/", b.RelayHandler())
	peer := newEcho(t, mux.ServeHTTP)
	net.peers["entry-b"].member.PeerAddress = peer.address()
	view.Entry["b"].Members[0].PeerAddress = peer.address()
	fleet.view.Store(view)
	w := ask(a.Handler(), http.MethodPost, "/fire/y", "x", map[string]string{"Authorization": "caller's"})
	require.Equal(t, "caller's/fire/y", w.Body.String())
	require.EqualValues(t, 1, a.Stats().Relayed)
	stranger := ask(b.RelayHandler(), http.MethodPost, RelayPath+"/fire", "x", map[string]string{HeaderRelayed: "1", "Authorization": "Bearer x"})
	require.Equal(t, http.StatusForbidden, stranger.Code)
	require.EqualValues(t, 1, backend.runs.Load())
}

// pausedPeers makes the process seem paused during every claim.
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

// TestLateGrantIsNotUsed checks that a grant which arrives after a pause is
// not used: the home may have been replaced, and the id granted to another.
func TestLateGrantIsNotUsed(t *testing.T) {
	backend := newEcho(t, hello)
	fleet := &fakeFleet{}
	fleet.view.Store(viewOf([]string{"a", "b"}, worker("w1", "a", backend.address())))
	net := newFakeNet()
	startServer(t, fleet, net, "b", Limits{})
	offset := &atomic.Int64{}
	a := New(Config{
		Node: "entry-a", Zone: "a", Region: "r", Incarnation: 1, Fleet: fleet,
		Peers: pausedPeers{net.join(member("a")), offset},
		Clock: func() time.Time { return time.Now().Add(time.Duration(offset.Load())) },
	})
	id := newID(t)
	for claims.HomeZone(claims.KeyOf("", id), []string{"a", "b"}) != "b" {
		id = newID(t)
	}
	w := ask(a.Handler(), http.MethodPost, "/fire", "", map[string]string{HeaderRequestID: id})
	require.Equal(t, string(ReasonHomeAway), w.Header().Get(HeaderReason))
	require.Equal(t, dispatch.OutcomeUnknown, outcome(w.Header()))
	require.Zero(t, backend.runs.Load())
}
