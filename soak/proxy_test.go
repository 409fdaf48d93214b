package soak

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// proxied starts a server that counts its calls behind a proxy.
func proxied(t *testing.T) (p *Proxy, calls chan string) {
	t.Helper()
	calls = make(chan string, 16)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		calls <- string(body)
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	p, err := NewProxy(server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p, calls
}

const shortTime = 200 * time.Millisecond

// send sends a request and returns the answer, or "" if there was none in time.
func send(t *testing.T, client *http.Client, p *Proxy, text string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), shortTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address(), strings.NewReader(text))
	require.NoError(t, err)
	res, err := client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

func TestProxyCutsOneDirection(t *testing.T) {
	p, calls := proxied(t)
	client := &http.Client{Transport: &http.Transport{}}
	assert.Equal(t, "a", send(t, client, p, "a"))
	assert.Equal(t, "a", <-calls)
	p.Cut(Answers)
	assert.Empty(t, send(t, client, p, "b"))
	assert.Equal(t, "b", <-calls, "the request arrives, its answer does not")
	p.Restore()
	p.Cut(Requests)
	assert.Empty(t, send(t, client, p, "c"))
	assert.Empty(t, calls)
	p.Restore()
	assert.Equal(t, "c", <-calls, "a held back request arrives late")
	assert.Equal(t, "d", send(t, client, p, "d"))
}

func TestProxySilencesOpenConnectionsOnly(t *testing.T) {
	p, calls := proxied(t)
	client := &http.Client{Transport: &http.Transport{}}
	assert.Equal(t, "a", send(t, client, p, "a"))
	assert.Equal(t, "a", <-calls)
	p.Silence()
	assert.Empty(t, send(t, client, p, "b"))
	assert.Empty(t, calls)
	assert.Equal(t, "c", send(t, client, p, "c"), "a new connection works")
}

func TestProxyResetsOpenConnections(t *testing.T) {
	p, _ := proxied(t)
	client := &http.Client{Transport: &http.Transport{}}
	assert.Equal(t, "a", send(t, client, p, "a"))
	p.Reset()
	assert.Equal(t, "b", send(t, &http.Client{Transport: &http.Transport{}}, p, "b"))
}
