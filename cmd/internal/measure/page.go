package main

import (
	"fmt"
	"strings"
)

// head begins docs/MEASUREMENTS.md.
const head = `# Measurements

Written by ` + "`.ci/measure`" + `, which runs every named benchmark once. Figures in virtual time or counts
repeat exactly; those of real time (overhead, core_fraction, ns/op) depend on the machine. Targets come
from the users and the design direction, never from a figure. The rounds that led here, with cause,
change, figures before and after and conclusion, stand in [docs/measurements/](measurements) and in the
commits.

`

// page returns the whole page.
func page(commit string, readings []reading) string {
	var b strings.Builder
	b.WriteString(head)
	fmt.Fprintf(&b, "Commit measured: %s\n\n", commit)
	b.WriteString("## Against the targets\n\n| benchmark | figure | target | measured | met |\n| --- | --- | --- | --- | --- |\n")
	var rest []reading
	for _, r := range readings {
		t, ok := targetOf(r)
		if !ok {
			rest = append(rest, r)
			continue
		}
		verdict := "yes"
		if !t.met(r.value) {
			verdict = "**no**"
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s %g | %.4g | %s |\n", r.benchmark, r.metric, t.compare, t.bound, r.value, verdict)
	}
	for _, t := range missing(readings) {
		fmt.Fprintf(&b, "| %s | `%s` | %s %g | not measured | **no** |\n", t.benchmark, t.metric, t.compare, t.bound)
	}
	b.WriteString("\n## Other figures\n\n| benchmark | figure | measured |\n| --- | --- | --- |\n")
	for _, r := range rest {
		fmt.Fprintf(&b, "| %s | `%s` | %.5g |\n", r.benchmark, r.metric, r.value)
	}
	return b.String()
}

// missing returns the targets that no reading speaks of.
func missing(readings []reading) []target {
	var list []target
	for _, t := range targets {
		found := false
		for _, r := range readings {
			have, ok := targetOf(r)
			found = found || ok && have == t
		}
		if !found {
			list = append(list, t)
		}
	}
	return list
}
