// Package customer defines the customers of the operator's configuration: what each
// may run at once, its share of a full pool, and the keys that name it.
package customer

import (
	"crypto/sha256"

	"wigeonwinch/jobs/spec"
)

// Customer is one customer of the configuration. A job that belongs to no customer has
// the empty name; it has no cap.
type Customer struct {
	Name string
	// Weight is the customer's share of a full pool relative to the other customers,
	// and the number of jobs a second that it is entitled to submit.
	Weight float64
	// Cap is what the customer may have running over all workers of all services. 0 in
	// a dimension means no limit.
	Cap spec.Resources
}

// KeyDigest is the SHA-256 digest of a key. Keys are kept and compared as digests only.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }
