package telemetry

import (
	"fmt"
	"strings"
)

// Page returns the content of docs/METRICS.md, generated from the lists of
// instruments.
func Page() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n")
	b.WriteString("`GET /metrics` on the administration address, OpenTelemetry metrics in the usual scrape format.\n")
	b.WriteString("Counters end in `_total` there, and units are appended to the names.\n\n")
	b.WriteString("| name | kind | unit | labels | meaning | tell an operator when |\n| --- | --- | --- | --- | --- | --- |\n")
	writeRows(&b, Instruments())
	b.WriteString("\n## On the users' platform\n\n")
	b.WriteString("Served on the second of the internal ports, at `/metrics`; `wigeonwinch_events` counts decisions by name.\n\n")
	b.WriteString("| name | kind | unit | labels | meaning | tell an operator when |\n| --- | --- | --- | --- | --- | --- |\n")
	writeRows(&b, append(JobInstruments(), JobLatency, StoreLatency))
	b.WriteString("\n## Clients\n\n")
	b.WriteString("Served on both addresses: what clients make the node hold.\n\n")
	b.WriteString("| name | kind | unit | labels | meaning | tell an operator when |\n| --- | --- | --- | --- | --- | --- |\n")
	writeRows(&b, ClientInstruments())
	return b.String()
}

func writeRows(b *strings.Builder, list []Instrument) {
	for _, in := range list {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", in.Name, in.Kind, in.Unit, in.Labels, in.Meaning, in.AlertCondition)
	}
}
