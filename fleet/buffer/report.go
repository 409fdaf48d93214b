package buffer

// Report compares a pool's workers with what its budgets and demand need, in
// VMs.
type Report struct {
	// Pool is the pool, or empty for the whole fleet.
	Pool string
	// Have is the number of workers, Available those in service.
	Have      int
	Available int
	// Required is the least number that keeps the budgets.
	Required int
	// Shared is the part of the buffer that pools share; only the report of
	// the whole fleet has it.
	Shared int
	// Bound is what no plan that keeps the budgets can go below.
	Bound int
}
