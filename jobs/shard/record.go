package shard

import (
	"github.com/pkg/errors"

	"wigeonwinch/fleet/codec"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/jobs/suspect"
)

// recordVersion is incremented when the stored format changes incompatibly.
const recordVersion = 1

// The reader admits whatever fits into a record of the store.
var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{ArrayElements: maxRecordBytes, MapPairs: 1 << 8, NestedLevels: 12})
)

const (
	// maxRecordBytes is the store's limit for one record.
	maxRecordBytes = 1 << 18
	// The bytes that an open occurrence, each of its steps and each of its tasks add to
	// their job's record at most. Checkpoints are taken as 16 bytes long.
	occurrenceBytes, stepBytes   = 8, 6
	openTaskBytes, doneTaskBytes = 72, 8
	// maxOpenBytes bounds the open occurrences in a record, beside the job itself.
	maxOpenBytes = 200_000
)

// recordBytes returns what an occurrence with the given number of open tasks adds to the
// job's record at most.
func (j *job) recordBytes(openTasks int) int {
	done := j.spec.Tasks() - openTasks
	return occurrenceBytes + len(j.spec.Steps)*stepBytes + openTasks*openTaskBytes + done*doneTaskBytes
}

// Record is one keyed record of the shard; an empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// bytes returns what the record adds to an append.
func (r Record) bytes() int { return len(r.Key) + len(r.Value) }

type jobRecord struct {
	Version     int        `cbor:"0,keyasint"`
	Job         spec.Job   `cbor:"1,keyasint"`
	Service     string     `cbor:"2,keyasint"`
	Priority    int        `cbor:"3,keyasint,omitempty"`
	MaxAttempts int        `cbor:"4,keyasint,omitempty"`
	AcceptedMS  int64      `cbor:"5,keyasint"`
	State       spec.State `cbor:"6,keyasint"`
	// Begun reports whether a worker has begun a task.
	Begun          bool               `cbor:"7,keyasint,omitempty"`
	NextOccurrence int                `cbor:"8,keyasint,omitempty"`
	Occurrences    []occurrenceRecord `cbor:"9,keyasint,omitempty"`
	SlackMS        int64              `cbor:"10,keyasint,omitempty"`
	// Crashes lists the tasks that were on workers when these crashed.
	Crashes []crashRecord `cbor:"11,keyasint,omitempty"`
	// VMs lists the VMs of the workers that the tasks name.
	VMs []workerVM `cbor:"12,keyasint,omitempty"`
	// Advice is the timing of the service that permits the queue's placements; nil if none
	// does.
	Advice *AdviceTiming `cbor:"13,keyasint,omitempty"`
	// Times are the run times expected of the steps, Stretch the part of the critical
	// path in SlackMS; empty in records of earlier versions.
	Times   []stepTimes `cbor:"14,keyasint,omitempty"`
	Stretch float64     `cbor:"15,keyasint,omitempty"`
	// Finished is what was learned from the job's finished steps; also kept for
	// final jobs, so that a successor knows what this owner has learned lately.
	Finished []finishedStep `cbor:"16,keyasint,omitempty"`
	// Learned reports whether all of Times were learned when the job came.
	Learned bool `cbor:"17,keyasint,omitempty"`
	// OpenLosses are the parts of Crashes that may be refuted; see openLoss.
	OpenLosses []lossRecord `cbor:"18,keyasint,omitempty"`
}

// workerVM is a worker and the VM on which it runs.
type workerVM struct {
	_          struct{} `cbor:",toarray"`
	Worker, VM string
}

// crashRecord is the history of one task.
type crashRecord struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
	// The remaining fields are those of suspect.History.
	Crashes, Prompt, Suspicions, Immediate int
}

func (r *crashRecord) history() suspect.History {
	return suspect.History{Crashes: r.Crashes, Prompt: r.Prompt, Suspicions: r.Suspicions, Immediate: r.Immediate}
}

type occurrenceRecord struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Steps  []stepRecord
}

type stepRecord struct {
	_        struct{} `cbor:",toarray"`
	Failures int
	Tasks    []taskRecord
}

