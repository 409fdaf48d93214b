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

// errNoSnapshot says that the log no longer covers this node's state.
var errNoSnapshot = logstate.ErrNoSnapshot

// catchUp restores a state after retention has overtaken this node: from a
// connected peer if one is ahead, otherwise from the newest snapshot that the
// log keeps.
func (f *follower) catchUp(ctx context.Context, from structs.Offset) error {
	f.loop.cfg.Events.Record(events.LogOvertaken, events.Fields{Offset: from})
	f.wait = 0
	if f.loop.fetchFromBest(ctx) {
		return nil
	}
	parts, err := f.scan(ctx)
	if err != nil {
		return err
	}
	st, err := state.Restore(parts)
	if err != nil {
		return errors.WithMessage(errNoSnapshot, err.Error())
	}
	adopted := false
	f.loop.ask(ctx, func() { adopted = f.loop.adopt(st) })
	if !adopted {
		return errNoSnapshot
	}
	return nil
}

// scan reads the log from its first kept record to the tail and returns the
// parts of the newest whole snapshot.
func (f *follower) scan(ctx context.Context) ([]structs.Record, error) {
	var found logstate.Collector
	next, err := f.firstKept(ctx)
	for err == nil {
		var batch infra.Batch
		batch, err = f.read(ctx, next)
		if err != nil {
			break
		}
		for _, entry := range batch.Entries {
			found.Add(entry.Data)
		}
		next += structs.Offset(len(batch.Entries))
		if next >= batch.Next || len(batch.Entries) == 0 {
			return found.Result()
		}
	}
	return nil, err
}

func (f *follower) firstKept(ctx context.Context) (structs.Offset, error) {
	_, err := f.read(ctx, 0)
	var perr *infra.Error
	if errors.As(err, &perr) && perr.Kind == infra.KindTrimmed {
		return perr.First, nil
	}
	return 0, err
}
