package telemetry

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"wigeonwinch/node/events"
	"wigeonwinch/node/timeline"
)

func TestEventReachesLogTimelineAndMetrics(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(&logrus.JSONFormatter{})
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

func TestTrafficDoesNotPushOutTheFleetsEvents(t *testing.T) {
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
