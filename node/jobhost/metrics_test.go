package jobhost

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/node/telemetry"
)

func TestMetricsAreServed(t *testing.T) {
	h := New(newTestSite(t, time.Millisecond).config("a", "127.0.0.1"))
	m, err := telemetry.NewMetrics()
	require.NoError(t, err)
	require.NoError(t, h.RegisterMetrics(m))
	h.stats.countRequest(OpSubmit, Refused, 30*time.Millisecond)
	h.stats.storeWrites.Add(3)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body := w.Body.String()
	assert.Contains(t, body, `wigeonwinch_job_requests_total{operation="submit",outcome="refused"} 1`)
	assert.Contains(t, body, `wigeonwinch_store_calls_total{kind="write"} 3`)
	assert.Contains(t, body, `wigeonwinch_job_request_latency_milliseconds_bucket{operation="submit",le="50"} 1`)
	assert.Contains(t, body, `wigeonwinch_job_request_latency_milliseconds_bucket{operation="submit",le="20"} 0`)
}
