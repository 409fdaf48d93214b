package standin

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/infra"
)

func newTestBackend(ledger *Ledger) *Backend {
	return &Backend{
		opts:    BackendOptions{ID: "w-1", Slots: 1, Ledger: ledger},
		stopped: make(chan struct{}),
		tasks:   map[string]chan infra.ActionKind{},
	}
}

// runTenSecondTask runs one request of ten seconds at full speed and returns the
// elapsed time.
func runTenSecondTask(b *Backend) time.Duration {
	defer func() { _ = recover() }() // a stopped run panics to abort the connection
	start := time.Now()
	r := httptest.NewRequest("POST", "/", nil)
	r.Header.Set(HeaderRequestID, "r-1")
	r.Header.Set(HeaderRunMS, "10000")
	b.ServeHTTP(httptest.NewRecorder(), r)
	return time.Since(start)
}

func TestThrottledTaskRunsAtHalfSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := NewLedger()
		b := newTestBackend(ledger)
		time.AfterFunc(4*time.Second, func() { b.ActOnTask(infra.ActionThrottle, "r-1") })
		require.Equal(t, 16*time.Second, runTenSecondTask(b))
		require.Equal(t, 1, ledger.Run("r-1").Finished)
	})
}

func TestStoppedTaskResumesFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := NewLedger()
		b := newTestBackend(ledger)
		time.AfterFunc(6*time.Second, func() { b.ActOnTask(infra.ActionCheckpoint, "r-1") })
		time.AfterFunc(7*time.Second, func() { b.ActOnTask(infra.ActionStop, "r-1") })
		runTenSecondTask(b)
		require.Equal(t, Run{Started: 1, Stopped: 1, Checkpointed: 6 * time.Second}, ledger.Run("r-1"))
		require.Equal(t, 4*time.Second, runTenSecondTask(newTestBackend(ledger)))
		require.Equal(t, 0, ledger.Interruptions())
	})
}
