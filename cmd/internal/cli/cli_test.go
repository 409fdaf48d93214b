package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/node/timeline"
)

// runResult is the exit code and the output of a run of the command line.
type runResult struct {
	code        int
	out, errOut string
}

func runCLI(t *testing.T, args ...string) runResult {
	t.Helper()
	var out, errOut bytes.Buffer
	code := Run(t.Context(), append([]string{"wigeonwinch"}, args...), &out, &errOut)
	return runResult{code: code, out: out.String(), errOut: errOut.String()}
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"gothalo", "tuulekoda"} {
		got := runCLI(t, "manifest", "check", "../../../examples/"+name+".json")
		require.Equal(t, ExitOK, got.code, got.errOut)
	}
	for _, key := range []string{"PEER_KEY", "READ_TOKEN", "PUBLISH_TOKEN"} {
		t.Setenv("WIGEONWINCH_"+key, "0123456789abcdef")
	}
	got := runCLI(t, "settings", "check", "../../../examples/node.json")
	require.Equal(t, ExitOK, got.code, got.errOut)
}

func TestGeneratedDocsPagesAreCurrent(t *testing.T) {
	for name, page := range generatedPages {
		path := "../../../docs/" + strings.ToUpper(name) + ".md"
		have, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, page(), string(have), "page is out of date; regenerate it: go run ./cmd/wigeonwinch docs %s > docs/%s.md", name, strings.ToUpper(name))
	}
}

func TestInvalidFilesExitWithUsageCode(t *testing.T) {
	bad := writeFile(t, `{"colour": 1}`)
	for _, args := range [][]string{
		{"settings", "check", bad},
		{"manifest", "check", bad},
		{"manifest", "publish", bad},
		{"manifest", "check", "no-such-file"},
		{"manifest", "check"},
		{"--output", "xml", "docs", "nothing"},
		{"report", "--from", bad + "x"},
	} {
		got := runCLI(t, args...)
		require.Equal(t, ExitUsage, got.code, "%v: %s", args, got.errOut)
		require.NotEmpty(t, got.errOut)
	}
}

func TestUnreachableNodeErrorSuggestsWhatToCheck(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	for _, command := range []string{"status", "pools", "timeline"} {
		got := runCLI(t, "--nodes", address, command)
		require.Equal(t, ExitUnreachable, got.code, command)
		require.Contains(t, got.errOut, "check", command)
	}
}

// serveBody starts a server that answers every request with body, and returns
// its address.
func serveBody(t *testing.T, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestTimelineMergesNodesAndListsUnreachableOnes(t *testing.T) {
	late := serveBody(t, `[{"stamp":{"wall":2000,"logical":0},"node":"b","name":"second"}]`)
	early := serveBody(t, `[{"stamp":{"wall":1000,"logical":0},"node":"a","name":"first"}]`)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	missing := strings.TrimPrefix(closed.URL, "http://")

	got := runCLI(t, "--nodes", late+","+early+","+missing, "timeline")
	require.Equal(t, ExitOK, got.code)
	require.Less(t, strings.Index(got.out, "first"), strings.Index(got.out, "second"))
	require.Contains(t, got.errOut, missing)
}

// Only the holder of the planner's lease has the forecast; waves must not stop at
// the first node that answers without one.
func TestWavesShowsForecastOfLeaseHolder(t *testing.T) {
	other := serveBody(t, `{"waves":[{"name":"march","done":3,"total":8}]}`)
	holder := serveBody(t, `{"waves":[{"name":"march","done":3,"total":8}],"forecast":[{"wave":"march","blocked":["billing"],"end":"2026-12-04T23:00:00Z"}]}`)
	got := runCLI(t, "--nodes", other+","+holder, "waves")
	require.Equal(t, ExitOK, got.code, got.errOut)
	require.Contains(t, got.out, "billing")
	require.Contains(t, got.out, "2026-12-04T23:00:00Z")
	require.Contains(t, runCLI(t, "--nodes", other, "waves").out, "not known")
}

func TestEntrySubjectJoinsNonEmptyFields(t *testing.T) {
	require.Equal(t, "r-1 w-2", entrySubject(timeline.Entry{Request: "r-1", VM: "w-2"}))
}

func TestVersionAndHelp(t *testing.T) {
	require.Contains(t, runCLI(t, "version").out, Version)
	help := runCLI(t, "--help").out
	for _, word := range []string{"Examples", "Exit codes", "timeline", "manifest", "demo"} {
		require.Contains(t, help, word)
	}
}
