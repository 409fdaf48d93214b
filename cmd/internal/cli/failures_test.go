package cli

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wigeonwinch/node/events"
)

var (
	namedTest          = regexp.MustCompile(`Test[A-Z]\w+`)
	declaredTest       = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	eventNumbersColumn = regexp.MustCompile(`\| ([\d, ]+) \|$`)
)

// declaredTests returns the names of all tests declared below root.
func declaredTests(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, match := range declaredTest.FindAllStringSubmatch(string(data), -1) {
			names[match[1]] = true
		}
		return err
	})
	require.NoError(t, err)
	return names
}

func TestFailuresPageNamesTestsAndEventsThatExist(t *testing.T) {
	page, err := os.ReadFile("../../../docs/FAILURES.md")
	require.NoError(t, err)
	declared := declaredTests(t, "../../..")
	for _, name := range namedTest.FindAllString(string(page), -1) {
		require.True(t, declared[name], name)
	}
	known := map[int]bool{}
	for _, d := range events.Catalogue() {
		known[int(d.Number)] = true
	}
	for _, line := range strings.Split(string(page), "\n") {
		match := eventNumbersColumn.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		for _, field := range strings.Split(match[1], ",") {
			number, err := strconv.Atoi(strings.TrimSpace(field))
			require.NoError(t, err, line)
			require.True(t, known[number], line)
		}
	}
}
