package cli

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/infra/standin"
)

func TestPublishDirectlyToLog(t *testing.T) {
	log := standin.NewLog(standin.LogOptions{})
	server := httptest.NewServer(standin.Handler(log, standin.NewFleet(standin.FleetOptions{})))
	t.Cleanup(server.Close)
	platform := strings.TrimPrefix(server.URL, "http://")
	publish := func(file string) runResult {
		return runCLI(t, "manifest", "publish", "--platform", platform, "../../../examples/"+file+".json")
	}

	log.SetFaults(standin.LogFaults{Down: true})
	require.Equal(t, ExitUnreachable, publish("gothalo").code)

	log.SetFaults(standin.LogFaults{LostAnswers: 1})
	first := publish("gothalo")
	require.Equal(t, ExitOK, first.code, first.errOut)
	require.Contains(t, first.out, "accepted")

	require.Contains(t, publish("gothalo").out, "unchanged")
	stale := publish("tuulekoda")
	require.Equal(t, ExitFailed, stale.code)
	require.Contains(t, stale.errOut, "stale")
	require.Equal(t, 1, log.Appends())
}