type taskRecord struct {
	_           struct{} `cbor:",toarray"`
	LastRun     int
	LastEnded   int
	Failures    int
	Done        bool
	Checkpoint  string
	Worker      string
	Incarnation int64
}

// encodeJob returns the record of a job. Final jobs keep only what a caller
// may query.
func (c *Core) encodeJob(j *job) (Record, error) {
	r := jobRecord{
		Version: recordVersion, Job: j.spec, Service: j.service, Priority: j.priority,
		MaxAttempts: j.maxAttempts, AcceptedMS: j.acceptedMS, State: j.state, Begun: j.begun,
		NextOccurrence: j.nextOccurrence, SlackMS: j.deadline - j.firstSeenAt, Advice: j.advice,
		Finished: j.finished,
	}
	if !j.state.Final() {
		r.Times, r.Stretch, r.Learned = j.times, j.stretch, j.learned
	} else {
		r.Job = spec.Job{ID: j.spec.ID, Queue: j.spec.Queue, Customer: j.spec.Customer}
	}
	for _, number := range sortedKeys(j.occurrences) {
		r.Occurrences = append(r.Occurrences, encodeOccurrence(j.occurrences[number]))
		r.Crashes = append(r.Crashes, encodeCrashes(j.occurrences[number])...)
	}
	r.VMs, r.OpenLosses = encodeVMs(j), encodeLosses(j)
	value, err := encMode.Marshal(r)
	if err != nil {
		return Record{}, errors.Wrapf(err, "encode job %s", j.spec.ID)
	}
	return Record{Key: jobKey(j.spec.ID), Value: value}, nil
}

func encodeOccurrence(o *occurrence) occurrenceRecord {
	out := occurrenceRecord{Number: o.number}
	for s := range o.steps {
		st := stepRecord{Failures: o.steps[s].failures}
		for t := range o.steps[s].tasks {
			st.Tasks = append(st.Tasks, encodeTask(&o.steps[s].tasks[t], o.steps[s].checkpoint(t)))
		}
		out.Steps = append(out.Steps, st)
	}
	return out
}

func encodeCrashes(o *occurrence) []crashRecord {
	var out []crashRecord
	for s := range o.steps {
		for t := range o.steps[s].tasks {
			if tk := &o.steps[s].tasks[t]; !tk.done && tk.history != (suspect.History{}) {
				h := tk.history
				out = append(out, crashRecord{Occurrence: o.number, Step: s, Index: t, Crashes: h.Crashes, Prompt: h.Prompt, Suspicions: h.Suspicions, Immediate: h.Immediate})
			}
		}
	}
	return out
}

func encodeVMs(j *job) []workerVM {
	vms := map[string]string{}
	j.eachRun(func(r *run) {
		if r.worker.info.VM != "" {
			vms[r.worker.info.ID] = r.worker.info.VM
		}
	})
	out := make([]workerVM, 0, len(vms))
	for _, id := range sortedKeys(vms) {
		out = append(out, workerVM{Worker: id, VM: vms[id]})
	}
	return out
}

func encodeTask(t *task, checkpoint string) taskRecord {
	rec := taskRecord{LastRun: t.lastRun, LastEnded: t.lastEnded, Failures: t.failures, Done: t.done}
	if t.done {
		return rec
	}
	rec.Checkpoint = checkpoint
	if t.current != nil {
		rec.Worker, rec.Incarnation = t.current.worker.info.ID, t.current.worker.incarnation
	}
	return rec
}

// jobKeyPrefix precedes the ID in the key of a job's record.
const jobKeyPrefix = "j/"

func jobKey(id string) string { return jobKeyPrefix + id }

