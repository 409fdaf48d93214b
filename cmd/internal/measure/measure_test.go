package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sample = `goos: linux
BenchmarkWave-10          1   123456 ns/op   1.25 rollout_vs_bound   0 budget_breaches
BenchmarkBuffer/gothalo-10   1   5 ns/op   1.10 buffer_vs_bound
PASS
`

func TestParseReadsAllFigures(t *testing.T) {
	readings, err := parse(strings.NewReader(sample))
	require.NoError(t, err)
	require.Contains(t, readings, reading{"BenchmarkWave", "rollout_vs_bound", 1.25})
	require.Contains(t, readings, reading{"BenchmarkBuffer/gothalo", "buffer_vs_bound", 1.10})
}

func TestPageListsMissedAndUnmeasuredTargets(t *testing.T) {
	readings, err := parse(strings.NewReader(sample))
	require.NoError(t, err)
	text := renderPage("abc", readings)
	require.Contains(t, text, "| BenchmarkWave | `rollout_vs_bound` | at most 1.2 | 1.25 | **no** |")
	require.Contains(t, text, "| BenchmarkBuffer/gothalo | `buffer_vs_bound` | at most 1.15 | 1.1 | yes |")
	require.Contains(t, text, "| BenchmarkForward | `ratio_950_vs_50` | at most 1.2 | not measured | **no** |")
}
