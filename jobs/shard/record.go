package shard

import (
	"github.com/pkg/errors"

	"wigeonwinch/fleet/codec"
	"wigeonwinch/jobs/spec"
)

// recordVersion is raised when the stored form changes incompatibly.
const recordVersion = 1

var (
	encMode = codec.Encoder()
	decMode = codec.Decoder(codec.Limits{ArrayElements: 1 << 13, MapPairs: 1 << 8, NestedLevels: 12})
)

// Record is one keyed record of the shard; an empty value drops the key.
type Record struct {
	Key   string
	Value []byte
}

type jobRecord struct {
	Version     int                `cbor:"0,keyasint"`
	Job         spec.Job           `cbor:"1,keyasint"`
	Service     string             `cbor:"2,keyasint"`
	Priority    int                `cbor:"3,keyasint,omitempty"`
	MaxAttempts int                `cbor:"4,keyasint,omitempty"`
	AcceptedMS  int64              `cbor:"5,keyasint"`
	State       spec.State         `cbor:"6,keyasint"`
	Begun       bool               `cbor:"7,keyasint,omitempty"`
	Next        int                `cbor:"8,keyasint,omitempty"`
	Open        []occurrenceRecord `cbor:"9,keyasint,omitempty"`
	SlackMS     int64              `cbor:"10,keyasint,omitempty"`
}

type occurrenceRecord struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Steps  []stepRecord
}

type stepRecord struct {
	_     struct{} `cbor:",toarray"`
	Fails int
	Tasks []taskRecord
}

type taskRecord struct {
	_       struct{} `cbor:",toarray"`
	Run     int
	Settled int
	Fails   int
	Done    bool
	Saved   string
	Worker  string
	Born    int64
}

// record returns the stored form of a job. Final jobs keep only what a
// caller may ask for.
func (c *Core) record(j *job) (Record, error) {
	r := jobRecord{
		Version: recordVersion, Job: j.spec, Service: j.service, Priority: j.priority,
		MaxAttempts: j.maxAttempts, AcceptedMS: j.acceptedMS, State: j.state, Begun: j.begun,
		Next: j.next, SlackMS: j.deadline - j.firstSeen,
	}
	if j.state.Final() {
		r.Job = spec.Job{ID: j.spec.ID, Queue: j.spec.Queue}
	}
	for _, number := range sortedKeys(j.occurrences) {
		r.Open = append(r.Open, recordOccurrence(j.occurrences[number]))
	}
	value, err := encMode.Marshal(r)
	if err != nil {
		return Record{}, errors.Wrapf(err, "job %s can't be encoded", j.spec.ID)
	}
	return Record{Key: jobKey(j.spec.ID), Value: value}, nil
}

func recordOccurrence(o *occurrence) occurrenceRecord {
	out := occurrenceRecord{Number: o.number}
	for s := range o.steps {
		st := stepRecord{Fails: o.steps[s].fails}
		for t := range o.steps[s].tasks {
			st.Tasks = append(st.Tasks, recordTask(&o.steps[s].tasks[t]))
		}
		out.Steps = append(out.Steps, st)
	}
	return out
}

func recordTask(t *task) taskRecord {
	rec := taskRecord{Run: t.run, Settled: t.settled, Fails: t.fails, Done: t.done}
	if t.done {
		return rec
	}
	rec.Saved = t.saved
	if t.current != nil {
		rec.Worker, rec.Born = t.current.on.info.ID, t.current.on.born
	}
	return rec
}

func jobKey(id string) string { return "j/" + id }

// restore rebuilds one job from its record. Runs that were ordered stay
// unproven on their workers until lists or lapsed leases settle them.
func (c *Core) restore(value []byte) error {
	var rec jobRecord
	if err := decMode.Unmarshal(value, &rec); err != nil {
		return errors.Wrap(err, "a job record can't be decoded")
	}
	if rec.Version != recordVersion {
		return errors.Errorf("a job record has version %d: this program reads version %d", rec.Version, recordVersion)
	}
	j := &job{
		spec: rec.Job, service: rec.Service, priority: rec.Priority, maxAttempts: rec.MaxAttempts,
		acceptedMS: rec.AcceptedMS, state: rec.State, shown: rec.State, stored: true,
		begun: rec.Begun, next: rec.Next, occurrences: map[int]*occurrence{},
	}
	age := min(max(c.wallMS-rec.AcceptedMS, 0), maxRestoredAgeMS)
	j.firstSeen = c.now - age
	j.deadline = j.firstSeen + rec.SlackMS
	c.jobs[j.spec.ID] = j
	if j.state.Final() {
		j.finalAt = c.now
		c.finals = append(c.finals, j)
		return nil
	}
	for i := range rec.Open {
		c.restoreOccurrence(j, &rec.Open[i])
	}
	c.countOpen(j)
	return nil
}

func (c *Core) restoreOccurrence(j *job, rec *occurrenceRecord) {
	o := newOccurrence(&j.spec, rec.Number)
	j.occurrences[rec.Number] = o
	for s := range rec.Steps {
		if s >= len(o.steps) {
			break
		}
		o.steps[s].fails = rec.Steps[s].Fails
		for t := range rec.Steps[s].Tasks {
			if t < len(o.steps[s].tasks) {
				c.restoreTask(j, o, s, t, &rec.Steps[s].Tasks[t])
			}
		}
	}
}

func (c *Core) restoreTask(j *job, o *occurrence, s, t int, rec *taskRecord) {
	tk := &o.steps[s].tasks[t]
	tk.run, tk.settled, tk.fails, tk.done, tk.saved = rec.Run, rec.Settled, rec.Fails, rec.Done, rec.Saved
	if tk.done {
		o.steps[s].open--
		o.open--
		return
	}
	j.left += j.spec.Steps[s].Work()
	if rec.Worker == "" {
		return
	}
	w := c.worker(rec.Worker, rec.Born)
	if rec.Born > w.born {
		c.reborn(w, rec.Born)
	}
	if rec.Born < w.born {
		return
	}
	key := Key{j.spec.ID, o.number, s, t}
	r := &run{job: j, key: key, number: tk.run, on: w, phase: ordered, room: j.spec.Steps[s].Room(), since: c.now, share: 100, unproven: true}
	tk.current = r
	w.add(r)
	if j.spec.Steps[s].Gang {
		o.steps[s].gangRun = tk.run
	}
}
