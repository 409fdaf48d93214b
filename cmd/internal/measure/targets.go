package main

import "strings"

// comparison is how a figure is compared with the bound of its target.
type comparison string

// Comparisons.
const (
	atMost  comparison = "at most"
	atLeast comparison = "at least"
	exactly comparison = "exactly"
)

// target is the bound on a figure that the users or the design direction
// require.
type target struct {
	benchmark string
	metric    string
	compare   comparison
	bound     float64
}

// targets lists the targets. They come from the stated requirements, never from
// measured values.
var targets = []target{
	{"BenchmarkShortWait", "p99_wait_vs_fifo", atMost, 0.2},
	{"BenchmarkShortWait", "p99_wait_vs_oracle", atMost, 1.5},
	{"BenchmarkShortWait", "long_slowdown_vs_fifo", atMost, 1.3},
	{"BenchmarkUrgentStart", "p99_start_s", atMost, 1.1},
	{"BenchmarkUrgentStart", "max_start_s", atMost, 1.1},
	{"BenchmarkOverload", "goodput_5x_vs_1x", atLeast, 0.95},
	{"BenchmarkBlackHole", "failed_share", atMost, 0.001},
	{"BenchmarkForward", "ratio_950_vs_50", atMost, 1.2},
	{"BenchmarkWave", "rollout_vs_bound", atMost, 1.2},
	{"BenchmarkWave", "rollout_vs_bound_worst_seed", atMost, 1.2},
	{"BenchmarkWave", "hard_rollout_vs_bound", atMost, 1.2},
	{"BenchmarkWave", "hard_budget_breaches", exactly, 0},
	{"BenchmarkWave", "hard_cut", exactly, 0},
	{"BenchmarkWave", "budget_breaches", exactly, 0},
	{"BenchmarkWave", "cut", exactly, 0},
	{"BenchmarkBuffer", "buffer_vs_bound", atMost, 1.15},
	{"BenchmarkBuffer", "gothalo_buffer_vs_bound", atMost, 1.15},
	{"BenchmarkBuffer", "tuulekoda_buffer_vs_bound", atMost, 1.15},
	{"BenchmarkBuffer", "950_buffer_vs_bound", atMost, 1.15},
	{"BenchmarkMoves", "moves_vs_bound", atMost, 1.3},
	{"BenchmarkMoves", "moves_vs_bound_15min", atMost, 1.3},
	{"BenchmarkMoves", "moves_vs_bound_4h", atMost, 1.3},
	{"BenchmarkMoves", "moves_vs_bound_cold_day", atMost, 1.3},
	{"BenchmarkMoves", "shortage_vs_greedy", atMost, 1},
	{"BenchmarkConfigInForce", "max_s", atMost, 14},
	{"BenchmarkConfigInForce", "reverts", exactly, 0},
	{"BenchmarkControlNode", "core_fraction", atMost, 0.04},
	{"BenchmarkControlNode", "state_MB", atMost, 32},
	{"BenchmarkControlNode", "bytes_per_s", atMost, 3000},
}

// findTarget returns the target for a reading and whether there is one. A
// reading of a sub-benchmark has the target of its top-level benchmark.
func findTarget(r reading) (target, bool) {
	benchmark, _, _ := strings.Cut(r.benchmark, "/")
	for _, t := range targets {
		if t.benchmark == benchmark && t.metric == r.metric {
			return t, true
		}
	}
	return target{}, false
}

// isMetBy reports whether a value meets the target.
func (t target) isMetBy(value float64) bool {
	switch t.compare {
	case atMost:
		return value <= t.bound
	case atLeast:
		return value >= t.bound
	}
	return value == t.bound
}
