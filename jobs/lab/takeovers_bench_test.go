package lab

import (
	"fmt"
	"testing"
)

// BenchmarkRunTimesAfterTakeovers reports the share of the bound that is earned
// where the owner changes every few seconds: a successor knows what was expected of
// the accepted jobs and learns the rest anew.
func BenchmarkRunTimesAfterTakeovers(b *testing.B) {
	const seeds = 6
	for b.Loop() {
		for _, everyMS := range []int64{20_000, 5_000} {
			for _, p := range []Policy{Declared, Learned} {
				share := 0.0
				for seed := range uint64(seeds) {
					l := demandsLoad(seed + 1)
					l.TakeoverMS = everyMS
					r := Run(l, p)
					share += r.Earned / r.UpperBound / seeds
				}
				b.ReportMetric(share, fmt.Sprintf("%s_takeover_%ds", p.Name, everyMS/1000))
			}
		}
	}
}
