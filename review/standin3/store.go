package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	storeParts       = 12
	storePageItems   = 500
	storePageBytes   = 1 << 20
	storeKeep        = 20 * time.Second
	storeAppendTime  = 2 * time.Millisecond
	storeAnswerTime  = 2 * time.Millisecond
	rememberedAppend = 5
	// A partition takes in partBytesPerS and keeps partBytes at most, the store totalBytes.
	partBytesPerS = 20_000_000
	partBytes     = 200 << 20
	totalBytes    = 400 << 20
	recordBytes   = 262_144
	callBytes     = 2_097_152
)

const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
)

// store is the platform's metadata store: partitions of a log, with the newest record of
// each key in topics whose names begin with "keyed.".
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
	// full reports whether the last append found the store full.
	full bool
	c    *cluster
}

type partition struct {
	appending sync.Mutex
	first     int64
	records   []storedRecord
	bytes     int
	newest    map[string]newestRecord
	changed   chan struct{}
	// The state of the only producer name.
	known           bool
	epoch, sequence int64
	recent          []pastAppend
}

type storedRecord struct {
	data []byte
	at   time.Time
}

type newestRecord struct {
	value  []byte
	offset int64
}

type pastAppend struct{ epoch, sequence, offset, end int64 }

func newStore() *store { return &store{parts: map[string]*partition{}} }

// partition returns a partition, which it creates on first use. The caller holds the lock.
func (s *store) partition(topic, part string) *partition {
	name := topic + "/" + part
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]newestRecord{}, changed: make(chan struct{})}
		s.parts[name] = p
	}
	return p
}

// put writes a record of the operator, of a worker or of another writer.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		fail("encode %s: %v", key, err)
	}
	s.putBytes(topic, key, data)
}

func (s *store) putBytes(topic, key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").add(true, [][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

func (s *store) remove(topic, key string) { s.putBytes(topic, key, nil) }

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// add appends records and drops expired ones. The caller holds the lock.
func (p *partition) add(keyed bool, records [][]byte) {
	now := time.Now()
	for _, r := range records {
		if keyed && len(r) > 0 && int(r[0]) < len(r) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = newestRecord{value, p.end()}
			}
		}
		p.records = append(p.records, storedRecord{r, now})
		p.bytes += len(r)
	}
	p.expire(now)
	close(p.changed)
	p.changed = make(chan struct{})
}

// expire drops the oldest records. The caller holds the lock.
func (p *partition) expire(now time.Time) {
	expired := 0
	for expired < len(p.records) && (now.Sub(p.records[expired].at) > storeKeep || p.bytes > partBytes) {
		p.bytes -= len(p.records[expired].data)
		p.records[expired].data = nil
		expired++
	}
	p.records = p.records[expired:]
	p.first += int64(expired)
}

// isFull reports whether the store holds all that it may. The caller holds the lock.
func (s *store) isFull() bool {
	total := 0
	for _, p := range s.parts {
		p.expire(time.Now())
		total += p.bytes
	}
	if full := total >= totalBytes; full != s.full {
		s.full = full
		s.c.record.printf("store: %d MB are stored, full %v", total>>20, full)
	}
	return s.full
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	switch r.URL.Path {
	case "/wigeonwinch/log-append":
		s.serveAppend(w, r)
	case "/wigeonwinch/log-read":
		s.serveRead(w, r)
	case "/wigeonwinch/log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func intParameter(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == topicOperator || topic == topicWorkers {
		answerJSON(w, http.StatusForbidden, struct{}{})
		return
	}
	size := len(body)
	var records [][]byte
	if size > callBytes {
		s.c.record.printf("store: an append of %d bytes to %s is refused", size, topic)
		answerJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	for len(body) > 0 {
		if len(body) < 4 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			answerJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes {
			s.c.record.printf("store: an append to %s is refused, with a record of %d bytes", topic, n)
			answerJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	p := s.partition(topic, q.Get("part"))
	s.mu.Unlock()
	p.appending.Lock()
	time.Sleep(storeAppendTime + time.Duration(size)*time.Second/partBytesPerS)
	s.mu.Lock()
	if s.isFull() {
		s.mu.Unlock()
		p.appending.Unlock()
		answerJSON(w, http.StatusInsufficientStorage, struct{}{})
		return
	}
	status, answer := p.append(r, strings.HasPrefix(topic, "keyed."), records)
	s.mu.Unlock()
	p.appending.Unlock()
	answerJSON(w, status, answer)
}

// append carries out an append if its conditions hold. The caller holds the lock.
func (p *partition) append(r *http.Request, keyed bool, records [][]byte) (int, any) {
	q := r.URL.Query()
	fenced, epoch, sequence := q.Get("producer") != "", intParameter(r, "epoch"), intParameter(r, "sequence")
	if fenced && p.known {
		if epoch < p.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		for _, past := range p.recent {
			if past.epoch == epoch && past.sequence == sequence {
				return http.StatusOK, map[string]int64{"offset": past.offset, "end": past.end}
			}
		}
		if epoch == p.epoch && sequence != p.sequence+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1}
		}
	}
	if q.Has("at") && intParameter(r, "at") != p.end() {
		return http.StatusPreconditionFailed, map[string]int64{"end": p.end()}
	}
	offset := p.end()
	p.add(keyed, records)
	if fenced {
		p.known, p.epoch, p.sequence = true, epoch, sequence
		p.recent = append(p.recent, pastAppend{epoch, sequence, offset, p.end()})
		if len(p.recent) > rememberedAppend {
			p.recent = p.recent[1:]
		}
	}
	return http.StatusOK, map[string]int64{"offset": offset, "end": p.end()}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, maxBytes := intParameter(r, "from"), 1024<<10
	if q.Has("max_kb") {
		maxBytes = int(intParameter(r, "max_kb")) << 10
	}
	wait := time.Duration(min(intParameter(r, "wait_ms"), 30_000)) * time.Millisecond
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		first, end, changed := p.first, p.end(), p.changed
		var out []byte
		if from >= first && (from < end || !waiting) {
			out = binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for i := from - first; i < int64(len(p.records)); i++ {
				data := p.records[i].data
				if len(out) > 16 && len(out)+4+len(data) > maxBytes {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
				out = append(out, data...)
			}
		}
		s.mu.Unlock()
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

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := q.Get("depends_on")
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
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
		items = append(items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	end := p.end()
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "end": end})
}
