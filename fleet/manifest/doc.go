// Package manifest reads, checks and compares the manifests that operators
// publish.
//
//	m, problems := manifest.Parse(data)
//	if len(problems) > 0 {
//		return problems[0] // each problem is an error that names the remedy
//	}
//	changes := manifest.Diff(view, m)
//
// Parse reports unknown keys, wrong types and missing keys; Check reports
// values that contradict each other. Both list every problem at once.
package manifest
