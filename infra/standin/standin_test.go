package standin_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"wigeonwinch/infra"
	"wigeonwinch/infra/client"
	"wigeonwinch/infra/standin"
)

func newTestClient(t *testing.T, log *standin.Log, fleet *standin.Fleet) *client.Client {
	t.Helper()
	server := httptest.NewServer(standin.Handler(log, fleet))
	t.Cleanup(server.Close)
	c, err := client.New(strings.TrimPrefix(server.URL, "http://"), client.Options{})
	require.NoError(t, err)
	return c
}

func TestLogAppendReadAndTrimOverHTTP(t *testing.T) {
	log := standin.NewLog(standin.LogOptions{Retain: 2})
	c := newTestClient(t, log, standin.NewFleet(standin.FleetOptions{}))
	for _, text := range []string{"a", "b", "c"} {
		_, err := c.Append(t.Context(), [][]byte{[]byte(text)})
		require.NoError(t, err)
	}
	batch, err := c.Read(t.Context(), 1, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Entries, 2)
	require.Equal(t, "c", string(batch.Entries[1].Data))
	require.EqualValues(t, 3, batch.Next)

	_, err = c.Read(t.Context(), 0, 10, 0)
	require.Equal(t, infra.KindTrimmed, infra.KindOf(err))
}

func TestLogFaultsSetErrorKindsOverHTTP(t *testing.T) {
	log := standin.NewLog(standin.LogOptions{})
	c := newTestClient(t, log, standin.NewFleet(standin.FleetOptions{}))

	log.SetFaults(standin.LogFaults{Down: true})
	_, err := c.Append(t.Context(), [][]byte{[]byte("a")})
	require.Equal(t, infra.KindUnavailable, infra.KindOf(err))
	require.Equal(t, 0, log.Appends())

	log.SetFaults(standin.LogFaults{LostAnswers: 1})
	_, err = c.Append(t.Context(), [][]byte{[]byte("a")})
	require.Equal(t, infra.KindUnknown, infra.KindOf(err))
	require.Equal(t, 1, log.Appends())
}

func TestLogRejectsAppendsAboveRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewLog(standin.LogOptions{AppendsPerSecond: 2})
		var rateLimited int
		for range 5 {
			_, err := log.Append(t.Context(), [][]byte{nil})
			if infra.KindOf(err) == infra.KindRateLimited {
				rateLimited++
			}
		}
		require.Equal(t, 3, rateLimited)
		time.Sleep(time.Second)
		_, err := log.Append(t.Context(), [][]byte{nil})
		require.NoError(t, err)
	})
}

func TestListLagsBehindChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := standin.NewFleet(standin.FleetOptions{ListLag: 10 * time.Second})
		fleet.Add(infra.ListedVM{ID: "w-1"}, nil)
		time.Sleep(20 * time.Second)
		fleet.SetPresence("w-1", infra.PresenceLeaving)
		vms, err := fleet.List(context.Background())
		require.NoError(t, err)
		require.Equal(t, infra.PresenceLive, vms[0].Presence)
		time.Sleep(11 * time.Second)
		vms, err = fleet.List(context.Background())
		require.NoError(t, err)
		require.Equal(t, infra.PresenceLeaving, vms[0].Presence)
	})
}

func TestActionsAreFencedAndIdempotent(t *testing.T) {
	fleet := standin.NewFleet(standin.FleetOptions{RebootTime: time.Hour})
	ledger := standin.NewLedger()
	backend, err := standin.StartBackend("127.0.0.1:0", standin.BackendOptions{ID: "w-1", Slots: 1, Connections: 4, Ledger: ledger})
	require.NoError(t, err)
	t.Cleanup(backend.Close)
	fleet.Add(infra.ListedVM{ID: "w-1"}, backend)
	reboot := infra.Action{Kind: infra.ActionReboot, VM: "w-1", Sequence: 4, Scope: "r", Epoch: 2}
	require.NoError(t, fleet.Act(t.Context(), reboot))
	require.NoError(t, fleet.Act(t.Context(), reboot))
	require.Equal(t, 1, fleet.Reboots())

	reboot.Epoch = 1
	reboot.Sequence = 5
	err = fleet.Act(t.Context(), reboot)
	require.Equal(t, infra.KindFenced, infra.KindOf(err))
	require.Equal(t, 1, fleet.Reboots())
}
