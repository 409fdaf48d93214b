package main

import (
	"fmt"
	"strings"
)

// pageHeader is the beginning of docs/MEASUREMENTS.md.
const pageHeader = `# Measurements

Written by ` + "`.ci/measure`" + `, which runs every named benchmark once. Figures in virtual time or counts
repeat exactly; those of real time (overhead, core_fraction, ns/op) depend on the machine. Targets come
from the users and the design direction, never from a figure. The rounds that led here, with cause,
change, figures before and after and conclusion, stand in [docs/measurements/](measurements) and in the
commits.

`

// renderPage returns the complete page.
func renderPage(commit string, readings []reading) string {
	var b strings.Builder
	b.WriteString(pageHeader)
	fmt.Fprintf(&b, "Commit measured: %s\n\n", commit)
	b.WriteString("## Against the targets\n\n| benchmark | figure | target | measured | met |\n| --- | --- | --- | --- | --- |\n")
	var withoutTarget []reading
	for _, r := range readings {
		t, ok := findTarget(r)
		if !ok {
			withoutTarget = append(withoutTarget, r)
			continue
		}
		met := "yes"
		if !t.isMetBy(r.value) {
			met = "**no**"
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s %g | %.4g | %s |\n", r.benchmark, r.metric, t.compare, t.bound, r.value, met)
	}
	for _, t := range unmeasuredTargets(readings) {
		fmt.Fprintf(&b, "| %s | `%s` | %s %g | not measured | **no** |\n", t.benchmark, t.metric, t.compare, t.bound)
	}
	b.WriteString("\n## Other figures\n\n| benchmark | figure | measured |\n| --- | --- | --- |\n")
	for _, r := range withoutTarget {
		fmt.Fprintf(&b, "| %s | `%s` | %.5g |\n", r.benchmark, r.metric, r.value)
	}
	return b.String()
}

// unmeasuredTargets returns the targets for which there is no reading.
func unmeasuredTargets(readings []reading) []target {
	var list []target
	for _, t := range targets {
		found := false
		for _, r := range readings {
			other, ok := findTarget(r)
			found = found || ok && other == t
		}
		if !found {
			list = append(list, t)
		}
	}
	return list
}
