package events

import (
	"fmt"
	"sort"
	"strings"
)

// ReferencePage returns the text of docs/EVENTS.md, generated from the
// catalogue.
func ReferencePage() string {
	all := Catalogue()
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every event has a number. Events appear in the JSON log (`event`, `name`), in the time line\n")
	b.WriteString("(`wigeonwinch timeline`) and in the counter `wigeonwinch_events_total{event,severity}`.\n")
	b.WriteString("An event of severity violation reports a violated invariant: the node refused the action. Report it as a defect.\n\n")
	b.WriteString("| number | name | severity | meaning | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, d := range all {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", d.Number, d.Name, d.Severity, d.Meaning, d.Remedy)
	}
	return b.String()
}
