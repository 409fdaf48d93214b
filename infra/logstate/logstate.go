// Package logstate rebuilds the control state from the platform's log, for
// readers that have no state yet.
//
//	st, err := logstate.Read(ctx, log)
package logstate

import (
	"context"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
)

// maxReadEntries is the maximum number of entries per read.
const maxReadEntries = 256

// ErrNoSnapshot means that the log has trimmed its oldest records and retains
// no complete snapshot that replaces them.
var ErrNoSnapshot = errors.New("the log retains neither the first record nor a complete snapshot: query an entry node or publish again")

// Read replays the log up to its tail and returns the resulting state. It
// starts at the first record or, if the log no longer retains that, from the
// newest complete snapshot.
func Read(ctx context.Context, log infra.Log) (*state.State, error) {
	batch, err := log.Read(ctx, 0, maxReadEntries, 0)
	if infra.KindOf(err) != infra.KindTrimmed {
		return applyToTail(ctx, log, state.New(), batch, err, discardVerdict)
	}
	var perr *infra.Error
	errors.As(err, &perr)
	parts, err := readNewestSnapshot(ctx, log, perr.First)
	if err != nil {
		return nil, err
	}
	st, err := state.Restore(parts)
	if err != nil {
		return nil, err
	}
	return CatchUp(ctx, log, st, discardVerdict)
}

// CatchUp applies the records after st up to the tail of the log and passes the
// verdict of each record to onVerdict.
func CatchUp(ctx context.Context, log infra.Log, st *state.State, onVerdict func(structs.Verdict)) (*state.State, error) {
	batch, err := log.Read(ctx, st.Next(), maxReadEntries, 0)
	return applyToTail(ctx, log, st, batch, err, onVerdict)
}

func discardVerdict(structs.Verdict) {}

func applyToTail(ctx context.Context, log infra.Log, st *state.State, batch infra.Batch, err error, onVerdict func(structs.Verdict)) (*state.State, error) {
	for err == nil {
		for _, entry := range batch.Entries {
			onVerdict(st.ApplyEncoded(entry.Offset, entry.Data))
		}
		if st.Next() >= batch.Next || len(batch.Entries) == 0 {
			return st, nil
		}
		batch, err = log.Read(ctx, st.Next(), maxReadEntries, 0)
	}
	return nil, err
}

// readNewestSnapshot returns the parts of the newest complete snapshot that the
// log retains.
func readNewestSnapshot(ctx context.Context, log infra.Log, from structs.Offset) ([]structs.Record, error) {
	var collector SnapshotCollector
	for {
		batch, err := log.Read(ctx, from, maxReadEntries, 0)
		if err != nil {
			return nil, err
		}
		for _, entry := range batch.Entries {
			collector.Add(entry.Data)
		}
		from += structs.Offset(len(batch.Entries))
		if from >= batch.Next || len(batch.Entries) == 0 {
			return collector.Result()
		}
	}
}
