// Package standin contains in-process replacements for the platform and for
// backend servers. Tests and the demo use them.
//
//	log := standin.NewLog(standin.LogOptions{Retain: 10_000})
//	fleet := standin.NewFleet(standin.FleetOptions{})
//	server := &http.Server{Handler: standin.Handler(log, fleet)}
package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
)

// DefaultAppendsPerSecond is the default limit of appends per second.
const DefaultAppendsPerSecond = 300

// LogOptions configures a Log.
type LogOptions struct {
	// Retain is the number of entries to retain. Zero retains all.
	Retain int
	// AppendsPerSecond is the maximum number of appends per second. Zero means
	// DefaultAppendsPerSecond.
	AppendsPerSecond int
	// Seed seeds the random choice of appends whose answer is lost, so that
	// runs are repeatable.
	Seed uint64
}

// LogFaults are the faults injected into a Log until SetFaults replaces them.
type LogFaults struct {
	// Down fails every call with KindUnavailable.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LostAnswers is the share of appends, from 0 to 1, that take effect but
	// whose answer is lost.
	LostAnswers float64
}

// Log is an in-memory infra.Log.
type Log struct {
	opts LogOptions

	mu      sync.Mutex
	faults  LogFaults
	rng     *rand.Rand
	first   structs.Offset
	entries [][]byte
	// appended is closed and replaced on every append.
	appended chan struct{}
	// rateSecond is the second in which the rateUsed appends were counted.
	rateSecond time.Time
	rateUsed   int
	appends    int
}

// NewLog returns an empty log.
func NewLog(opts LogOptions) *Log {
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = DefaultAppendsPerSecond
	}
	return &Log{
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.Seed, 1)),
		appended: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements infra.Log.
func (l *Log) Append(ctx context.Context, entries [][]byte) (structs.Offset, error) {
	if err := l.applyFaults(ctx, "append"); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.overRateLimit() {
		return 0, &infra.Error{Kind: infra.KindRateLimited, Op: "append", Remedy: "wait a second and try again"}
	}
	first := l.nextOffset()
	for _, data := range entries {
		l.entries = append(l.entries, append([]byte(nil), data...))
	}
	l.appends++
	l.trim()
	close(l.appended)
	l.appended = make(chan struct{})
	if l.rng.Float64() < l.faults.LostAnswers {
		return 0, &infra.Error{Kind: infra.KindUnknown, Op: "append", Remedy: "the answer was lost; read the log to learn the outcome"}
	}
	return first, nil
}

// Read implements infra.Log.
func (l *Log) Read(ctx context.Context, from structs.Offset, max int, wait time.Duration) (infra.Batch, error) {
	if err := l.applyFaults(ctx, "read"); err != nil {
		return infra.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, grown, err := l.tryRead(from, max)
		if err != nil || len(batch.Entries) > 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, nil
		}
	}
}

func (l *Log) tryRead(from structs.Offset, max int) (infra.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return infra.Batch{}, nil, unavailableError("read")
	}
	batch := infra.Batch{First: l.first, Next: l.nextOffset()}
	if from < l.first {
		return batch, nil, &infra.Error{
			Kind: infra.KindTrimmed, Op: "read", First: l.first,
			Remedy: "begin from a snapshot at or after the first kept offset",
		}
	}
	for offset := from; offset < l.nextOffset() && len(batch.Entries) < max; offset++ {
		data := l.entries[offset-l.first]
		batch.Entries = append(batch.Entries, infra.Entry{Offset: offset, Data: data})
	}
	return batch, l.appended, nil
}

// applyFaults delays the call and fails it if the log is down.
func (l *Log) applyFaults(ctx context.Context, op string) error {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return unavailableError(op)
		}
	}
	if faults.Down {
		return unavailableError(op)
	}
	return nil
}

// overRateLimit counts one append and reports whether it exceeds the limit of
// the current second.
func (l *Log) overRateLimit() bool {
	now := time.Now().Truncate(time.Second)
	if !now.Equal(l.rateSecond) {
		l.rateSecond = now
		l.rateUsed = 0
	}
	l.rateUsed++
	return l.rateUsed > l.opts.AppendsPerSecond
}

func (l *Log) trim() {
	if l.opts.Retain == 0 || len(l.entries) <= l.opts.Retain {
		return
	}
	drop := len(l.entries) - l.opts.Retain
	l.entries = append([][]byte(nil), l.entries[drop:]...)
	l.first += structs.Offset(drop)
}

func (l *Log) nextOffset() structs.Offset {
	return l.first + structs.Offset(len(l.entries))
}

func unavailableError(op string) error {
	return &infra.Error{Kind: infra.KindUnavailable, Op: op, Remedy: "the platform is down; nothing was done; try again later"}
}
