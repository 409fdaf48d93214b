package cli

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/jobs/shard"
	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/events"
	"wigeonwinch/node/intake"
	"wigeonwinch/node/jobapi"
	"wigeonwinch/node/jobhost"
	"wigeonwinch/node/timeline"
)

// fakeJobsNode answers job requests and keeps the states of submitted jobs.
type fakeJobsNode struct{ states map[string]spec.State }

func (fakeJobsNode) Queues() []shard.Queue {
	return []shard.Queue{{Name: "lint", Service: "s", MaxAttempts: 3}}
}

func (n fakeJobsNode) Do(_ context.Context, r jobhost.Request) jobhost.Result {
	state, known := n.states[r.ID]
	done := jobhost.Result{Outcome: jobhost.Done}
	switch {
	case r.Op == jobhost.OpSubmit:
		n.states[r.ID] = spec.Running
	case r.Op == jobhost.OpList:
		done.Jobs = []shard.JobSummary{{ID: "5c0e7a21d94b36f8", State: spec.Running, Tasks: 2}}
	case r.Op == jobhost.OpWaiting:
		done.Waiting = 7
	case !known:
		return jobhost.Result{Outcome: jobhost.Missing}
	case r.Op == jobhost.OpCancel:
		n.states[r.ID] = spec.Cancelled
	default:
		done.Jobs = []shard.JobSummary{{ID: r.ID, State: state}}
		done.Runs = []shard.RunSummary{{Index: 1, Run: 2, State: "running", Worker: "i-7f"}}
	}
	return done
}

func TestJobCommands(t *testing.T) {
	node := fakeJobsNode{map[string]spec.State{}}
	server := httptest.NewServer(jobapi.New(node, timeline.NewRing(4), []string{"secret"}, testGate()).Handler())
	t.Cleanup(server.Close)
	t.Setenv("WIGEONWINCH_TOKEN", "secret")
	nodes := "127.0.0.1:1," + strings.TrimPrefix(server.URL, "http://")
	jobs := func(args ...string) runResult { return runCLI(t, append([]string{"--nodes", nodes}, args...)...) }
	file := filepath.Join(t.TempDir(), "job.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"id":"5c0e7a21d94b36f8","steps":[{"count":2,"need":{"milli_cpu":500}}]}`), 0o600))

	out := jobs("jobs", "submit", "--queue", "lint", file)
	require.Equal(t, ExitOK, out.code, out.errOut)
	require.Contains(t, out.out, "accepted")
	require.Contains(t, jobs("jobs", "show", "--queue", "lint", "5c0e7a21d94b36f8").out, "i-7f")
	require.Contains(t, jobs("jobs", "list", "--queue", "lint").out, "5c0e7a21d94b36f8")
	require.Contains(t, jobs("queues").out, "7")
	require.Equal(t, ExitOK, jobs("timeline").code)
	require.Equal(t, ExitOK, jobs("jobs", "cancel", "--queue", "lint", "5c0e7a21d94b36f8").code)
	require.Equal(t, spec.Cancelled, node.states["5c0e7a21d94b36f8"])

	require.Equal(t, ExitFailed, jobs("jobs", "show", "--queue", "lint", "ffffffffffffffff").code)
	require.Equal(t, ExitFailed, jobs("jobs", "show", "--queue", "none", "5c0e7a21d94b36f8").code)
	require.Equal(t, ExitUsage, jobs("jobs", "submit", "--queue", "lint").code)
	require.Equal(t, ExitUsage, jobs("jobs", "cancel", "--queue", "lint").code)
	t.Setenv("WIGEONWINCH_TOKEN", "other")
	require.Equal(t, ExitFailed, jobs("queues").code)
}

func TestPlatformSettingsCheckReportsMissingFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"node":"n"}`), 0o600))
	out := runCLI(t, "settings", "check", "--platform", path)
	require.Equal(t, ExitUsage, out.code)
	require.Contains(t, out.errOut, "zone:")
	require.Equal(t, ExitUsage, runCLI(t, "settings", "check", "--platform").code)
}

func TestLabComparesPolicies(t *testing.T) {
	out := runCLI(t, "lab", "compare", "--workers", "5", "--seconds", "5")
	require.Equal(t, ExitOK, out.code, out.errOut)
	require.Contains(t, out.out, "first-come")
	require.Equal(t, ExitUsage, runCLI(t, "lab", "compare", "--workers", "0").code)
}

func testGate() *intake.Gate { return intake.NewGate(intake.LimitsFor(0, 0), events.Discard{}) }