// restoreJob rebuilds a job from its record. Runs with a worker stay
// unconfirmed until the worker's lists or the expiry of its leases settle
// them.
func (c *Core) restoreJob(value []byte) error {
	var rec jobRecord
	if err := decMode.Unmarshal(value, &rec); err != nil {
		return errors.Wrap(err, "decode job record")
	}
	if rec.Version != recordVersion {
		return errors.Errorf("unsupported job record version %d: this program reads version %d", rec.Version, recordVersion)
	}
	rec.Job.Steps = boundEstimates(rec.Job.Steps)
	j := &job{
		spec: rec.Job, service: rec.Service, priority: rec.Priority, maxAttempts: rec.MaxAttempts, advice: rec.Advice,
		acceptedMS: rec.AcceptedMS, state: rec.State, storedState: rec.State, stored: true,
		begun: rec.Begun, stretch: rec.Stretch, learned: rec.Learned, finished: rec.Finished, nextOccurrence: rec.NextOccurrence, occurrences: map[int]*occurrence{},
	}
	age := min(max(c.wallMS-rec.AcceptedMS, 0), maxRestoredAgeMS)
	j.firstSeenAt = c.now - age
	if len(rec.Times) == len(rec.Job.Steps) {
		j.times = rec.Times
	}
	j.deadline = j.firstSeenAt + rec.SlackMS
	c.jobs[j.spec.ID] = j
	c.learnFromRecord(j)
	if j.state.Final() {
		j.finalAt = c.now
		c.settle(j)
		return nil
	}
	for _, o := range rec.Occurrences {
		j.occurrences[o.Number] = newOccurrence(&j.spec, o.Number)
	}
	c.holdState(j)
	for _, r := range rec.Crashes {
		c.restoreCrashes(j, r)
	}
	for i := range rec.Occurrences {
		c.restoreOccurrence(j, &rec.Occurrences[i])
	}
	c.restoreLosses(j, rec.OpenLosses)
	for _, v := range rec.VMs {
		if w := c.workers[v.Worker]; w != nil && w.info.VM == "" {
			w.info.VM = v.VM
		}
	}
	c.enqueueRestored(j)
	return nil
}

func (c *Core) restoreOccurrence(j *job, rec *occurrenceRecord) {
	o := j.occurrences[rec.Number]
	for s := range rec.Steps {
		if s >= len(o.steps) {
			break
		}
		o.steps[s].failures = rec.Steps[s].Failures
		for t := range rec.Steps[s].Tasks {
			if t < len(o.steps[s].tasks) {
				c.restoreTask(j, o, s, t, &rec.Steps[s].Tasks[t])
			}
		}
	}
}

// restoreCrashes restores the history of a task.
func (c *Core) restoreCrashes(j *job, rec crashRecord) {
	tk := j.findTask(Key{j.spec.ID, rec.Occurrence, rec.Step, rec.Index})
	if tk == nil {
		return
	}
	tk.history = rec.history()
	tk.suspectedAt = c.now
}

func (c *Core) restoreTask(j *job, o *occurrence, s, t int, rec *taskRecord) {
	tk := &o.steps[s].tasks[t]
	tk.lastRun, tk.lastEnded, tk.failures, tk.done = rec.LastRun, rec.LastEnded, rec.Failures, rec.Done
	if tk.done {
		o.steps[s].openTasks--
		o.openTasks--
		return
	}
	if rec.Checkpoint != "" {
		j.saveCheckpoint(Key{j.spec.ID, o.number, s, t}, rec.Checkpoint)
	}
	j.remainingWork += j.stepWork(s)
	if rec.Worker == "" {
		return
	}
	w := c.ensureWorker(rec.Worker, rec.Incarnation)
	if rec.Incarnation > w.incarnation {
		c.resetIncarnation(w, rec.Incarnation)
	}
	key := Key{j.spec.ID, o.number, s, t}
	r := &run{job: j, key: key, number: tk.lastRun, worker: w, phase: phaseStartSent, reserved: j.spec.Steps[s].Reservation(), phaseSince: c.now, pacePercent: 100, unconfirmed: true}
	if rec.Incarnation < w.incarnation {
		// Another record shows that this incarnation is over. The start may have
		// reached the next one.
		r.doubt = &doubt{suspect.Assess(suspect.Loss{Runs: []suspect.Run{{History: tk.history}}})[0]}
		c.expectLongestLease(w)
	}
	tk.current = r
	w.addRun(r)
	c.beginProbation(r, c.isolation(tk, j.spec.Steps[s].Gang))
	if j.spec.Steps[s].Gang {
		o.steps[s].gangRun = tk.lastRun
	}
}
