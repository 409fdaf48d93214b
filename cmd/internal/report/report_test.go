package report

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/cmd/internal/demo"
	"wigeonwinch/node/timeline"
)

func TestPageContainsPlotsFiguresAndEvents(t *testing.T) {
	rec := &demo.Recording{
		Result: demo.Result{Sent: 4321, Lost: 1},
		Waits:  []demo.WaitSample{{AtMS: 10, WaitMS: 5}, {AtMS: 900, WaitMS: 0, Urgent: true}, {AtMS: 950, WaitMS: 70, Long: true}},
		Samples: []demo.Sample{
			{AtMS: 0, Pools: []demo.PoolSample{{Pool: "intake", Busy: 1, Available: 8, MinAvailable: 6}}},
			{AtMS: 250, Pools: []demo.PoolSample{{Pool: "intake", Busy: 3, Available: 7, MinAvailable: 6}}, WaveDone: 1, WaveTotal: 8},
		},
		Timeline: []timeline.Entry{
			{Node: "entry-a", Name: "node_ready", Severity: "info"},
			{Node: "entry-a", Name: "chatter", Severity: "debug"},
		},
	}
	page, err := Page(rec)
	require.NoError(t, err)
	text := string(page)
	require.Contains(t, text, "4321")
	require.Contains(t, text, "A promise did not hold")
	require.Contains(t, text, "node_ready")
	require.NotContains(t, text, "chatter")
	require.Contains(t, text, "data:image/svg&#43;xml;base64,")
}

func TestPageForEmptyRunSucceeds(t *testing.T) {
	_, err := Page(&demo.Recording{})
	require.NoError(t, err)
}

func TestWaitQuantilesAreOrderedByTime(t *testing.T) {
	waits := []demo.WaitSample{{AtMS: 1600, WaitMS: 7}, {AtMS: 100, WaitMS: 3}, {AtMS: 120, WaitMS: 9}}
	points := waitQuantiles(waits, func(demo.WaitSample) bool { return true })
	require.Len(t, points, 2)
	require.Equal(t, 9.0, points[0].Y)
	require.Equal(t, 1.5, points[1].X)
}
