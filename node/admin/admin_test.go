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

// fakeControl folds records at once, as a log without failures would.
type fakeControl struct {
	fold     *state.State
	next     structs.Offset
	verdicts map[string]structs.Verdict
	lost     bool
}

func newFakeControl() *fakeControl {
	return &fakeControl{fold: state.New(), verdicts: map[string]structs.Verdict{}}
}

func (f *fakeControl) View() *structs.View   { return f.fold.View() }
func (f *fakeControl) Ready() (bool, string) { return true, "" }

func (f *fakeControl) Append(_ context.Context, rec structs.Record) (structs.Verdict, error) {
	verdict := f.fold.Apply(f.next, rec)
	f.next++
	f.verdicts[rec.Key] = verdict
	if f.lost {
		return structs.Verdict{}, errors.New("the answer was lost")
	}
	return verdict, nil
}

func (f *fakeControl) Lookup(key string) (structs.Verdict, bool) {
	verdict, ok := f.verdicts[key]
	return verdict, ok
}

func (f *fakeControl) CheckPublish(_ context.Context, p *structs.Publish) []*state.Refusal {
	return f.fold.CheckPublish(p)
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

func call(api http.Handler, method, path, token, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	answer := httptest.NewRecorder()
	api.ServeHTTP(answer, req)
	return answer
}

func example(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/gothalo.json")
	require.NoError(t, err)
	return string(data)
}

func published(t *testing.T, answer *httptest.ResponseRecorder) Published {
	t.Helper()
	var p Published
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
		require.Equal(t, c.want, call(api, c.method, c.path, c.token, "").Code, "%s %s", c.method, c.path)
	}
}

func TestPublishAcceptedUnchangedAndStale(t *testing.T) {
	control := newFakeControl()
	api := newTestAPI(control)
	text := example(t)

	first := published(t, call(api, "POST", "/v1/manifest", "publisher", text))
	require.Equal(t, OutcomeAccepted, first.Outcome, first.Detail)
	require.EqualValues(t, 1, first.Generation)

	again := published(t, call(api, "POST", "/v1/manifest", "publisher", text))
	require.Equal(t, OutcomeAccepted, again.Outcome)
	require.Equal(t, first.Offset, again.Offset)

	changed := strings.Replace(text, `"weight": 4`, `"weight": 5`, 1)
	stale := call(api, "POST", "/v1/manifest", "publisher", changed)
	require.Equal(t, http.StatusConflict, stale.Code)
	require.Equal(t, structs.VoidStale, published(t, stale).Reason)
	require.EqualValues(t, 1, control.View().Generation)
}

func TestPublishWithALostAnswerCanBeAskedAgain(t *testing.T) {
	control := newFakeControl()
	control.lost = true
	api := newTestAPI(control)

	answer := call(api, "POST", "/v1/manifest", "publisher", example(t))
	require.Equal(t, http.StatusGatewayTimeout, answer.Code)
	lost := published(t, answer)
	require.Equal(t, OutcomeNotKnown, lost.Outcome)

	known := published(t, call(api, "GET", "/v1/publishes/"+lost.Key, "reader", ""))
	require.Equal(t, OutcomeAccepted, known.Outcome)
}

func TestARefusedPublishListsEverythingAndCanBeSentAgain(t *testing.T) {
	control := newFakeControl()
	api := newTestAPI(control)
	first := published(t, call(api, "POST", "/v1/manifest", "publisher", example(t)))
	require.Equal(t, OutcomeAccepted, first.Outcome)

	// A record between the check and the append makes the publish void.
	m, _ := manifest.Parse([]byte(example(t)))
	m.BaseGeneration = 1
	m.Teams[0].Weight = 9
	body, err := json.Marshal(m)
	require.NoError(t, err)
	key := fmt.Sprintf("publish-%016x", xxhash.Sum64(body))
	control.verdicts[key] = structs.Verdict{Offset: 7, Key: key, Void: structs.VoidBudget}
	again := published(t, call(api, "POST", "/v1/manifest", "publisher", string(body)))
	require.Equal(t, OutcomeAccepted, again.Outcome, again.Detail)
	require.NotEqual(t, key, again.Key)

	// A budget that the pool can't keep, and a zone that is in use.
	m.BaseGeneration = 2
	m.Zones = m.Zones[1:]
	m.VMs = m.VMs[:len(m.VMs)-1]
	m.Services[0].Budget.MinAvailable = 100
	body, err = json.Marshal(m)
	require.NoError(t, err)
	refused := call(api, "POST", "/v1/manifest", "publisher", string(body))
	require.GreaterOrEqual(t, refused.Code, 400)
	require.EqualValues(t, 2, control.View().Generation)
}

func TestPublishListsEveryFault(t *testing.T) {
	api := newTestAPI(newFakeControl())
	answer := call(api, "POST", "/v1/manifest", "publisher", `{"format": 9, "colour": "red"}`)
	require.Equal(t, http.StatusUnprocessableEntity, answer.Code)
	require.GreaterOrEqual(t, len(published(t, answer).Errors), 2)
}
