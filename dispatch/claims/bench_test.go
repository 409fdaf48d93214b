package claims

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkClaims fills a table and measures the memory per claim, the time per
// claim, and the time to hand over half of the table.
func BenchmarkClaims(b *testing.B) {
	const ids = 400_000
	cfg := testConfig(node("n1"))
	cfg.MaxEntries = ids
	claims := make([]Claim, ids)
	for i := range claims {
		claims[i] = newClaim(time.Duration(i).String(), start, uint64(i+1))
	}
	for b.Loop() {
		table := NewTable(cfg)
		table.SetZones(start, []string{"a"})
		table.SetMembership(start, Membership{Epoch: 1, Members: []Member{node("n1")}}, true)
		before := heapBytes()
		began := time.Now()
		for _, c := range claims {
			if v := table.Claim(start, c).Verdict; v != Granted {
				b.Fatalf("verdict %v", v)
			}
		}
		elapsed := time.Since(began)
		b.ReportMetric(float64(heapBytes()-before)/ids, "bytes_per_id")
		b.ReportMetric(float64(elapsed.Nanoseconds())/ids, "claim_ns")
		began = time.Now()
		entries, pages := readAllHandoverPages(table)
		b.ReportMetric(time.Since(began).Seconds()*1000, "handover_ms")
		b.ReportMetric(float64(entries), "handover_ids")
		b.ReportMetric(float64(pages), "handover_pages")
		runtime.KeepAlive(table)
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// readAllHandoverPages adds a second member and reads all handover pages for it.
// It returns the number of records and pages read.
func readAllHandoverPages(table *Table) (entries, pages int) {
	table.SetMembership(start, Membership{Epoch: 2, Members: []Member{node("n1"), node("n2")}}, false)
	request := HandoverRequest{From: node("n2"), To: node("n1"), Epoch: 2}
	for {
		reply := table.Handover(start, request)
		entries += len(reply.Entries)
		pages++
		if reply.Next == 0 {
			return entries, pages
		}
		request.Page = reply.Next
	}
}
