package lease

import (
	"time"

	"github.com/pkg/errors"
)

// The default timing.
const (
	defaultTTL    = 12 * time.Second
	defaultRenew  = 4 * time.Second
	defaultMargin = 2 * time.Second
	defaultResend = 1 * time.Second
)

// Timing holds the durations of a lease; all nodes use the same.
type Timing struct {
	// TTL is how long a record is relied on after it was sent.
	TTL time.Duration
	// Renew is the age of a record at which its holder sends the next.
	Renew time.Duration
	// Margin is how much earlier the holder stops and how much longer another
	// node waits. It covers clocks that run at different rates and the time
	// between a check and the act it allows.
	Margin time.Duration
	// Resend is the least time between two appends of one record.
	Resend time.Duration
}

// DefaultTiming returns the timing for a log that answers within a second.
func DefaultTiming() Timing {
	return Timing{
		TTL:    defaultTTL,
		Renew:  defaultRenew,
		Margin: defaultMargin,
		Resend: defaultResend,
	}
}

// Validate checks that a holder can renew before it has to stop.
func (t Timing) Validate() error {
	if t.Resend <= 0 || t.Renew <= 0 || t.Margin <= 0 {
		return errors.New("lease timing: renew, margin and resend must be above zero")
	}
	if t.Renew+t.Resend+t.Margin >= t.TTL {
		return errors.Errorf("lease timing: a time to live of %v leaves no time to renew after %v: raise it above renew, resend and margin together", t.TTL, t.Renew)
	}
	return nil
}
