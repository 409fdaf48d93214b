package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// at returns the instant the given number of seconds after the start, with
// both clocks correct.
func at(seconds float64) Instant {
	d := time.Duration(seconds * float64(time.Second))
	return Instant{Monotonic: d, Wall: d}
}

func viewWithLease(l structs.Lease) *structs.View {
	return &structs.View{Leases: map[string]structs.Lease{"fleet": l}}
}

var noLease = &structs.View{Leases: map[string]structs.Lease{}}

// newHolderWithLease returns a Holder that sent its first record at second 0
// and observed it in the log at second 1.
func newHolderWithLease(t *testing.T) (*Holder, structs.Lease) {
	h := NewHolder("fleet", "n1", DefaultTiming())
	acquired, ok := h.NextRecord(at(0), noLease, at(0))
	require.True(t, ok)
	require.Equal(t, structs.Lease{Scope: "fleet", Epoch: 1, Sequence: 1, Holder: "n1", TTLMS: 12000}, acquired)
	_, err := h.Check(at(1), viewWithLease(acquired))
	require.NoError(t, err)
	return h, acquired
}

func TestHolderStopsAtExpiryByOwnClocks(t *testing.T) {
	tests := []struct {
		name string
		now  Instant
		want Kind
	}{
		{"shortly after confirmation", at(2), ""},
		{"just before expiry", at(9.9), ""},
		{"expiry counts from sending, not from confirmation", at(10), KindExpired},
		{"process paused for a minute", at(60), KindExpired},
		{"wall clock jumped forward", Instant{Monotonic: 2 * time.Second, Wall: time.Hour}, KindExpired},
		{"wall clock jumped backward", Instant{Monotonic: 2 * time.Second, Wall: -time.Hour}, ""},
		{"wall clock jumped backward, expired by monotonic clock", Instant{Monotonic: 10 * time.Second, Wall: -time.Hour}, KindExpired},
		{"VM suspended, monotonic clock stopped", Instant{Monotonic: 2 * time.Second, Wall: 30 * time.Second}, KindExpired},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, acquired := newHolderWithLease(t)
			_, err := h.Check(tt.now, viewWithLease(acquired))
			requireKind(t, tt.want, err)
		})
	}
}

func requireKind(t *testing.T, want Kind, err error) {
	t.Helper()
	if want == "" {
		require.NoError(t, err)
		return
	}
	var leaseErr *Error
	require.ErrorAs(t, err, &leaseErr)
	require.Equal(t, want, leaseErr.Kind)
	require.Contains(t, err.Error(), "fleet")
}

func TestCheckRefusesLeaseNotConfirmedByLog(t *testing.T) {
	otherLease := structs.Lease{Scope: "fleet", Epoch: 2, Sequence: 1, Holder: "n2", TTLMS: 12000}
	renewedByPreviousRun := structs.Lease{Scope: "fleet", Epoch: 1, Sequence: 7, Holder: "n1", TTLMS: 12000}
	tests := []struct {
		name string
		view *structs.View
		want Kind
	}{
		{"held by another node", viewWithLease(otherLease), KindNotHeld},
		{"nobody", noLease, KindNotHeld},
		{"renewed by a previous run of this node", viewWithLease(renewedByPreviousRun), KindPreviousRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, _ := newHolderWithLease(t)
			_, err := h.Check(at(2), tt.view)
			requireKind(t, tt.want, err)
		})
	}
}

func TestRenewalCountsFromFirstSend(t *testing.T) {
	h, acquired := newHolderWithLease(t)
	_, ok := h.NextRecord(at(3.9), viewWithLease(acquired), at(3.9))
	require.False(t, ok)
	renewal, ok := h.NextRecord(at(4), viewWithLease(acquired), at(4))
	require.True(t, ok)
	require.Equal(t, uint64(2), renewal.Sequence)

	_, ok = h.NextRecord(at(4.5), viewWithLease(acquired), at(4.5))
	require.False(t, ok, "a pending record must not be sent again before the resend interval")
	again, ok := h.NextRecord(at(9), viewWithLease(acquired), at(9))
	require.True(t, ok)
	require.Equal(t, renewal, again)

	_, err := h.Check(at(13.9), viewWithLease(renewal))
	require.NoError(t, err)
	_, err = h.Check(at(14), viewWithLease(renewal))
	requireKind(t, KindExpired, err)
}

