package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `{
  "node": "entry-a1", "zone": "a", "region": "r",
  "caller_address": "127.0.0.1:8080", "peer_address": "127.0.0.1:8081", "admin_address": "127.0.0.1:8082",
  "platform_address": "127.0.0.1:9000",
  "peer_keys": [{"env": "TEST_PEER_KEY"}], "read_tokens": [{"env": "TEST_READ"}],
  "peers": [{"node": "entry-b1", "zone": "b", "address": "127.0.0.1:8181"}]
}`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadFillsDefaultsAndSecrets(t *testing.T) {
	t.Setenv("TEST_PEER_KEY", "0123456789abcdef")
	t.Setenv("TEST_READ", "reader")
	s, problems := Load(writeFile(t, validSettings))
	require.Empty(t, problems)
	require.Equal(t, "0123456789abcdef", s.PeerKeys[0].Value())
	require.Equal(t, 8388608, s.Limits.BodyBytes)
	require.Equal(t, 5000, s.Timing.PeerSilentMS)
}

func TestLoadReportsAllProblems(t *testing.T) {
	t.Setenv("TEST_SHORT", "short")
	_, problems := Load(writeFile(t, `{
	  "node": "entry a1", "zone": 7, "colour": "red",
	  "caller_address": "localhost:80", "peer_address": "127.0.0.1:1", "admin_address": "127.0.0.1:1",
	  "platform_address": "",
	  "peer_keys": [{"env": "TEST_SHORT"}, {"file": "a", "env": "b"}], "read_tokens": [],
	  "peers": [{"node": "x", "zone": "b", "address": "1"}],
	  "log_level": "loud", "limits": {"body_bytes": -1}, "timing": {"peer_ping_ms": 9000}
	}`))
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
		require.NotEmpty(t, p.Remedy, p.Path)
	}
	require.Subset(t, paths, []string{
		"node", "zone", "colour", "region", "caller_address", "admin_address", "platform_address",
		"peer_keys[0]", "peer_keys[1]", "read_tokens", "peers[0].address",
		"log_level", "limits.body_bytes", "timing.peer_silent_ms",
	})
}

func TestShowHidesSecretValues(t *testing.T) {
	t.Setenv("TEST_PEER_KEY", "0123456789abcdef")
	t.Setenv("TEST_READ", "reader")
	s, problems := Load(writeFile(t, validSettings))
	require.Empty(t, problems)
	text, err := s.Show()
	require.NoError(t, err)
	require.NotContains(t, text, "0123456789abcdef")
	require.Contains(t, text, "TEST_PEER_KEY")
}

func TestSettingsPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	require.Equal(t, ReferencePage(), string(page), "regenerate the page: go run ./cmd/wigeonwinch docs settings > docs/SETTINGS.md")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"peers":[null],"limits":[]}`))
	f.Add([]byte(`{"":1,"read_tokens":[{"":2}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, problems := Parse(data)
		require.NotNil(t, s)
		for _, p := range problems {
			require.NotEmpty(t, p.Remedy)
		}
	})
}
