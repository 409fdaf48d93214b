package customer

// Caller is who asks about a job.
type Caller struct {
	// Customer is the customer that the caller's key names; empty if the caller needs no
	// key.
	Customer string
	// Queue is the queue that the caller names.
	Queue string
	// Operator reports that the caller is an operator, who may access all jobs.
	Operator bool
}

// MayAccess reports whether a caller may see and cancel a job of a customer. A job that
// belongs to no customer, because its queue was public or the configuration had no
// customers when it was accepted, belongs to all callers of its queue. So does a
// customer's job whose queue needs no key any more.
func (c Caller) MayAccess(customer, queue string) bool {
	if c.Operator || c.Customer == customer {
		return true
	}
	return (c.Customer == "" || customer == "") && c.Queue == queue
}
