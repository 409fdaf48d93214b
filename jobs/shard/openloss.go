package shard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"wigeonwinch/jobs/suspect"
)

// A worker that is cut off by closed connections looks like one that has crashed, also once
// its leases have expired. What its loss adds to the histories of tasks stays open until
// the same life of the worker answers again, which refutes it, or a later life is known,
// which proves it. Open losses are stored with the jobs, so that a successor can close them.

const (
	// maxOpenParts bounds the parts of open losses in the record of one job.
	maxOpenParts = 64
	// presumedLostMS is how long a worker may be gone until its loss counts as certain. It
	// can still be refuted after that.
	presumedLostMS = 60_000
)

// lossID identifies one life of a worker.
type lossID struct {
	worker      string
	incarnation int64
}

// openLosses holds the losses that are neither proved nor refuted. Their parts are with the
// jobs.
type openLosses map[lossID]*openLoss

// openLoss is the loss of a worker that may turn out to be alive.
type openLoss struct {
	lossID
	vm string
	// settledAt is when the worker's runs were settled, or the shard was taken over.
	settledAt int64
	// jobs are the jobs that have parts of the loss.
	jobs map[*job]bool
}

// lossPart is what an open loss has added to the history of one task.
type lossPart struct {
	loss  *openLoss
	key   Key
	added suspect.History
	// alone reports whether the task's run was the only young one on the worker.
	alone bool
}

// location names the VM of the worker, as worker.location does.
func (l *openLoss) location() string { return cmp.Or(l.vm, l.worker) }

