package cli

import (
	"bufio"
	"bytes"
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

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "show what happened to a job, from the logs of all nodes",
		ArgsUsage:   "[FILE...]",
		Description: "Example:\n  wigeonwinch explain --job 5c0e7a21d94b36f8 node-1.log node-2.log\n\nWithout files, it reads standard input. The lines of all nodes are sorted by time. They\ninclude changes of the owner of the job's shard and of the workers that ran the job.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "job", Usage: "id of the job", Required: true},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return explain(cmd.Root().Writer, os.Stdin, cmd.String("job"), cmd.Args().Slice())
		},
	}
}

// logLine holds the fields of a node's log line that explain uses.
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

// explain prints the lines of the logs that concern a job, in order of time.
func explain(out io.Writer, in io.Reader, job string, files []string) error {
	lines, err := readLogs(in, files)
	if err != nil {
		return err
	}
	selected := selectJobLines(lines, job)
	if len(selected) == 0 {
		return exitErrorf(ExitFailed, "no log line mentions job %s: check the id and that the logs of all nodes are given", job)
	}
	for _, l := range selected {
		fmt.Fprintln(out, l.format())
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
			return nil, exitErrorf(ExitUsage, "cannot open the log: %v", err)
		}
		all = append(all, scanLog(f)...)
		_ = f.Close()
	}
	return all, nil
}

// scanLog returns the lines that hold a JSON object with an event name. Text
// before the object, such as a log collector's timestamp, and lines longer than
// maxLogLine are ignored.
func scanLog(r io.Reader) []logLine {
	var lines []logLine
	in := bufio.NewReaderSize(r, maxLogLine)
	for {
		text, tooLong, err := in.ReadLine()
		if err != nil {
			return lines
		}
		if tooLong {
			for tooLong && err == nil {
				_, tooLong, err = in.ReadLine()
			}
			continue
		}
		i := bytes.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(text[i:], &l) == nil && l.Name != "" {
			lines = append(lines, l)
		}
	}
}

// selectJobLines returns the lines of a job, sorted by time. It adds the lines about
// the job's shard and its workers between the job's first and last line.
func selectJobLines(lines []logLine, job string) []logLine {
	workers := map[string]bool{}
	shardPrefixes := map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.Request != job {
			continue
		}
		if l.VM != "" {
			workers[l.VM] = true
		}
		if l.Shard != nil {
			// Topic 4 is deps.TopicJobs, which has one partition per shard.
			shardPrefixes[fmt.Sprintf("topic=4 partition=%d ", *l.Shard)] = true
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var selected []logLine
	for _, l := range lines {
		inSpan := !l.Time.Before(first) && !l.Time.After(last)
		if l.Request == job || inSpan && (strings.HasPrefix(l.Name, "worker_") && workers[l.VM] || isShardEvent(l, shardPrefixes)) {
			selected = append(selected, l)
		}
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].Time.Before(selected[j].Time) })
	return selected
}

// isShardEvent reports whether the line is an event about the ownership or the
// store of a shard whose prefix is in shardPrefixes. The detail of such an event
// starts with the topic and partition of the shard.
func isShardEvent(l logLine, shardPrefixes map[string]bool) bool {
	if !strings.HasPrefix(l.Name, "shard_") && l.Name != "store_lost" && l.Name != "store_back" {
		return false
	}
	for prefix := range shardPrefixes {
		if strings.HasPrefix(l.Detail+" ", prefix) {
			return true
		}
	}
	return false
}

func (l logLine) format() string {
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
