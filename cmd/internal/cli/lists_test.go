package cli

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/infra"
	"wigeonwinch/infra/client"
)

var (
	codeSpan      = regexp.MustCompile("`([^`]+)`")
	goIdentifier  = regexp.MustCompile(`^[A-Za-z]+\.([A-Z]\w+)$`)
	packageFolder = regexp.MustCompile(`^(cmd|dispatch|fleet|node|platform)/[a-z/]+$`)
)

// readAllGoFiles returns the concatenated text of all Go files below root.
func readAllGoFiles(t *testing.T, root string) string {
	t.Helper()
	var b strings.Builder
	err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		data, err := os.ReadFile(path)
		b.Write(data)
		return err
	})
	require.NoError(t, err)
	return b.String()
}

func TestGlossaryNamesCodeThatExists(t *testing.T) {
	page, err := os.ReadFile("../../../docs/GLOSSARY.md")
	require.NoError(t, err)
	code := readAllGoFiles(t, "../../..")
	checked := 0
	for _, span := range codeSpan.FindAllStringSubmatch(string(page), -1) {
		if packageFolder.MatchString(span[1]) {
			require.DirExists(t, "../../../"+span[1])
			checked++
		}
		if name := goIdentifier.FindStringSubmatch(span[1]); name != nil {
			require.Regexp(t, `\b`+name[1]+`\b`, code, span[1])
			checked++
		}
	}
	require.Greater(t, checked, 8)
}

func TestPlatformPageListsEveryCallAndKind(t *testing.T) {
	page, err := os.ReadFile("../../../docs/PLATFORM.md")
	require.NoError(t, err)
	text := string(page)
	for _, path := range []string{client.PathAppend, client.PathRead, client.PathVMs, client.PathAct, client.PathUsage} {
		require.Contains(t, text, path)
	}
	kinds := []infra.Kind{
		infra.KindUnavailable, infra.KindUnknown, infra.KindTrimmed,
		infra.KindRateLimited, infra.KindFenced, infra.KindRefused,
	}
	for _, kind := range kinds {
		require.Contains(t, text, "`"+string(kind)+"`")
	}
	actions := []infra.ActionKind{
		infra.ActionDrain, infra.ActionReboot, infra.ActionCheckpoint, infra.ActionThrottle, infra.ActionStop,
	}
	for _, action := range actions {
		require.Contains(t, text, string(action))
	}
}
