package soak

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of the store, as in the settings of a small deployment.
const (
	storeParts       = 12
	storeRecordBytes = 262_144
	storeCallBytes   = 2_097_152
	storePageItems   = 500
	storePageBytes   = 1 << 20
	storeKeepS       = 20
	storeAppendTime  = 2 * time.Millisecond
	storeBytesPerS   = 20_000_000
	// storeRememberedAppends is how many appends of a partition can be repeated.
	storeRememberedAppends = 5
	readHeaderBytes        = 16
	recordLengthBytes      = 4
	maxReadWaitMS          = 30_000
)

// Topics that the operator and the workers write.
const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
	// topicNodes is where the nodes write their heartbeats, with their addresses.
	topicNodes  = "keyed.nodes"
	keyedPrefix = "keyed."
)

// Store is the metadata store: partitions of a log with the newest record of each
// key.
type Store struct {
	mu    sync.Mutex
	parts map[partitionName]*partition
	// down makes the store answer all calls of nodes with 503.
	down bool
}

type partitionName struct{ topic, part string }

type partition struct {
	// appending admits one append at a time.
	appending sync.Mutex
	first     int64
	records   []storedRecord
	newest    map[string]newestRecord
	changed   chan struct{}
	producers map[string]*producer
}

type storedRecord struct {
	data []byte
	at   time.Time
}

type newestRecord struct {
	value  []byte
	offset int64
}

// producer is what a partition knows of one producer.
type producer struct {
	epoch, sequence int64
	recent          []pastAppend
}

type pastAppend struct{ epoch, sequence, offset, end int64 }

// NewStore returns an empty store.
func NewStore() *Store { return &Store{parts: map[partitionName]*partition{}} }

// SetDown makes the store refuse all calls of nodes, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put writes a record of the operator or of a worker.
func (s *Store) Put(topic, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").add(true, [][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
	return nil
}

// Delete drops a key.
func (s *Store) Delete(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").add(true, [][]byte{append([]byte{byte(len(key))}, key...)})
}

// partition returns a partition, which it creates on first use. The caller holds
// the lock.
func (s *Store) partition(topic, part string) *partition {
	name := partitionName{topic, part}
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]newestRecord{}, changed: make(chan struct{}), producers: map[string]*producer{}}
		s.parts[name] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// add appends valid records and drops expired ones. The caller holds the lock.
func (p *partition) add(keyed bool, records [][]byte) {
	now := time.Now()
	for _, r := range records {
		if keyed {
			p.keepNewest(r)
		}
		p.records = append(p.records, storedRecord{r, now})
	}
	expired := 0
	for expired < len(p.records) && now.Sub(p.records[expired].at) > storeKeepS*time.Second {
		expired++
	}
	p.trim(p.first + int64(expired))
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *partition) keepNewest(record []byte) {
	if len(record) == 0 || int(record[0]) >= len(record) {
		return
	}
	key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = newestRecord{value, p.end()}
}

// trim drops the records before an offset.
func (p *partition) trim(before int64) {
	n := min(max(before-p.first, 0), int64(len(p.records)))
	p.records = slices.Clone(p.records[n:])
	p.first += n
}

// StoreAccess is the way of one node to the store.
type StoreAccess struct {
	store *Store
	// view translates a record of a topic for the node.
	view func(topic string, record []byte) []byte

	mu sync.Mutex
	// lostShare is the share of calls that are carried out and not answered.
	lostShare float64
	// refuses makes the store answer the node's calls with 503.
	refuses bool
	random  *rand.Rand
}

// Access returns the way of a node to the store. The node reads records as view
// returns them.
func (s *Store) Access(view func(topic string, record []byte) []byte, random *rand.Rand) *StoreAccess {
	return &StoreAccess{store: s, view: view, random: random}
}

// LoseAnswers makes the store carry out a share of the node's calls without an
// answer.
func (a *StoreAccess) LoseAnswers(share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lostShare = share
}

// Refuse makes the store turn the node away, or serve it again.
func (a *StoreAccess) Refuse(refuses bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuses = refuses
}

func (a *StoreAccess) isRefused() bool {
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.store.down || a.refuses
}

func (a *StoreAccess) losesAnswer() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lostShare > 0 && a.random.Float64() < a.lostShare
}

