package soak

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testStore is a store with the way of one node to it.
type testStore struct {
	*Store
	access *StoreAccess
	url    string
}

func newTestStore(t *testing.T) *testStore {
	t.Helper()
	s := NewStore()
	access := s.Access(upperWorkers, rand.New(rand.NewPCG(1, 1)))
	server := httptest.NewServer(access)
	t.Cleanup(server.Close)
	return &testStore{Store: s, access: access, url: server.URL + "/wigeonwinch/"}
}

func upperWorkers(topic string, record []byte) []byte {
	if topic == topicWorkers {
		return bytes.ToUpper(record)
	}
	return record
}

// call sends a request. Status 0 means that there was no answer.
func (s *testStore) call(t *testing.T, method, call string, body []byte) (int, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, s.url+call, bytes.NewReader(body))
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	return res.StatusCode, data
}

// appendKey appends one record under the given conditions.
func (s *testStore) appendKey(t *testing.T, conditions, key, value string) (int, map[string]any) {
	t.Helper()
	record := append([]byte{byte(len(key))}, key+value...)
	status, data := s.call(t, http.MethodPost, "log-append?topic=keyed.jobs&part=3"+conditions, append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...))
	var answer map[string]any
	if status != 0 {
		require.NoError(t, json.Unmarshal(data, &answer))
	}
	return status, answer
}

func TestAppendConditions(t *testing.T) {
	s := newTestStore(t)
	for _, c := range []struct {
		name, conditions string
		status           int
		reason           any
		end              any
	}{
		{"a first epoch", "&producer=p&epoch=5&sequence=7", 200, nil, 1.0},
		{"its repeat", "&producer=p&epoch=5&sequence=7", 200, nil, 1.0},
		{"a gap", "&producer=p&epoch=5&sequence=9", 409, "seq", nil},
		{"the next sequence", "&producer=p&epoch=5&sequence=8", 200, nil, 2.0},
		{"another end", "&at=1", 412, nil, 2.0},
		{"a newer epoch", "&producer=p&epoch=6&sequence=40&at=2", 200, nil, 3.0},
		{"an older epoch", "&producer=p&epoch=5&sequence=9", 409, "fenced", nil},
		{"a repeat of an older epoch", "&producer=p&epoch=5&sequence=8", 409, "fenced", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, answer := s.appendKey(t, c.conditions, "k", "v")
			assert.Equal(t, c.status, status)
			assert.Equal(t, c.reason, answer["reason"])
			assert.Equal(t, c.end, answer["end"])
		})
	}
}

func TestNewestPages(t *testing.T) {
	s := newTestStore(t)
	for i := range storePageItems + 1 {
		require.NoError(t, s.Put(topicWorkers, fmt.Sprintf("w%04d", i), "a"))
	}
	s.Delete(topicWorkers, "w0000")
	require.NoError(t, s.Put(topicWorkers, "w9999", "b"))
	var page struct {
		Items []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"items"`
		More bool `json:"has_more"`
	}
	_, data := s.call(t, http.MethodGet, "log-newest?topic=keyed.servers&part=0", nil)
	require.NoError(t, json.Unmarshal(data, &page))
	require.Len(t, page.Items, storePageItems)
	assert.Equal(t, "w0001", page.Items[0].Key)
	assert.Equal(t, `"A"`, string(page.Items[0].Value), "the node's own view of the entry")
	assert.True(t, page.More)
	_, data = s.call(t, http.MethodGet, "log-newest?topic=keyed.servers&part=0&depends_on="+page.Items[storePageItems-1].Key, nil)
	require.NoError(t, json.Unmarshal(data, &page))
	require.Len(t, page.Items, 1)
	assert.Equal(t, "w9999", page.Items[0].Key)
	assert.False(t, page.More)
}

func TestReadWaitsForRecords(t *testing.T) {
	s := newTestStore(t)
	answer := make(chan []byte)
	go func() {
		_, data := s.call(t, http.MethodGet, "log-read?topic=keyed.jobs&part=3&from=0&wait_ms=10000", nil)
		answer <- data
	}()
	status, _ := s.appendKey(t, "", "k", "v")
	require.Equal(t, 200, status)
	data := <-answer
	assert.Equal(t, uint64(1), binary.BigEndian.Uint64(data))
	assert.Equal(t, "\x01kv", string(data[readHeaderBytes+recordLengthBytes:]))
}

func TestStoreFaults(t *testing.T) {
	s := newTestStore(t)
	s.access.LoseAnswers(1)
	status, _ := s.appendKey(t, "", "k", "v")
	assert.Zero(t, status)
	s.access.LoseAnswers(0)
	_, answer := s.appendKey(t, "", "k", "v")
	assert.Equal(t, 2.0, answer["end"], "the append without an answer was carried out")
	s.access.Refuse(true)
	status, _ = s.call(t, http.MethodGet, "log-newest?topic=keyed.jobs&part=3", nil)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	s.access.Refuse(false)
	s.SetDown(true)
	status, _ = s.call(t, http.MethodGet, "log-newest?topic=keyed.jobs&part=3", nil)
	assert.Equal(t, http.StatusServiceUnavailable, status)
}

// Expired records are gone from reads, their keys are not.
func TestRecordsExpire(t *testing.T) {
	s := newTestStore(t)
	s.appendKey(t, "", "k", "v")
	s.mu.Lock()
	p := s.partition("keyed.jobs", "3")
	p.records[0].at = time.Now().Add(-2 * storeKeepS * time.Second)
	s.mu.Unlock()
	s.appendKey(t, "", "l", "v")
	assert.Equal(t, int64(1), p.first)
	status, _ := s.call(t, http.MethodGet, "log-read?topic=keyed.jobs&part=3&from=0", nil)
	assert.Equal(t, http.StatusGone, status)
	assert.Contains(t, p.newest, "k")
}
