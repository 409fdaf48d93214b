package state

// skippedChecks disables individual checks of Apply. Only tests set it, to
// verify that the invariant checks detect what those checks would have
// prevented.
type skippedChecks struct {
	budgets           bool
	generation        bool
	drainBeforeReboot bool
	acknowledgements  bool
}
