package soak

import "time"

// Regression is a run that has broken a promise before.
type Regression struct {
	Options
	// Cause is what was wrong.
	Cause string
}

// Regressions returns the runs that have broken a promise. A change of the kinds of
// faults or of their weights changes the plans of all seeds; the scenarios in the
// tests keep the causes.
func Regressions() []Regression {
	const duration = 28 * time.Second
	run := func(seed uint64, cause string) Regression {
		return Regression{Options{Seed: seed, Nodes: 5, Workers: 10, Duration: duration}, cause}
	}
	restless := func(seed uint64, cause string) Regression {
		r := run(seed, cause)
		r.Kinds = RestartKinds
		return r
	}
	return []Regression{
		run(403, "issue 37: a former owner that was frozen answered a cancel from memory"),
		run(405, "issue 37: the same, asked by a client that kept its connection"),
		run(10635, "issue 58: a second successor did not wait for the leases of an owner behind a partition"),
		run(15981, "issue 58: the same, with the workers' entries expired"),
		restless(23, "issue 61: polls for an earlier life of a worker acknowledged ends of a later one"),
	}
}
