package jobhost

import (
	"slices"
	"sort"

	"wigeonwinch/jobs/relay"
	"wigeonwinch/jobs/shard"
	"wigeonwinch/node/deps"
	"wigeonwinch/node/events"
)

func (h *Host) applyWorkerRecords(records []shard.Record, whole bool) {
	former := h.workers
	if whole {
		h.workers, h.unnamedWorkers = map[string]deps.WorkerChange{}, map[string]deps.WorkerChange{}
	}
	for _, r := range records {
		if r.Key == "" {
			continue
		}
		change, err := h.cfg.Codec.Worker(r)
		if err != nil {
			h.record(events.RecordUnreadable, events.Fields{Detail: "worker", Err: err})
		}
		if change.Removed {
			delete(h.workers, change.ID)
			delete(h.unnamedWorkers, change.ID)
			continue
		}
		h.applyWorkerEntry(change, former)
	}
	h.workersKnown.Store(true)
	for _, s := range h.sortedOwned() {
		h.updateShardWorkers(s)
	}
}

// applyWorkerEntry takes over an entry. One whose service the configuration does not name may
// come from another writer: the entry before holds, unless that had the same service.
func (h *Host) applyWorkerEntry(change deps.WorkerChange, former map[string]deps.WorkerChange) {
	before, known := former[change.ID]
	if h.namesService(change.Worker.Service) || known && before.Worker.Service == change.Worker.Service {
		h.workers[change.ID] = change
		delete(h.unnamedWorkers, change.ID)
		return
	}
	h.unnamedWorkers[change.ID] = change
	if known {
		h.workers[change.ID] = before
	}
}

// namesService reports whether the configuration in force names a service.
func (h *Host) namesService(service string) bool {
	cfg := h.config.Load()
	return cfg == nil || slices.ContainsFunc(cfg.Pools, func(p deps.Pool) bool { return p.Service == service })
}

// nameWorkers takes over the entries whose service a new configuration names.
func (h *Host) nameWorkers() {
	named := false
	for id, change := range h.unnamedWorkers {
		if h.namesService(change.Worker.Service) {
			h.workers[id], named = change, true
			delete(h.unnamedWorkers, id)
		}
	}
	if !named {
		return
	}
	for _, s := range h.sortedOwned() {
		h.updateShardWorkers(s)
	}
}

// workersOf lists the workers of a shard. Those of a service that the configuration does not
// name any more count if the shard has jobs for it.
func (h *Host) workersOf(p deps.Partition, hasJobsFor func(service string) bool) []shard.Worker {
	var list []shard.Worker
	for _, w := range h.workers {
		if h.partitionOf(w.Worker.Service) == p {
			list = append(list, w.Worker)
		}
	}
	for id, w := range h.unnamedWorkers {
		if _, known := h.workers[id]; !known && h.partitionOf(w.Worker.Service) == p && hasJobsFor(w.Worker.Service) {
			list = append(list, w.Worker)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// updateShardWorkers sets the workers of a shard to those of its services.
func (h *Host) updateShardWorkers(s *ownedShard) {
	if s.core == nil || !h.workersKnown.Load() {
		return
	}
	list := h.workersOf(s.partition, s.core.HasJobsFor)
	relayWorkers := make([]relay.Worker, 0, len(list))
	for _, w := range list {
		relayWorkers = append(relayWorkers, relay.Worker{ID: w.ID, Zone: w.Zone})
	}
	if !slices.Equal(s.relayWorkers, relayWorkers) {
		s.relayWorkers = relayWorkers
		h.relays.plannedAt = 0
	}
	s.core.SetWorkers(monotonicMS(), list)
	s.core.ConfirmWorkers(h.workersReadAt)
}
