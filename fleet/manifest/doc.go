// Package manifest parses, checks and compares the manifests that operators
// publish.
//
//	m, problems := manifest.Parse(data)
//	if len(problems) > 0 {
//		return problems[0] // each problem is an error that names the remedy
//	}
//	changes := manifest.Diff(view, m)
//
// Parse reports unknown keys, wrong types and missing keys, and Check reports
// values that are out of range or contradict each other. Both return all
// problems at once.
package manifest
