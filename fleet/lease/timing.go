package lease

import (
	"time"

	"github.com/pkg/errors"
)

// Default durations of a lease.
const (
	defaultTTL            = 12 * time.Second
	defaultRenewAfter     = 4 * time.Second
	defaultMargin         = 2 * time.Second
	defaultResendInterval = 1 * time.Second
)

// Timing holds the durations that govern a lease. All nodes must use the same
// values.
type Timing struct {
	// TTL is the time after its sending for which a lease record is valid.
	TTL time.Duration
	// RenewAfter is the age of a record at which its holder sends a renewal.
	RenewAfter time.Duration
	// Margin is how much earlier than TTL the holder stops, and how much
	// longer than TTL other nodes wait. It covers clocks that run at different
	// rates and the time between a Check and the action that follows it.
	Margin time.Duration
	// ResendInterval is the minimum time between two appends of the same
	// record.
	ResendInterval time.Duration
}

// DefaultTiming returns the durations for a log that responds within one
// second.
func DefaultTiming() Timing {
	return Timing{
		TTL:            defaultTTL,
		RenewAfter:     defaultRenewAfter,
		Margin:         defaultMargin,
		ResendInterval: defaultResendInterval,
	}
}

// Validate returns an error if the holder could not renew the lease in time.
func (t Timing) Validate() error {
	if t.ResendInterval <= 0 || t.RenewAfter <= 0 || t.Margin <= 0 {
		return errors.New("lease timing: renew, margin and resend must be greater than zero")
	}
	if t.RenewAfter+t.ResendInterval+t.Margin >= t.TTL {
		return errors.Errorf("lease timing: TTL %v leaves no time to renew after %v; TTL must exceed the sum of renew, resend and margin", t.TTL, t.RenewAfter)
	}
	return nil
}