// ServeHTTP implements http.Handler.
func (a *StoreAccess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.isRefused() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if a.losesAnswer() {
		w = unanswered{w}
	}
	switch r.URL.Path {
	case "/wigeonwinch/log-append":
		a.store.serveAppend(w, r)
	case "/wigeonwinch/log-read":
		a.serveRead(w, r)
	case "/wigeonwinch/log-newest":
		a.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

// unanswered breaks the connection in place of an answer.
type unanswered struct{ http.ResponseWriter }

func (unanswered) WriteHeader(int) { panic(http.ErrAbortHandler) }

func (unanswered) Write([]byte) (int, error) { panic(http.ErrAbortHandler) }

func answerJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// splitRecords splits the body of an append.
func splitRecords(body []byte) ([][]byte, error) {
	if len(body) > storeCallBytes {
		return nil, errors.Errorf("a call has %d bytes; at most %d are allowed", len(body), storeCallBytes)
	}
	var out [][]byte
	for len(body) > 0 {
		if len(body) < recordLengthBytes {
			return nil, errors.New("the length of a record is cut off")
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[recordLengthBytes:]
		if n > len(body) || n > storeRecordBytes {
			return nil, errors.Errorf("a record of %d bytes is too long or cut off", n)
		}
		out = append(out, body[:n])
		body = body[n:]
	}
	return out, nil
}

func intParameter(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == topicOperator || topic == topicWorkers {
		answerJSON(w, http.StatusForbidden, map[string]string{"error": "this topic is read only"})
		return
	}
	records, err := splitRecords(body)
	if err != nil {
		answerJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	p := s.partition(topic, q.Get("part"))
	s.mu.Unlock()
	p.appending.Lock()
	time.Sleep(storeAppendTime + time.Duration(len(body))*time.Second/storeBytesPerS)
	s.mu.Lock()
	status, answer := p.append(appendCall{
		keyed: strings.HasPrefix(topic, keyedPrefix), conditional: q.Has("at"), at: intParameter(r, "at"),
		producer: q.Get("producer"), epoch: intParameter(r, "epoch"), sequence: intParameter(r, "sequence"), records: records,
	})
	s.mu.Unlock()
	p.appending.Unlock()
	answerJSON(w, status, answer)
}

// appendCall is an append with its conditions.
type appendCall struct {
	keyed, conditional  bool
	at, epoch, sequence int64
	producer            string
	records             [][]byte
}

// append carries out an append if its conditions hold. The caller holds the lock.
func (p *partition) append(c appendCall) (status int, answer any) {
	known := p.producers[c.producer]
	if c.producer != "" && known != nil {
		if c.epoch < known.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		for _, past := range known.recent {
			if past.epoch == c.epoch && past.sequence == c.sequence {
				return http.StatusOK, map[string]int64{"offset": past.offset, "end": past.end}
			}
		}
		if c.epoch == known.epoch && c.sequence != known.sequence+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": known.sequence + 1}
		}
	}
	if c.conditional && c.at != p.end() {
		return http.StatusPreconditionFailed, map[string]int64{"end": p.end()}
	}
	offset := p.end()
	p.add(c.keyed, c.records)
	if c.producer != "" {
		p.remember(c, offset)
	}
	return http.StatusOK, map[string]int64{"offset": offset, "end": p.end()}
}

func (p *partition) remember(c appendCall, offset int64) {
	known := p.producers[c.producer]
	if known == nil {
		known = &producer{}
		p.producers[c.producer] = known
	}
	known.epoch, known.sequence = c.epoch, c.sequence
	known.recent = append(known.recent, pastAppend{c.epoch, c.sequence, offset, p.end()})
	if len(known.recent) > storeRememberedAppends {
		known.recent = known.recent[1:]
	}
}

func (a *StoreAccess) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, maxBytes := intParameter(r, "from"), 1024<<10
	if q.Has("max_kb") {
		maxBytes = int(intParameter(r, "max_kb")) << 10
	}
	wait := time.Duration(min(intParameter(r, "wait_ms"), maxReadWaitMS)) * time.Millisecond
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for waiting := wait > 0; ; {
		a.store.mu.Lock()
		p := a.store.partition(q.Get("topic"), q.Get("part"))
		first, end, changed := p.first, p.end(), p.changed
		var out []byte
		if from >= first && (from < end || !waiting) {
			out = a.encode(p, q.Get("topic"), from, maxBytes)
		}
		a.store.mu.Unlock()
		if from < first {
			answerJSON(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if out != nil {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns the answer to a read. The caller holds the lock.
func (a *StoreAccess) encode(p *partition, topic string, from int64, maxBytes int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(p.first))
	for i := from - p.first; i < int64(len(p.records)); i++ {
		data := a.view(topic, p.records[i].data)
		if len(out) > readHeaderBytes && len(out)+recordLengthBytes+len(data) > maxBytes {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
		out = append(out, data...)
	}
	return out
}

func (a *StoreAccess) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic, after := q.Get("topic"), q.Get("depends_on")
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	a.store.mu.Lock()
	p := a.store.partition(topic, q.Get("part"))
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		n := p.newest[key]
		if len(items) == storePageItems || len(items) > 0 && size+len(n.value) > storePageBytes {
			break
		}
		size += len(n.value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(a.view(topic, n.value)), n.offset})
	}
	end := p.end()
	a.store.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "end": end})
}
