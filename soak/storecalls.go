package soak

import (
	"encoding/base64"
	"encoding/binary"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

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
