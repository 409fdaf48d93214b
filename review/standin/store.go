package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The store's limits, as the settings of a small deployment give them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 2 * time.Millisecond
	keepTime    = 20 * time.Second
)

// Store is the platform's metadata store: a log of partitions over HTTP.
type Store struct {
	mu    sync.Mutex
	parts map[string]*partition
	// busyUntil is the time until which the store answers 503.
	busyUntil time.Time
}

// refuse makes the store answer all calls of nodes with 503 for a time.
func (s *Store) refuse(d time.Duration) {
	s.mu.Lock()
	s.busyUntil = time.Now().Add(d)
	s.mu.Unlock()
	logLine("store: down (503) for %s", d)
}

type partition struct {
	// appending admits one append at a time.
	appending sync.Mutex
	first     int64
	records   []record
	newest    map[string]newestRecord
	changed   chan struct{}
	epoch     int64
	sequence  int64
	producers bool
	recent    []pastAppend
}

type record struct {
	data []byte
	at   time.Time
}

type newestRecord struct {
	value  []byte
	offset int64
}

type pastAppend struct {
	epoch, sequence int64
	offset, end     int64
}

func newStore() *Store { return &Store{parts: map[string]*partition{}} }

func (s *Store) part(topic, part string) *partition {
	key := topic + "/" + part
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: map[string]newestRecord{}, changed: make(chan struct{})}
		s.parts[key] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// add appends records that were checked before. The caller holds the lock.
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
		p.records = append(p.records, record{r, now})
	}
	n := 0
	for n < len(p.records) && now.Sub(p.records[n].at) > keepTime {
		n++
	}
	p.records = append([]record(nil), p.records[n:]...)
	p.first += int64(n)
	close(p.changed)
	p.changed = make(chan struct{})
}

// Put writes a record of the operator or of a worker.
func (s *Store) Put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(true, [][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

// Delete removes a key.
func (s *Store) Delete(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(true, [][]byte{append([]byte{byte(len(key))}, key...)})
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	busy := time.Now().Before(s.busyUntil)
	s.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
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

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func splitRecords(body []byte) ([][]byte, error) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, fmt.Errorf("a length is cut off")
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return nil, fmt.Errorf("a record is cut off")
		}
		if n > recordBytes {
			return nil, fmt.Errorf("a record of %d bytes is longer than record_bytes, %d", n, recordBytes)
		}
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out, nil
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		answer(w, http.StatusForbidden, map[string]string{"error": "read only"})
		return
	}
	records, err := splitRecords(body)
	if err == nil && len(body) > callBytes {
		err = fmt.Errorf("a call of %d bytes is longer than call_bytes, %d", len(body), callBytes)
	}
	if err != nil {
		logLine("store refuses an append to %s/%s: %v", topic, q.Get("part"), err)
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	p := s.part(topic, q.Get("part"))
	s.mu.Unlock()
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime + time.Duration(len(body))*time.Second/20_000_000)
	s.mu.Lock()
	status, out := p.append(len(topic) > 6 && topic[:6] == "keyed.", q.Get("producer") != "", number(q.Get("epoch")), number(q.Get("sequence")), q.Get("at"), records)
	s.mu.Unlock()
	answer(w, status, out)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func (p *partition) append(keyed, fenced bool, epoch, sequence int64, at string, records [][]byte) (int, any) {
	if fenced {
		for _, past := range p.recent {
			if past.epoch == epoch && past.sequence == sequence {
				return http.StatusOK, map[string]int64{"offset": past.offset, "end": past.end}
			}
		}
		if p.producers && epoch < p.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if p.producers && epoch == p.epoch && sequence != p.sequence+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1}
		}
	}
	if at != "" && number(at) != p.end() {
		return http.StatusPreconditionFailed, map[string]int64{"end": p.end()}
	}
	offset := p.end()
	p.add(keyed, records)
	if fenced {
		p.producers, p.epoch, p.sequence = true, epoch, sequence
		p.recent = append(p.recent, pastAppend{epoch, sequence, offset, p.end()})
		if len(p.recent) > 5 {
			p.recent = p.recent[1:]
		}
	}
	return http.StatusOK, map[string]int64{"offset": offset, "end": p.end()}
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("from"))
	maxBytes := 1024 * 1024
	if q.Get("max_kb") != "" {
		maxBytes = int(number(q.Get("max_kb"))) * 1024
	}
	deadline := time.Now().Add(time.Duration(number(q.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if from < p.end() || !time.Now().Before(deadline) {
			out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
			out = binary.BigEndian.AppendUint64(out, uint64(p.first))
			for i := from - p.first; i < int64(len(p.records)); i++ {
				data := p.records[i].data
				if len(out)+4+len(data) > maxBytes && len(out) > 16 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
				out = append(out, data...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := p.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > q.Get("depends_on") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		n := p.newest[k]
		if len(items) >= 500 || len(items) > 0 && size+len(n.value) > 1<<20 {
			more = true
			break
		}
		size += len(n.value)
		items = append(items, item{k, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	end := p.end()
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}
