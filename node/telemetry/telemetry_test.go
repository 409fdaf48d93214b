package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wigeonwinch/node/events"
	"wigeonwinch/node/timeline"
)

func TestEventReachesLogTimelineAndMetrics(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out)
	metrics, err := NewMetrics()
	require.NoError(t, err)
	rings := Rings{Fleet: timeline.NewRing(10), Requests: timeline.NewRing(10)}
	rec := NewRecorder(Identity{Node: "entry-1", Zone: "a"}, logger, rings, timeline.NewClock(time.Now), metrics)

	rec.Record(events.NodeNotReady, events.Fields{Detail: "no log"})

	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.EqualValues(t, events.NodeNotReady, line["event"])
	require.Equal(t, "no log", line["detail"])
	require.Equal(t, "node_not_ready", rings.Select(timeline.Filter{})[0].Name)

	answer := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, answer.Body.String(), `wigeonwinch_events_total{event="node_not_ready"`)
}

func TestRequestEventsDoNotEvictFleetEvents(t *testing.T) {
	rings := Rings{Fleet: timeline.NewRing(2), Requests: timeline.NewRing(2)}
	rec := NewRecorder(Identity{Node: "entry-1"}, logrus.New(), rings, timeline.NewClock(time.Now), nil)
	rec.Record(events.VMMoved, events.Fields{VM: "w-1"})
	for range 5 {
		rec.Record(events.ForwardEnded, events.Fields{Request: "r-1"})
	}
	require.Len(t, rings.Select(timeline.Filter{VM: "w-1"}), 1)
	require.Len(t, rings.Select(timeline.Filter{}), 3)
	require.Len(t, rings.Select(timeline.Filter{Limit: 1}), 1)
}

func TestCatalogueNumbersAndNamesAreUnique(t *testing.T) {
	numbers := map[events.Number]string{}
	names := map[string]bool{}
	for _, d := range events.Catalogue() {
		require.Empty(t, numbers[d.Number], d.Name)
		require.False(t, names[d.Name], d.Name)
		require.NotEmpty(t, d.Meaning, d.Name)
		numbers[d.Number] = d.Name
		names[d.Name] = true
	}
}

// Every log line must be one JSON object with all recorded fields, also if the
// texts contain control characters, quotes or non-ASCII characters.
func TestLogLinesAreJSONWithAllFields(t *testing.T) {
	var out bytes.Buffer
	rings := Rings{Fleet: timeline.NewRing(10), Requests: timeline.NewRing(10)}
	metrics, err := NewMetrics()
	require.NoError(t, err)
	r := NewRecorder(Identity{Node: "entry-1", Zone: "a"}, NewLogger(&out), rings, timeline.NewClock(time.Now), metrics)
	r.Record(events.RunPlaced, events.Fields{Request: "5c0e", VM: "v", Task: "0.1.3", Run: 2, AgeMS: 12, Epoch: 7, Shard: 0,
		Outcome: "tab\tquote\"back\\slash", Detail: "ž = \u2028 \x01", Pool: "p", Service: "s", Team: "t", Peer: "q", Offset: 9, Err: errors.New("boom")})
	var got map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &got), out.String())
	for key, want := range map[string]any{
		"request": "5c0e", "vm": "v", "task": "0.1.3", "run": 2.0, "age_ms": 12.0, "epoch": 7.0, "shard": 0.0,
		"outcome": "tab\tquote\"back\\slash", "detail": "ž = \u2028 \x01: boom", "pool": "p", "service": "s", "team": "t",
		"peer": "q", "offset": 9.0, "node": "entry-1", "zone": "a", "level": "info", "name": "run_placed",
		"event": float64(events.RunPlaced),
	} {
		assert.Equal(t, want, got[key], key)
	}
	assert.NotEmpty(t, got["msg"])
	_, err = time.Parse(time.RFC3339Nano, got["time"].(string))
	assert.NoError(t, err)
}

// A reader of the log that stops reading must not block the process. Once it
// reads again, it must get a line with the number of dropped lines.
func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
	reader, writer := io.Pipe()
	w := NewAsyncWriter(writer)
	start := time.Now()
	for range 3 * maxQueuedLines {
		_, err := w.Write([]byte("{}\n"))
		require.NoError(t, err)
	}
	assert.Less(t, time.Since(start), time.Second)
	assert.Positive(t, w.Dropped())
	buffer := make([]byte, maxBatchBytes)
	require.Eventually(t, func() bool {
		n, err := reader.Read(buffer)
		return err == nil && bytes.Contains(buffer[:n], []byte("log_lines_dropped"))
	}, 10*time.Second, time.Microsecond)
}

// recordingWriter keeps the data of each call to Write.
type recordingWriter struct {
	mu    sync.Mutex
	calls [][]byte
}

func (w *recordingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, bytes.Clone(p))
	time.Sleep(time.Millisecond)
	return len(p), nil
}

// A pipe writes up to 4,096 bytes atomically. Longer writes of several processes
// to the same pipe were interleaved within lines.
func TestWritesContainWholeLines(t *testing.T) {
	out := &recordingWriter{}
	w := NewAsyncWriter(out)
	const lines = 500
	for i := range lines {
		_, err := fmt.Fprintf(w, "{\"n\":%d,\"pad\":%q}\n", i, strings.Repeat("x", i))
		require.NoError(t, err)
	}
	total := func() int {
		out.mu.Lock()
		defer out.mu.Unlock()
		n := 0
		for _, c := range out.calls {
			n += bytes.Count(c, []byte("\n"))
		}
		return n
	}
	require.Eventually(t, func() bool { return total() == lines }, 10*time.Second, time.Millisecond)
	for _, c := range out.calls {
		assert.LessOrEqual(t, len(c), maxBatchBytes)
		assert.Equal(t, byte('\n'), c[len(c)-1])
	}
	assert.Less(t, len(out.calls), lines/2, "several lines are written by one call")
}
