package telemetry

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/node/events"
	"wigeonwinch/node/timeline"
)

// BenchmarkRecord measures recording one event of a scheduling decision. A
// shard owner records three events for each task.
func BenchmarkRecord(b *testing.B) {
	metrics, err := NewMetrics()
	require.NoError(b, err)
	rings := Rings{Fleet: timeline.NewRing(2000), Requests: timeline.NewRing(2000)}
	r := NewRecorder(Identity{Node: "entry-1", Zone: "a"}, NewLogger(io.Discard), rings, timeline.NewClock(time.Now), metrics)
	b.ReportAllocs()
	for b.Loop() {
		r.Record(events.RunPlaced, events.Fields{Request: "5c0e7a21d94b36f8", VM: "i-9f55f8401d", Task: "0.1.3", Run: 1, AgeMS: 12, Epoch: 1823993031317767, Shard: 4, Detail: "used=4500 of=16000 slack=1800"})
	}
}
