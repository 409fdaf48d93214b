package state

// unsafeSkips switches single checks of the fold off. Only tests set it, to
// show that the invariant checks notice what the fold would let through.
type unsafeSkips struct {
	budgets           bool
	generation        bool
	drainBeforeReboot bool
	acknowledgements  bool
}
