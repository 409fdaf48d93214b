package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/dispatch"
	"wigeonwinch/fleet/structs"
)

// TestUrgentRequestsBeyondShareBecomeNormal checks that urgent requests
// beyond the team's share are treated as normal.
func TestUrgentRequestsBeyondShareBecomeNormal(t *testing.T) {
	tests := []struct{ percent, urgent int }{{0, 0}, {10, 21}, {50, 101}, {100, 200}}
	for _, tt := range tests {
		book := teamLimits{limits: make(map[string]*teamLimit)}
		book.update(map[string]structs.Team{"shed": {Name: "shed", UrgentPercent: tt.percent}})
		urgent := 0
		for range 200 {
			r := &request{Request: dispatch.Request{Team: "shed", Class: dispatch.ClassUrgent}}
			require.Nil(t, book.admit(time.Now(), r))
			if r.Class == dispatch.ClassUrgent {
				urgent++
			}
		}
		require.Equal(t, tt.urgent, urgent, "%d percent of 200, plus the initial credit of one", tt.percent)
	}
}

// TestTeamAndBodyLimitsRejectRequests checks the limits on body bytes and on
// a team's requests in progress while one request is in progress.
func TestTeamAndBodyLimitsRejectRequests(t *testing.T) {
	release := make(chan struct{})
	backend := newTestBackend(t, func(w http.ResponseWriter, h *http.Request) {
		<-release
		replyHello(w, h)
	})
	fleet := &fakeFleet{}
	view := newView([]string{"a"}, newWorker("w1", "a", backend.address()))
	view.Teams["small"] = structs.Team{Name: "small", MaxInProgress: 1}
	fleet.view.Store(view)
	s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{BodyBytesTotal: 1500, InProgress: 2})
	header := map[string]string{HeaderTeam: "small"}
	body := strings.Repeat("x", 1000)
	first := make(chan int, 1)
	go func() { first <- sendRequest(s.Handler(), http.MethodPost, "/fire", body, header).Code }()
	require.Eventually(t, func() bool { return backend.runs.Load() == 1 }, 5*time.Second, time.Millisecond)
	quota := sendRequest(s.Handler(), http.MethodPost, "/fire", "", header)
	require.Equal(t, string(dispatch.RefusedQuota), quota.Header().Get(HeaderReason))
	full := sendRequest(s.Handler(), http.MethodPost, "/fire", body, nil)
	require.Equal(t, string(ReasonOverloaded), full.Header().Get(HeaderReason))
	require.Equal(t, dispatch.OutcomeNotRun, outcomeOf(full.Header()))
	close(release)
	require.Equal(t, http.StatusOK, <-first)
	require.Equal(t, http.StatusOK, sendRequest(s.Handler(), http.MethodPost, "/fire", body, header).Code)
	// A POST runs on its own goroutine, which releases the body after the
	// response.
	require.Eventually(t, func() bool { return s.Stats().BodyBytes == 0 }, 5*time.Second, time.Millisecond)
}

// TestStreamedWorkOutlivesCallerUnlessRepeatable checks that a backend server
// can finish a long answer after its caller disconnected, unless the request
// is repeatable.
func TestStreamedWorkOutlivesCallerUnlessRepeatable(t *testing.T) {
	const size = 32 << 20 // more than the buffers of all connections
	wrote := make(chan error, 1)
	backend := newTestBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, err := io.WriteString(w, strings.Repeat("x", size))
		wrote <- err
	})
	fleet := &fakeFleet{}
	fleet.view.Store(newView([]string{"a"}, newWorker("w1", "a", backend.address())))
	s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{})
	caller := newTestBackend(t, s.Handler().ServeHTTP)
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, method, caller.URL+"/fire", nil)
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		cancel()
		_ = resp.Body.Close()
		err = <-wrote
		require.Equal(t, method == http.MethodPost, err == nil, "%s: %v", method, err)
	}
	require.Eventually(t, func() bool { return s.InProgress("w1") == 0 && s.Stats().InFlight == 0 }, 5*time.Second, time.Millisecond)
}

// TestBodiesCountAgainstTheBudgetAsTheyArrive checks that an announced length reserves
// nothing and that bodies which are not whole yet count.
func TestBodiesCountAgainstTheBudgetAsTheyArrive(t *testing.T) {
	fleet := &fakeFleet{}
	fleet.view.Store(newView([]string{"a"}, newWorker("w1", "a", newTestBackend(t, replyHello).address())))
	s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{BodyBytes: 1 << 20, BodyBytesTotal: 8 << 20})
	caller := newTestBackend(t, s.Handler().ServeHTTP)
	const sent = 200_000
	for range 16 {
		conn, err := net.Dial("tcp", caller.address())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /fire HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", sent))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return s.Stats().BodyBytes >= 16*sent }, 5*time.Second, time.Millisecond)
	require.Less(t, s.Stats().BodyBytes, int64(16*(sent+64<<10)))
	require.Equal(t, http.StatusOK, sendRequest(s.Handler(), http.MethodPost, "/fire", "small", nil).Code)
}
