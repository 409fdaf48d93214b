package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The store's limits, as in the settings file of the pages.
const (
	recordBytes = 262144
	callBytes   = 2097152
	partMBs     = 20.0
	appendTime  = 2 * time.Millisecond
	answerTime  = 4 * time.Millisecond
	keepTime    = 20 * time.Second
	pageItems   = 500
	pageBytes   = 1 << 20
)

type record struct {
	data []byte
	at   time.Time
}

type newestRecord struct {
	value  []byte
	offset int64
}

type answer struct {
	status int
	body   string
}

// partition is one partition of a topic.
type partition struct {
	appending sync.Mutex

	mu      sync.Mutex
	first   int64
	records []record
	newest  map[string]newestRecord
	grown   chan struct{}
	epoch   int64
	// answers holds the answers to the last five appends of the epoch, by sequence.
	answers      map[int64]answer
	lastSequence int64
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// store is a stand-in for the platform's store, with log topics only.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
	// refused is called for each append that is over the limits of a call.
	refused func(topic string, part string, bytes int)
}

func newStore() *store { return &store{parts: map[string]*partition{}} }

func (s *store) part(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := topic + "/" + part
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: map[string]newestRecord{}, grown: make(chan struct{}), answers: map[int64]answer{}}
		s.parts[key] = p
	}
	return p
}

// put writes a keyed record for the operator or a worker. A nil value drops the key.
func (s *store) put(topic, key string, value []byte) {
	data := append([]byte{byte(len(key))}, key...)
	p := s.part(topic, "0")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(topic, [][]byte{append(data, value...)})
}

// add appends records. The caller holds p.mu.
func (p *partition) add(topic string, records [][]byte) {
	now := time.Now()
	for _, r := range records {
		offset := p.end()
		p.records = append(p.records, record{r, now})
		if strings.HasPrefix(topic, "keyed.") && len(r) > 0 && int(r[0]) < len(r) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = newestRecord{value, offset}
			}
		}
	}
	for len(p.records) > 0 && now.Sub(p.records[0].at) > keepTime {
		p.records = p.records[1:]
		p.first++
	}
	close(p.grown)
	p.grown = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic, part := q.Get("topic"), q.Get("part")
	if part == "" {
		part = "0"
	}
	time.Sleep(answerTime / 2)
	switch r.Method + " " + r.URL.Path {
	case "POST /wigeonwinch/log-append":
		if topic == "keyed.op" || topic == "keyed.servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		a := s.append(r, topic, part)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		_, _ = io.WriteString(w, a.body)
	case "GET /wigeonwinch/log-read":
		s.read(w, r, s.part(topic, part))
	case "GET /wigeonwinch/log-newest":
		s.newest(w, q.Get("depends_on"), s.part(topic, part))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func splitRecords(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 || n > recordBytes {
			return nil, false
		}
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out, true
}

func (s *store) append(r *http.Request, topic, part string) answer {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{http.StatusBadRequest, `{"error":"cut off"}`}
	}
	records, ok := splitRecords(body)
	if !ok || len(body) > callBytes {
		if s.refused != nil {
			s.refused(topic, part, len(body))
		}
		return answer{http.StatusRequestEntityTooLarge, `{"error":"over record_bytes or call_bytes"}`}
	}
	p := s.part(topic, part)
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(body))/(partMBs*1e6)*float64(time.Second)))
	p.mu.Lock()
	defer p.mu.Unlock()
	q := r.URL.Query()
	fenced := q.Get("producer") != ""
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	if fenced {
		switch {
		case epoch < p.epoch:
			return answer{http.StatusConflict, `{"reason":"fenced"}`}
		case epoch == p.epoch:
			if a, ok := p.answers[sequence]; ok {
				return a
			}
			if sequence != p.lastSequence+1 {
				return answer{http.StatusConflict, `{"reason":"seq","sequence":` + strconv.FormatInt(p.lastSequence+1, 10) + `}`}
			}
		}
	}
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		return answer{http.StatusPreconditionFailed, `{"end":` + strconv.FormatInt(p.end(), 10) + `}`}
	}
	offset := p.end()
	p.add(topic, records)
	a := answer{http.StatusOK, `{"offset":` + strconv.FormatInt(offset, 10) + `,"end":` + strconv.FormatInt(p.end(), 10) + `}`}
	if fenced {
		if epoch > p.epoch {
			p.epoch, p.answers = epoch, map[int64]answer{}
		}
		p.lastSequence = sequence
		p.answers[sequence] = a
		delete(p.answers, sequence-5)
	}
	return a
}

func (s *store) read(w http.ResponseWriter, r *http.Request, p *partition) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, _ := strconv.Atoi(q.Get("max_kb"))
	if maxKB <= 0 {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		p.mu.Lock()
		if from < p.first {
			first := p.first
			p.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":`+strconv.FormatInt(first, 10)+`}`)
			return
		}
		if from < p.end() || waitMS == 0 {
			break
		}
		grown := p.grown
		p.mu.Unlock()
		select {
		case <-grown:
			continue
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(p.first))
	for i := from - p.first; i >= 0 && i < int64(len(p.records)); i++ {
		data := p.records[i].data
		if len(out) > 16 && len(out)+4+len(data) > maxKB<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
		out = append(out, data...)
	}
	p.mu.Unlock()
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, after string, p *partition) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	p.mu.Lock()
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		n := p.newest[k]
		if len(items) >= pageItems || size > 0 && size+len(n.value) > pageBytes {
			more = true
			break
		}
		size += len(n.value)
		items = append(items, item{k, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	end := p.end()
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end": end})
}
