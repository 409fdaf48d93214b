package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/dispatch"
)

// A repeatable request that crashes each backend server was sent to three of them
// in each zone, and its caller was told to send it again.
func TestRepeatableRequestCrashesWorkerAfterWorker(t *testing.T) {
	crash := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	first, second := newTestBackend(t, crash), newTestBackend(t, crash)
	for name, zones := range map[string][]string{"one zone": {"a"}, "relayed": {"b", "c"}} {
		fleet := &fakeFleet{}
		net := newFakeNet()
		caller, _ := startServer(t, fleet, net, "a", Limits{})
		view := newView([]string{"a", "b", "c"}, newWorker("w1", zones[0], first.address()), newWorker("w2", zones[len(zones)-1], second.address()))
		for _, zone := range []string{"b", "c"} {
			s, _ := startServer(t, fleet, net, zone, Limits{})
			mux := http.NewServeMux()
			mux.Handle(RelayPath+"/", s.RelayHandler())
			relay := httptest.NewServer(mux)
			t.Cleanup(relay.Close)
			epoch := view.EntryEpochs[zone]
			epoch.Members[0].PeerAddress = relay.Listener.Addr().String()
			view.EntryEpochs[zone] = epoch
		}
		fleet.view.Store(view)
		before := first.runs.Load() + second.runs.Load()
		w := sendRequest(caller.Handler(), http.MethodPut, "/fire/x", "body", map[string]string{HeaderRequestID: newID(t)})
		require.Equal(t, dispatch.OutcomeUnknown, outcomeOf(w.Header()), name)
		require.Equal(t, string(ReasonWorkersLost), w.Header().Get(HeaderReason), name)
		require.Empty(t, w.Header().Get(HeaderRetry), name)
		require.EqualValues(t, maxWorkersLost, first.runs.Load()+second.runs.Load()-before, name)
	}
}
