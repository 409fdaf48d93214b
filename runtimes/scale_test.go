package runtimes

import (
	"math"
	"time"
)

func pow10(x float64) float64 { return math.Pow(10, x) }

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
