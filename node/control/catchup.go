package control

import (
	"context"

	"github.com/pkg/errors"

	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/events"
	"wigeonwinch/platform"
)

// errNoSnapshot says that the log no longer covers this node's state.
var errNoSnapshot = errors.New("the log keeps neither the next record nor a whole snapshot: the state must come from a peer, or be published again")

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
	var found collector
	next, err := f.firstKept(ctx)
	for err == nil {
		var batch platform.Batch
		batch, err = f.read(ctx, next)
		if err != nil {
			break
		}
		for _, entry := range batch.Entries {
			found.add(entry.Data)
		}
		next += structs.Offset(len(batch.Entries))
		if next >= batch.Next || len(batch.Entries) == 0 {
			return found.result()
		}
	}
	return nil, err
}

func (f *follower) firstKept(ctx context.Context) (structs.Offset, error) {
	_, err := f.read(ctx, 0)
	var perr *platform.Error
	if errors.As(err, &perr) && perr.Kind == platform.KindTrimmed {
		return perr.First, nil
	}
	return 0, err
}

// collector puts together the newest whole snapshot of a run of records.
type collector struct {
	current []structs.Record
	whole   []structs.Record
}

func (c *collector) add(data []byte) {
	rec, err := structs.DecodeRecord(data)
	if err != nil || rec.Snapshot == nil {
		return
	}
	if rec.Snapshot.Part == 0 {
		c.current = nil
	}
	if len(c.current) > 0 && !sameSnapshot(c.current[0], rec) {
		return
	}
	c.current = append(c.current, rec)
	if len(c.current) == rec.Snapshot.Parts && newer(c.current, c.whole) {
		c.whole = c.current
		c.current = nil
	}
}

func sameSnapshot(a, b structs.Record) bool {
	return a.Snapshot.Through == b.Snapshot.Through && a.Snapshot.Digest == b.Snapshot.Digest
}

func newer(a, b []structs.Record) bool {
	return len(b) == 0 || a[0].Snapshot.Through >= b[0].Snapshot.Through
}

func (c *collector) result() ([]structs.Record, error) {
	if len(c.whole) == 0 {
		return nil, errNoSnapshot
	}
	return c.whole, nil
}
