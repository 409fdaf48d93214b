package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const twoNodesLog = `  3.1 node-b {"time":"2026-01-01T00:00:02Z","node":"b","name":"run_ended","request":"aa","task":"0.0.0","run":1,"vm":"w1","outcome":"failed","shard":2,"epoch":9}
{"time":"2026-01-01T00:00:01Z","node":"a","name":"job_accepted","request":"aa","shard":2,"epoch":8}
{"time":"2026-01-01T00:00:01.5Z","node":"b","name":"shard_taken","detail":"topic=4 partition=2 epoch=9"}
{"time":"2026-01-01T00:00:01.6Z","node":"b","name":"shard_taken","detail":"topic=4 partition=3 epoch=9"}
not a log line
{"time":"2026-01-01T00:00:01.7Z","node":"b","name":"job_accepted","request":"bb","shard":2}
`

func TestExplainMergesLogsOfAllNodes(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, explain(&out, strings.NewReader(twoNodesLog), "aa", nil))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3)
	assert.Contains(t, lines[0], "job_accepted")
	assert.Contains(t, lines[1], "shard_taken")
	assert.Contains(t, lines[2], "outcome=failed")
}

func TestExplainUnknownJobSuggestsWhatToCheck(t *testing.T) {
	err := explain(&bytes.Buffer{}, strings.NewReader(twoNodesLog), "cc", nil)
	require.Error(t, err)
	assert.Contains(t, err.Error(), "check the id")
}

// A line that is longer than a log line can be must not hide the lines after it.
func TestExplainReadsOnAfterAnOverlongLine(t *testing.T) {
	var out bytes.Buffer
	log := strings.Repeat("x", maxLogLine+100) + "\n" + twoNodesLog
	require.NoError(t, explain(&out, strings.NewReader(log), "aa", nil))
	assert.Contains(t, out.String(), "job_accepted")
}
