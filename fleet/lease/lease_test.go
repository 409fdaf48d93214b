package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/structs"
)

// at returns the instant some seconds after the start, with both clocks right.
func at(seconds float64) Instant {
	d := time.Duration(seconds * float64(time.Second))
	return Instant{Monotonic: d, Wall: d}
}

func viewOf(l structs.Lease) *structs.View {
	return &structs.View{Leases: map[string]structs.Lease{"fleet": l}}
}

var noLease = &structs.View{Leases: map[string]structs.Lease{}}

// held returns a holder that sent its take at second 0 and saw it at second 1.
func held(t *testing.T) (*Holder, structs.Lease) {
	h := NewHolder("fleet", "n1", DefaultTiming())
	take, ok := h.Next(at(0), noLease, at(0))
	require.True(t, ok)
	require.Equal(t, structs.Lease{Scope: "fleet", Epoch: 1, Sequence: 1, Holder: "n1", TTLMS: 12000}, take)
	_, err := h.Check(at(1), viewOf(take))
	require.NoError(t, err)
	return h, take
}

func TestHolderStopsByItsOwnClocks(t *testing.T) {
	tests := []struct {
		name string
		now  Instant
		want Kind
	}{
		{"soon after", at(2), ""},
		{"just before the end", at(9.9), ""},
		{"counted from sending, not from seeing", at(10), KindExpired},
		{"paused for a minute", at(60), KindExpired},
		{"wall clock jumped ahead", Instant{Monotonic: 2 * time.Second, Wall: time.Hour}, KindExpired},
		{"wall clock jumped back", Instant{Monotonic: 2 * time.Second, Wall: -time.Hour}, ""},
		{"wall clock jumped back, time is up", Instant{Monotonic: 10 * time.Second, Wall: -time.Hour}, KindExpired},
		{"VM suspended, monotonic clock stood still", Instant{Monotonic: 2 * time.Second, Wall: 30 * time.Second}, KindExpired},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, take := held(t)
			_, err := h.Check(tt.now, viewOf(take))
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
	var refused *Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, want, refused.Kind)
	require.Contains(t, err.Error(), "fleet")
}

func TestCheckFollowsTheLog(t *testing.T) {
	other := structs.Lease{Scope: "fleet", Epoch: 2, Sequence: 1, Holder: "n2", TTLMS: 12000}
	renewedByEarlierRun := structs.Lease{Scope: "fleet", Epoch: 1, Sequence: 7, Holder: "n1", TTLMS: 12000}
	tests := []struct {
		name string
		view *structs.View
		want Kind
	}{
		{"taken by another", viewOf(other), KindNotHeld},
		{"nobody", noLease, KindNotHeld},
		{"a record that this run did not send", viewOf(renewedByEarlierRun), KindForgotten},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, _ := held(t)
			_, err := h.Check(at(2), tt.view)
			requireKind(t, tt.want, err)
		})
	}
}

func TestRenewalCountsFromItsFirstSending(t *testing.T) {
	h, take := held(t)
	_, ok := h.Next(at(3.9), viewOf(take), at(3.9))
	require.False(t, ok)
	renewal, ok := h.Next(at(4), viewOf(take), at(4))
	require.True(t, ok)
	require.Equal(t, uint64(2), renewal.Sequence)

	_, ok = h.Next(at(4.5), viewOf(take), at(4.5))
	require.False(t, ok, "waits for the answer before it sends again")
	again, ok := h.Next(at(9), viewOf(take), at(9))
	require.True(t, ok)
	require.Equal(t, renewal, again)

	_, err := h.Check(at(13.9), viewOf(renewal))
	require.NoError(t, err)
	_, err = h.Check(at(14), viewOf(renewal))
	requireKind(t, KindExpired, err)
}

func TestLostRenewalEndsTheBelief(t *testing.T) {
	h, take := held(t)
	for s := 4.0; s < 10; s++ {
		h.Next(at(s), viewOf(take), at(s))
	}
	_, err := h.Check(at(10), viewOf(take))
	requireKind(t, KindExpired, err)
	renewal, ok := h.Next(at(11), viewOf(take), at(11))
	require.True(t, ok)
	require.Equal(t, take.Epoch, renewal.Epoch, "tries to renew as long as nobody has taken over")
}

func TestReleaseEndsTheBelief(t *testing.T) {
	h, take := held(t)
	rec, ok := h.Release(at(2), viewOf(take))
	require.True(t, ok)
	require.True(t, rec.Release)
	require.Equal(t, take.Sequence+1, rec.Sequence)
	_, err := h.Check(at(2), viewOf(take))
	requireKind(t, KindForgotten, err)
	_, ok = h.Release(at(3), viewOf(take))
	require.False(t, ok)
	next, ok := h.Next(at(3), viewOf(rec), at(3))
	require.True(t, ok)
	require.Equal(t, take.Epoch+1, next.Epoch)
}

func TestWatcherWaitsLongerThanTheHolder(t *testing.T) {
	other := structs.Lease{Scope: "fleet", Epoch: 3, Sequence: 5, Holder: "n2", TTLMS: 12000}
	tests := []struct {
		name      string
		now, tail Instant
		want      bool
	}{
		{"at once", at(0), at(0), false},
		{"at the end of the time to live", at(12), at(12), false},
		{"at the end of the margin", at(14), at(14), false},
		{"after the margin", at(14.1), at(14.1), true},
		{"the log was not read to its end since", at(60), at(13), false},
		{"wall clock jumped ahead", Instant{Monotonic: 2 * time.Second, Wall: time.Hour}, at(2), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := NewHolder("fleet", "n1", DefaultTiming())
			_, ok := h.Next(at(0), viewOf(other), at(0))
			require.False(t, ok)
			take, ok := h.Next(tt.now, viewOf(other), tt.tail)
			require.Equal(t, tt.want, ok)
			if tt.want {
				require.Equal(t, other.Epoch+1, take.Epoch)
				require.Equal(t, other.Sequence, take.Seen)
			}
		})
	}
}

func TestWatcherStartsAnewWithEachRenewal(t *testing.T) {
	w := NewWatcher(2 * time.Second)
	l := structs.Lease{Scope: "fleet", Epoch: 1, Holder: "n2", TTLMS: 12000}
	require.False(t, w.Lapsed(at(99), at(99)), "nothing observed yet")
	w.Observe(at(0), l)
	l.Sequence++
	w.Observe(at(10), l)
	w.Observe(at(20), l)
	require.False(t, w.Lapsed(at(24), at(24)))
	require.True(t, w.Lapsed(at(24.1), at(24.1)))
}

func TestTimingLeavesTimeToRenew(t *testing.T) {
	require.NoError(t, DefaultTiming().Validate())
	short := DefaultTiming()
	short.TTL = short.Renew + short.Margin
	require.ErrorContains(t, short.Validate(), "raise it")
	require.Error(t, Timing{TTL: time.Hour}.Validate())
}