func TestLeaseExpiresWhenRenewalsAreLost(t *testing.T) {
	h, acquired := newHolderWithLease(t)
	for s := 4.0; s < 10; s++ {
		h.NextRecord(at(s), viewWithLease(acquired), at(s))
	}
	_, err := h.Check(at(10), viewWithLease(acquired))
	requireKind(t, KindExpired, err)
	renewal, ok := h.NextRecord(at(11), viewWithLease(acquired), at(11))
	require.True(t, ok)
	require.Equal(t, acquired.Epoch, renewal.Epoch, "an expired holder must keep renewing until another node takes over")
}

func TestHolderStopsAfterRelease(t *testing.T) {
	h, acquired := newHolderWithLease(t)
	rec, ok := h.Release(at(2), viewWithLease(acquired))
	require.True(t, ok)
	require.True(t, rec.Release)
	require.Equal(t, acquired.Sequence+1, rec.Sequence)
	_, err := h.Check(at(2), viewWithLease(acquired))
	requireKind(t, KindPreviousRun, err)
	_, ok = h.Release(at(3), viewWithLease(acquired))
	require.False(t, ok)
	next, ok := h.NextRecord(at(3), viewWithLease(rec), at(3))
	require.True(t, ok)
	require.Equal(t, acquired.Epoch+1, next.Epoch)
}

func TestTakeoverWaitsForTTLAndMargin(t *testing.T) {
	otherLease := structs.Lease{Scope: "fleet", Epoch: 3, Sequence: 5, Holder: "n2", TTLMS: 12000}
	tests := []struct {
		name            string
		now, tailReadAt Instant
		want            bool
	}{
		{"at the first observation", at(0), at(0), false},
		{"at the end of the TTL", at(12), at(12), false},
		{"at the end of the margin", at(14), at(14), false},
		{"after the margin", at(14.1), at(14.1), true},
		{"no read to the end of the log since", at(60), at(13), false},
		{"wall clock jumped forward", Instant{Monotonic: 2 * time.Second, Wall: time.Hour}, at(2), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := NewHolder("fleet", "n1", DefaultTiming())
			_, ok := h.NextRecord(at(0), viewWithLease(otherLease), at(0))
			require.False(t, ok)
			acquired, ok := h.NextRecord(tt.now, viewWithLease(otherLease), tt.tailReadAt)
			require.Equal(t, tt.want, ok)
			if tt.want {
				require.Equal(t, otherLease.Epoch+1, acquired.Epoch)
				require.Equal(t, otherLease.Sequence, acquired.ObservedSequence)
			}
		})
	}
}

func TestWatcherRestartsWaitOnRenewal(t *testing.T) {
	w := NewWatcher(2 * time.Second)
	l := structs.Lease{Scope: "fleet", Epoch: 1, Holder: "n2", TTLMS: 12000}
	require.False(t, w.Expired(at(99), at(99)), "no lease observed yet")
	w.Observe(at(0), l)
	l.Sequence++
	w.Observe(at(10), l)
	w.Observe(at(20), l)
	require.False(t, w.Expired(at(24), at(24)))
	require.True(t, w.Expired(at(24.1), at(24.1)))
}

func TestTimingValidateRequiresTimeToRenew(t *testing.T) {
	require.NoError(t, DefaultTiming().Validate())
	short := DefaultTiming()
	short.TTL = short.RenewAfter + short.Margin
	require.ErrorContains(t, short.Validate(), "TTL must exceed the sum of renew, resend and margin")
	require.Error(t, Timing{TTL: time.Hour}.Validate())
}
