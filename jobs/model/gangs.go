package model

import (
	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
)

// gangTimeoutMS is how long a member waits for the others.
const gangTimeoutMS = 3_000

// member is a run of a gang on its worker.
type member struct {
	worker *worker
	run    *run
}

// gang returns the members of a run's gang that are on workers, by worker.
func (w *World) gang(ref shard.RunRef) []member {
	var members []member
	for _, k := range w.workers {
		for _, r := range k.sortedRuns() {
			other := r.ref
			other.Key.Index = ref.Key.Index
			if k.up && other == ref {
				members = append(members, member{k, r})
			}
		}
	}
	return members
}

// joinGang lets a member wait for the others. They end together, after the run time
// of the last.
func (k *worker) joinGang(r *run, st *spec.Step) {
	w := k.world
	r.gang = true
	if members := w.gang(r.ref); len(members) == st.Count {
		w.after(max(w.runTime(r, st), 1), func() { w.endGang(members, shard.EndDone) })
		for _, m := range members {
			m.run.working = true
		}
		return
	}
	w.after(gangTimeoutMS, func() {
		if k.running[r.ref.Key] == r && !r.working {
			k.endRun(r, shard.EndAlone)
		}
	})
}

// endGang ends the members that still run.
func (w *World) endGang(members []member, kind shard.EndKind) {
	for _, m := range members {
		m.run.gang = false
	}
	for _, m := range members {
		if m.worker.running[m.run.ref.Key] == m.run {
			m.worker.endRun(m.run, kind)
		}
	}
}

// breakGang ends the members of a gang that has lost one.
func (w *World) breakGang(r *run, kind shard.EndKind) {
	if !r.gang || !r.working || kind == shard.EndDone {
		return
	}
	w.endGang(w.gang(r.ref), shard.EndBroken)
}
