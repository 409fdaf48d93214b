// Package logstate folds the platform's whole log into a control state, for
// readers that start with nothing.
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

// readEntries bounds the entries of one read.
const readEntries = 256

// ErrNoSnapshot says that the log has lost its oldest records and keeps no
// whole snapshot in their place.
var ErrNoSnapshot = errors.New("the log keeps neither the first record nor a whole snapshot: ask an entry node, or publish again")

// Read folds the log up to its tail. It begins at the first record or, when
// that is no longer kept, from the newest whole snapshot.
func Read(ctx context.Context, log infra.Log) (*state.State, error) {
	batch, err := log.Read(ctx, 0, readEntries, 0)
	if infra.KindOf(err) != infra.KindTrimmed {
		return foldOn(ctx, log, state.New(), batch, err, ignore)
	}
	var perr *infra.Error
	errors.As(err, &perr)
	parts, err := collect(ctx, log, perr.First)
	if err != nil {
		return nil, err
	}
	st, err := state.Restore(parts)
	if err != nil {
		return nil, err
	}
	return Follow(ctx, log, st, ignore)
}

// Follow folds what the log holds beyond a state, up to its tail, and shows
// the verdict of each record.
func Follow(ctx context.Context, log infra.Log, st *state.State, seen func(structs.Verdict)) (*state.State, error) {
	batch, err := log.Read(ctx, st.Next(), readEntries, 0)
	return foldOn(ctx, log, st, batch, err, seen)
}

func ignore(structs.Verdict) {}

func foldOn(ctx context.Context, log infra.Log, st *state.State, batch infra.Batch, err error, seen func(structs.Verdict)) (*state.State, error) {
	for err == nil {
		for _, entry := range batch.Entries {
			seen(st.ApplyEncoded(entry.Offset, entry.Data))
		}
		if st.Next() >= batch.Next || len(batch.Entries) == 0 {
			return st, nil
		}
		batch, err = log.Read(ctx, st.Next(), readEntries, 0)
	}
	return nil, err
}

// collect returns the parts of the newest whole snapshot that the log keeps.
func collect(ctx context.Context, log infra.Log, from structs.Offset) ([]structs.Record, error) {
	var found Collector
	for {
		batch, err := log.Read(ctx, from, readEntries, 0)
		if err != nil {
			return nil, err
		}
		for _, entry := range batch.Entries {
			found.Add(entry.Data)
		}
		from += structs.Offset(len(batch.Entries))
		if from >= batch.Next || len(batch.Entries) == 0 {
			return found.Result()
		}
	}
}
