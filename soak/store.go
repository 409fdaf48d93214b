package soak

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
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
