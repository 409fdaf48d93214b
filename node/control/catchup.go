package control

import (
	"context"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/infra/logstate"
	"wigeonwinch/node/events"
)

// errNoSnapshot means that the log has trimmed records that this node needs
// and holds no complete snapshot in their place.
var errNoSnapshot = logstate.ErrNoSnapshot

// catchUp replaces the state after the log has trimmed records that this node
// has not read. It fetches the state of a connected peer that is ahead or,
// failing that, restores the newest snapshot in the log.
func (f *logFollower) catchUp(ctx context.Context, from structs.Offset) error {
	f.loop.cfg.Events.Record(events.LogOvertaken, events.Fields{Offset: from})
	f.tailWait = 0
	if f.loop.fetchNewestState(ctx) {
		return nil
	}
	parts, err := f.scanForSnapshot(ctx)
	if err != nil {
		return err
	}
	st, err := state.Restore(parts)
	if err != nil {
		return errors.WithMessage(errNoSnapshot, err.Error())
	}
	adopted := false
	f.loop.postAndWait(ctx, func() { adopted = f.loop.adopt(st) })
	if !adopted {
		return errNoSnapshot
	}
	return nil
}

// scanForSnapshot reads the log from its first retained record to the tail and
// returns the parts of the newest complete snapshot.
func (f *logFollower) scanForSnapshot(ctx context.Context) ([]structs.Record, error) {
	var collector logstate.SnapshotCollector
	next, err := f.firstRetained(ctx)
	for err == nil {
		var batch infra.Batch
		batch, err = f.read(ctx, next)
		if err != nil {
			break
		}
		for _, entry := range batch.Entries {
			collector.Add(entry.Data)
		}
		next += structs.Offset(len(batch.Entries))
		if next >= batch.Next || len(batch.Entries) == 0 {
			return collector.Result()
		}
	}
	return nil, err
}

func (f *logFollower) firstRetained(ctx context.Context) (structs.Offset, error) {
	_, err := f.read(ctx, 0)
	var perr *infra.Error
	if errors.As(err, &perr) && perr.Kind == infra.KindTrimmed {
		return perr.First, nil
	}
	return 0, err
}
