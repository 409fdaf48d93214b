package outbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	idleTimeout = 30 * time.Second
	callTimeout = 100 * time.Millisecond
)

func get(t *Transport, url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := t.RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.ReadAll(res.Body)
	return err
}

// stallingServer answers after release is closed, or sends the head of the answer and stalls.
func stallingServer(t *testing.T, headFirst bool) string {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if headFirst {
			_ = http.NewResponseController(w).Flush()
		}
		<-release
	}))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(release) })
	return s.URL
}

// Kept connections were used after a call that got no answer, or only the beginning of one.
func TestConnectionsAreKeptAfterMissingAnswer(t *testing.T) {
	for name, headFirst := range map[string]bool{"no answer": false, "half an answer": true} {
		transport := New(idleTimeout, func() *http.Transport { return &http.Transport{} })
		require.Error(t, get(transport, stallingServer(t, headFirst)), name)
		assert.Empty(t, transport.pools, name)
	}
}

// Calls that fail for other reasons must not cost the connections to other addresses, or
// those that a server has just answered on.
func TestConnectionsAreDiscardedWithoutCause(t *testing.T) {
	answering := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/error":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/abort":
			panic(http.ErrAbortHandler)
		}
	}))
	defer answering.Close()
	answering.Config.ErrorLog = nil
	transport := New(idleTimeout, func() *http.Transport {
		return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == "unreachable:80" {
				<-ctx.Done()
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}}
	})
	require.NoError(t, get(transport, answering.URL))
	kept := transport.pools[answering.Listener.Addr().String()]
	require.NotNil(t, kept)
	require.NoError(t, get(transport, answering.URL+"/error"))
	require.Error(t, get(transport, answering.URL+"/abort"))
	require.Error(t, get(transport, "http://unreachable:80"))
	require.Error(t, get(transport, stallingServer(t, false)))
	assert.Same(t, kept, transport.pools[answering.Listener.Addr().String()])
}

// A call that only waited for its turn must not cost the connections of those before it.
func TestConnectionsAreDiscardedWhileAllAreInUse(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	}))
	defer s.Close()
	transport := New(idleTimeout, func() *http.Transport { return &http.Transport{MaxConnsPerHost: 1} })
	first := make(chan error)
	go func() {
		req, err := http.NewRequest(http.MethodGet, s.URL, nil)
		if err == nil {
			var res *http.Response
			if res, err = transport.RoundTrip(req); err == nil {
				err = res.Body.Close()
			}
		}
		first <- err
	}()
	<-entered
	kept := transport.pools[s.Listener.Addr().String()]
	err := get(transport, s.URL)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	assert.NotErrorAs(t, err, new(*NoAnswerError))
	assert.Same(t, kept, transport.pools[s.Listener.Addr().String()])
	close(release)
	require.NoError(t, <-first)
}

// Workers come and go under new addresses; a pool for each of them stayed for ever.
func TestPoolsOfFormerAddressesStay(t *testing.T) {
	transport := New(idleTimeout, func() *http.Transport { return &http.Transport{} })
	former := transport.pool("former")
	transport.pool("current")
	before := time.Now().Add(-2 * idleTimeout)
	former.usedAt, transport.sweptAt = before, before
	transport.pool("next")
	assert.NotContains(t, transport.pools, "former")
	assert.Contains(t, transport.pools, "current")
}