// sortedJobs lists the jobs that have parts of the loss by ID.
func (l *openLoss) sortedJobs() []*job {
	return slices.SortedFunc(maps.Keys(l.jobs), func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
}

// openLossOf returns the open loss of a worker, a new one if there is none.
func (c *Core) openLossOf(id lossID, vm string) *openLoss {
	l := c.openLosses[id]
	if l == nil {
		l = &openLoss{lossID: id, vm: vm, settledAt: c.now, jobs: map[*job]bool{}}
		c.openLosses[id] = l
	}
	return l
}

// addLossPart records what a loss has added to the history of a task. If the job's record
// would get too long, the oldest part counts as refuted.
func (c *Core) addLossPart(j *job, p lossPart) {
	j.lossParts = append(j.lossParts, p)
	p.loss.jobs[j] = true
	if len(j.lossParts) <= maxOpenParts {
		return
	}
	oldest := j.lossParts[0]
	c.takeLossParts(j, func(p lossPart) bool { return p == oldest }, c.refutePart)
	c.markDirty(j)
}

// takeLossParts removes parts from a job and passes those to handle whose task is not done.
func (c *Core) takeLossParts(j *job, which func(p lossPart) bool, handle func(j *job, tk *task, p lossPart)) {
	var taken, kept []lossPart
	for _, p := range j.lossParts {
		if which(p) {
			taken = append(taken, p)
		} else {
			kept = append(kept, p)
		}
	}
	j.lossParts = kept
	for _, p := range taken {
		if slices.ContainsFunc(kept, func(other lossPart) bool { return other.loss == p.loss }) {
			continue
		}
		delete(p.loss.jobs, j)
		if len(p.loss.jobs) == 0 {
			delete(c.openLosses, p.loss.lossID)
		}
	}
	for _, p := range taken {
		if tk := j.findTask(p.key); handle != nil && tk != nil && !tk.done && !j.state.Final() {
			handle(j, tk, p)
		}
	}
}

// dropLossParts forgets the parts of a final job.
func (c *Core) dropLossParts(j *job) {
	c.takeLossParts(j, func(lossPart) bool { return true }, nil)
}

// dropLossPartsOf forgets the parts of a task whose history is void.
func (c *Core) dropLossPartsOf(j *job, k Key) {
	c.takeLossParts(j, func(p lossPart) bool { return p.key == k }, nil)
}

// unproved returns the part of a task's history that is not certain.
func (j *job) unproved(k Key, now int64) suspect.History {
	var sum suspect.History
	for _, p := range j.lossParts {
		if p.key == k && now-p.loss.settledAt < presumedLostMS {
			sum = sum.With(p.added)
		}
	}
	return sum
}

// refuteLoss takes back what the loss of a worker has added to the histories of tasks. The
// worker has answered a poll that was sent after the loss.
func (c *Core) refuteLoss(w *worker, sentAt int64) {
	l := c.openLosses[lossID{w.info.ID, w.incarnation}]
	if l != nil && sentAt >= l.settledAt {
		c.closeLoss(l, "loss_refuted", c.refutePart)
	}
}

func (c *Core) refutePart(_ *job, tk *task, p lossPart) {
	tk.history = tk.history.Without(p.added)
	if i := slices.Index(tk.crashedOn, p.loss.location()); i >= 0 {
		tk.crashedOn = slices.Delete(tk.crashedOn, i, i+1)
	}
}

// proveLosses closes the losses of workers of which the list has a later life, under the same
// ID or on the same VM. It gives up the tasks whose guilt is proved by that.
func (c *Core) proveLosses(list []Worker) {
	if len(c.openLosses) == 0 {
		return
	}
	newestByID, newestOnVM := map[string]int64{}, map[string]int64{}
	for _, info := range list {
		newestByID[info.ID] = max(newestByID[info.ID], info.Incarnation)
		if info.VM != "" {
			newestOnVM[info.VM] = max(newestOnVM[info.VM], info.Incarnation)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.openLosses), lossID.compare) {
		l := c.openLosses[id]
		if max(newestByID[l.worker], newestOnVM[l.vm]) > l.incarnation {
			c.closeLoss(l, "loss_proved", c.provePart)
		}
	}
}

func (i lossID) compare(other lossID) int {
	return cmp.Or(cmp.Compare(i.worker, other.worker), cmp.Compare(i.incarnation, other.incarnation))
}

func (c *Core) provePart(j *job, tk *task, p lossPart) {
	if tk.current != nil && tk.current.harmless(c.now) {
		return
	}
	if tk.history.GivenUp(j.unproved(p.key, c.now), p.alone) {
		c.giveUpTask(j, RunRef{p.key, tk.lastRun}, p.loss.worker)
	}
}

// closeLoss removes a loss and passes its parts to handle.
func (c *Core) closeLoss(l *openLoss, outcome string, handle func(j *job, tk *task, p lossPart)) {
	c.event(Event{Name: EventWorker, Worker: l.worker, Outcome: outcome, Detail: fmt.Sprintf("jobs=%d", len(l.jobs)), AgeMS: c.now - l.settledAt})
	for _, j := range l.sortedJobs() {
		c.markDirty(j)
		c.takeLossParts(j, func(p lossPart) bool { return p.loss == l }, handle)
	}
}

// lossRecord is the part of an open loss that concerns one task.
type lossRecord struct {
	_                             struct{} `cbor:",toarray"`
	Worker, VM                    string
	Incarnation                   int64
	Occurrence, Step, Index       int
	Prompt, Suspicions, Immediate int
	Alone                         bool
}

func encodeLosses(j *job) []lossRecord {
	var out []lossRecord
	for _, p := range j.lossParts {
		out = append(out, lossRecord{Worker: p.loss.worker, VM: p.loss.vm, Incarnation: p.loss.incarnation,
			Occurrence: p.key.Occurrence, Step: p.key.Step, Index: p.key.Index,
			Prompt: p.added.Prompt, Suspicions: p.added.Suspicions, Immediate: p.added.Immediate, Alone: p.alone})
	}
	return out
}

// restoreLosses restores the open losses that concern a job. Every part adds one crash.
func (c *Core) restoreLosses(j *job, records []lossRecord) {
	for _, rec := range records {
		c.addLossPart(j, lossPart{loss: c.openLossOf(lossID{rec.Worker, rec.Incarnation}, rec.VM),
			key: Key{j.spec.ID, rec.Occurrence, rec.Step, rec.Index}, alone: rec.Alone,
			added: suspect.History{Crashes: 1, Prompt: rec.Prompt, Suspicions: rec.Suspicions, Immediate: rec.Immediate}})
	}
}
