package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/dispatch"
	"wigeonwinch/fleet/structs"
)

// TestUrgentShare checks that urgent requests beyond the team's share are
// treated as normal.
func TestUrgentShare(t *testing.T) {
	tests := []struct{ percent, urgent int }{{0, 0}, {10, 21}, {50, 101}, {100, 200}}
	for _, tt := range tests {
		book := teamBook{limits: make(map[string]*teamLimit)}
		book.set(map[string]structs.Team{"shed": {Name: "shed", UrgentPercent: tt.percent}})
		urgent := 0
		for range 200 {
			r := &request{Request: dispatch.Request{Team: "shed", Class: dispatch.ClassUrgent}}
			require.Nil(t, book.enter(time.Now(), r))
			if r.Class == dispatch.ClassUrgent {
				urgent++
			}
		}
		require.Equal(t, tt.urgent, urgent, "%d percent of 200, and one in hand", tt.percent)
	}
}

// TestBoundsInProgress checks the bounds on bodies and on a team's requests
// while one request is in progress.
func TestBoundsInProgress(t *testing.T) {
	release := make(chan struct{})
	backend := newEcho(t, func(w http.ResponseWriter, h *http.Request) {
		<-release
		hello(w, h)
	})
	fleet := &fakeFleet{}
	view := viewOf([]string{"a"}, worker("w1", "a", backend.address()))
	view.Teams["small"] = structs.Team{Name: "small", MaxInProgress: 1}
	fleet.view.Store(view)
	s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{BodyBytesTotal: 1500, InProgress: 2})
	header := map[string]string{HeaderTeam: "small"}
	body := strings.Repeat("x", 1000)
	first := make(chan int, 1)
	go func() { first <- ask(s.Handler(), http.MethodPost, "/fire", body, header).Code }()
	require.Eventually(t, func() bool { return backend.runs.Load() == 1 }, 5*time.Second, time.Millisecond)
	quota := ask(s.Handler(), http.MethodPost, "/fire", "", header)
	require.Equal(t, string(dispatch.RefusedQuota), quota.Header().Get(HeaderReason))
	full := ask(s.Handler(), http.MethodPost, "/fire", body, nil)
	require.Equal(t, string(ReasonOverloaded), full.Header().Get(HeaderReason))
	require.Equal(t, dispatch.OutcomeNotRun, outcome(full.Header()))
	close(release)
	require.Equal(t, http.StatusOK, <-first)
	require.Equal(t, http.StatusOK, ask(s.Handler(), http.MethodPost, "/fire", body, header).Code)
	// A POST runs on its own goroutine, which gives the body back after the end.
	require.Eventually(t, func() bool { return s.Stats().BodyBytes == 0 }, 5*time.Second, time.Millisecond)
}

// TestCallerLeavesStream checks that the work behind a long answer isn't cut
// when its caller goes away, unless it is repeatable.
func TestCallerLeavesStream(t *testing.T) {
	const size = 32 << 20 // more than the buffers of all connections
	wrote := make(chan error, 1)
	backend := newEcho(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, err := io.WriteString(w, strings.Repeat("x", size))
		wrote <- err
	})
	fleet := &fakeFleet{}
	fleet.view.Store(viewOf([]string{"a"}, worker("w1", "a", backend.address())))
	s, _ := startServer(t, fleet, newFakeNet(), "a", Limits{})
	caller := newEcho(t, s.Handler().ServeHTTP)
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
