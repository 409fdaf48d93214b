package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/planner"
	"wigeonwinch/fleet/state"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/timeline"
)

// fakeControl applies each appended record to its state at once, like a log
// without failures. If loseAnswers is set, Append applies the record but returns
// an error.
type fakeControl struct {
	state       *state.State
	next        structs.Offset
	verdicts    map[string]structs.Verdict
	loseAnswers bool
}

func newFakeControl() *fakeControl {
	return &fakeControl{state: state.New(), verdicts: map[string]structs.Verdict{}}
}

func (f *fakeControl) View() *structs.View   { return f.state.View() }
func (f *fakeControl) Ready() (bool, string) { return true, "" }

func (f *fakeControl) Append(_ context.Context, rec structs.Record) (structs.Verdict, error) {
	verdict := f.state.Apply(f.next, rec)
	f.next++
	f.verdicts[rec.Key] = verdict
	if f.loseAnswers {
		return structs.Verdict{}, errors.New("the answer was lost")
	}
	return verdict, nil
}

func (f *fakeControl) Lookup(key string) (structs.Verdict, bool) {
	verdict, ok := f.verdicts[key]
	return verdict, ok
}

func (f *fakeControl) CheckPublish(_ context.Context, p *structs.Publish) []*state.Refusal {
	return f.state.CheckPublish(p)
}

func newTestAPI(control *fakeControl) http.Handler {
	return New(Config{
		Node: "entry-1", Control: control,
		Status:     func() any { return nil },
		Requests:   func() any { return nil },
		Forecast:   func() []planner.WaveForecast { return nil },
		Timeline:   timeline.NewRing(4),
		Metrics:    http.NotFoundHandler(),
		ReadTokens: []string{"reader"}, PublishTokens: []string{"publisher"},
	}).Handler()
}

func serveRequest(api http.Handler, method, path, token, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	answer := httptest.NewRecorder()
	api.ServeHTTP(answer, req)
	return answer
}

func exampleManifest(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/gothalo.json")
	require.NoError(t, err)
	return string(data)
}

func decodePublished(t *testing.T, answer *httptest.ResponseRecorder) PublishResult {
	t.Helper()
	var p PublishResult
	require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &p))
	return p
}

func TestTokensAndRoles(t *testing.T) {
	api := newTestAPI(newFakeControl())
	for _, c := range []struct {
		method, path, token string
		want                int
	}{
		{"GET", "/v1/ready", "", 200},
		{"GET", "/v1/pools", "", 401},
		{"GET", "/v1/pools", "wrong", 401},
		{"GET", "/v1/pools", "reader", 200},
		{"GET", "/v1/pools", "publisher", 200},
		{"POST", "/v1/manifest", "reader", 401},
		{"GET", "/v2/pools", "reader", 404},
		{"GET", "/v1/timeline?since=yesterday", "reader", 400},
		{"GET", "/v1/timeline?limit=-1", "reader", 400},
	} {
		require.Equal(t, c.want, serveRequest(api, c.method, c.path, c.token, "").Code, "%s %s", c.method, c.path)
	}
}

func TestPublishOutcomes(t *testing.T) {
	control := newFakeControl()
	api := newTestAPI(control)
	text := exampleManifest(t)

	first := decodePublished(t, serveRequest(api, "POST", "/v1/manifest", "publisher", text))
	require.Equal(t, OutcomeAccepted, first.Outcome, first.Detail)
	require.EqualValues(t, 1, first.Generation)

	again := decodePublished(t, serveRequest(api, "POST", "/v1/manifest", "publisher", text))
	require.Equal(t, OutcomeAccepted, again.Outcome)
	require.Equal(t, first.Offset, again.Offset)

	changed := strings.Replace(text, `"weight": 4`, `"weight": 5`, 1)
	stale := serveRequest(api, "POST", "/v1/manifest", "publisher", changed)
	require.Equal(t, http.StatusConflict, stale.Code)
	require.Equal(t, structs.VoidStale, decodePublished(t, stale).Reason)
	require.EqualValues(t, 1, control.View().Generation)
}

// If the answer of the log is lost, the caller must be able to look up the
// outcome by the key of the publish.
func TestPublishOutcomeCanBeQueriedAfterLostAnswer(t *testing.T) {
	control := newFakeControl()
	control.loseAnswers = true
	api := newTestAPI(control)

	answer := serveRequest(api, "POST", "/v1/manifest", "publisher", exampleManifest(t))
	require.Equal(t, http.StatusGatewayTimeout, answer.Code)
	lost := decodePublished(t, answer)
	require.Equal(t, OutcomeNotKnown, lost.Outcome)

	known := decodePublished(t, serveRequest(api, "GET", "/v1/publishes/"+lost.Key, "reader", ""))
	require.Equal(t, OutcomeAccepted, known.Outcome)
}

func TestRefusedPublishMayBeSentAgain(t *testing.T) {
	control := newFakeControl()
	api := newTestAPI(control)
	first := decodePublished(t, serveRequest(api, "POST", "/v1/manifest", "publisher", exampleManifest(t)))
	require.Equal(t, OutcomeAccepted, first.Outcome)

	// Simulate a record between the check and the append that made the publish
	// void: the same body must get a new key.
	m, _ := manifest.Parse([]byte(exampleManifest(t)))
	m.BaseGeneration = 1
	m.Teams[0].Weight = 9
	body, err := json.Marshal(m)
	require.NoError(t, err)
	key := fmt.Sprintf("publish-%016x", xxhash.Sum64(body))
	control.verdicts[key] = structs.Verdict{Offset: 7, Key: key, Void: structs.VoidBudget}
	again := decodePublished(t, serveRequest(api, "POST", "/v1/manifest", "publisher", string(body)))
	require.Equal(t, OutcomeAccepted, again.Outcome, again.Detail)
	require.NotEqual(t, key, again.Key)

	// The manifest sets a budget that its pool cannot meet and removes a zone
	// that is in use.
	m.BaseGeneration = 2
	m.Zones = m.Zones[1:]
	m.VMs = m.VMs[:len(m.VMs)-1]
	m.Services[0].Budget.MinAvailable = 100
	body, err = json.Marshal(m)
	require.NoError(t, err)
	refused := serveRequest(api, "POST", "/v1/manifest", "publisher", string(body))
	require.GreaterOrEqual(t, refused.Code, 400)
	require.EqualValues(t, 2, control.View().Generation)
}

func TestPublishReportsAllManifestFaults(t *testing.T) {
	api := newTestAPI(newFakeControl())
	answer := serveRequest(api, "POST", "/v1/manifest", "publisher", `{"format": 9, "colour": "red"}`)
	require.Equal(t, http.StatusUnprocessableEntity, answer.Code)
	require.GreaterOrEqual(t, len(decodePublished(t, answer).Errors), 2)
}
