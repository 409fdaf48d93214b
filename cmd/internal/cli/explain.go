package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "tell what happened to a job, from the logs of all nodes",
		ArgsUsage:   "[FILE...]",
		Description: "Example:\n  wigeonwinch explain --job 5c0e7a21d94b36f8 node-1.log node-2.log\n\nReads standard input without files. The lines of all nodes are put in the order of their\ntimes; changes of the owner of the job's shard and of its workers are shown among them.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "job", Usage: "id of the job", Required: true},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return explain(cmd.Root().Writer, os.Stdin, cmd.String("job"), cmd.Args().Slice())
		},
	}
}

// logLine is one line of a node's log, as far as it is explained.
type logLine struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Name    string    `json:"name"`
	Request string    `json:"request"`
	Task    string    `json:"task"`
	Run     int       `json:"run"`
	VM      string    `json:"vm"`
	Outcome string    `json:"outcome"`
	Detail  string    `json:"detail"`
	AgeMS   int64     `json:"age_ms"`
	Shard   *int      `json:"shard"`
	Epoch   int64     `json:"epoch"`
}

func explain(out io.Writer, in io.Reader, job string, files []string) error {
	lines, err := readLogs(in, files)
	if err != nil {
		return err
	}
	story := storyOf(lines, job)
	if len(story) == 0 {
		return fail(ExitFailed, "no line names job %s: check the id and that all nodes' logs are given", job)
	}
	for _, l := range story {
		fmt.Fprintln(out, l.text())
	}
	return nil
}

func readLogs(in io.Reader, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return scanLog(in), nil
	}
	var all []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fail(ExitUsage, "the log can't be opened: %v", err)
		}
		all = append(all, scanLog(f)...)
		_ = f.Close()
	}
	return all, nil
}

// scanLog takes the lines that hold a JSON object; what stands before it, as a
// collector's own time, is passed over.
func scanLog(r io.Reader) []logLine {
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 1<<16), maxLogLine)
	for s.Scan() {
		text := s.Text()
		i := strings.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[i:]), &l) == nil && l.Name != "" {
			lines = append(lines, l)
		}
	}
	return lines
}

// storyOf picks the lines about a job, its shard's owners and its workers.
func storyOf(lines []logLine, job string) []logLine {
	workers := map[string]bool{}
	shards := map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.Request != job {
			continue
		}
		if l.VM != "" {
			workers[l.VM] = true
		}
		if l.Shard != nil {
			shards[fmt.Sprintf("topic=4 partition=%d ", *l.Shard)] = true
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var story []logLine
	for _, l := range lines {
		inSpan := !l.Time.Before(first) && !l.Time.After(last)
		if l.Request == job || inSpan && (strings.HasPrefix(l.Name, "worker_") && workers[l.VM] || aboutShard(l, shards)) {
			story = append(story, l)
		}
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].Time.Before(story[j].Time) })
	return story
}

func aboutShard(l logLine, shards map[string]bool) bool {
	if !strings.HasPrefix(l.Name, "shard_") && l.Name != "store_lost" && l.Name != "store_back" {
		return false
	}
	for prefix := range shards {
		if strings.HasPrefix(l.Detail+" ", prefix) {
			return true
		}
	}
	return false
}

func (l logLine) text() string {
	parts := []string{l.Time.Format("15:04:05.000"), fmt.Sprintf("%-20s", l.Node), fmt.Sprintf("%-20s", l.Name)}
	add := func(key, value string) {
		if value != "" && value != "0" {
			parts = append(parts, key+"="+value)
		}
	}
	add("task", l.Task)
	add("run", fmt.Sprint(l.Run))
	add("worker", l.VM)
	add("outcome", l.Outcome)
	add("age_ms", fmt.Sprint(l.AgeMS))
	if l.Detail != "" {
		parts = append(parts, l.Detail)
	}
	return strings.Join(parts, " ")
}
