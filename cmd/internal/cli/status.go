package cli

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"wigeonwinch/cmd/internal/apiclient"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/admin"
	"wigeonwinch/node/timeline"
)

// nodeStatus is the status of one node in the output of the status command.
type nodeStatus struct {
	Address    string             `json:"address"`
	Node       string             `json:"node,omitempty"`
	Zone       string             `json:"zone,omitempty"`
	Ready      bool               `json:"ready"`
	Reason     string             `json:"reason,omitempty"`
	Offset     structs.Offset     `json:"offset"`
	Generation structs.Generation `json:"generation"`
	// Behind is how many records the node lags behind the most advanced node.
	Behind structs.Offset `json:"behind"`
	Error  string         `json:"error,omitempty"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show which nodes are ready and which lag behind",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			list, err := nodeClients(cmd)
			if err != nil {
				return err
			}
			lines, reached := readStatus(ctx, list)
			err = printOutput(cmd, lines, func() table { return statusTable(lines) })
			if err == nil && reached == 0 {
				return exitErrorf(ExitUnreachable, "no node answered; check --nodes and that the nodes are running")
			}
			return err
		},
	}
}

// readStatus reads the status of every node and returns it with the number of
// nodes that answered.
func readStatus(ctx context.Context, list []*apiclient.Client) ([]nodeStatus, int) {
	var lines []nodeStatus
	var maxOffset structs.Offset
	reached := 0
	for _, c := range list {
		line := readNodeStatus(ctx, c)
		maxOffset = max(maxOffset, line.Offset)
		if line.Error == "" {
			reached++
		}
		lines = append(lines, line)
	}
	for i := range lines {
		lines[i].Behind = maxOffset - lines[i].Offset
	}
	return lines, reached
}

func readNodeStatus(ctx context.Context, c *apiclient.Client) nodeStatus {
	line := nodeStatus{Address: c.Address()}
	var state admin.StateCounts
	if err := c.Get(ctx, "/v1/state", &state); err != nil {
		line.Error = err.Error()
		return line
	}
	var ready admin.Readiness
	err := c.Get(ctx, "/v1/ready", &ready)
	line.Node, line.Zone = state.Node, state.Zone
	line.Offset, line.Generation = state.Offset, state.Generation
	line.Ready = err == nil && ready.Ready
	if !line.Ready {
		line.Reason = "not ready; see the timeline of the node"
	}
	return line
}

func statusTable(lines []nodeStatus) table {
	t := table{header: []string{"address", "node", "zone", "ready", "offset", "behind", "generation", "note"}}
	for _, l := range lines {
		note := l.Reason
		if l.Error != "" {
			note = l.Error
		}
		t.add(l.Address, l.Node, l.Zone, l.Ready, l.Offset, l.Behind, l.Generation, note)
	}
	return t
}

// mergedTimeline is the output of the timeline command.
type mergedTimeline struct {
	Entries []timeline.Entry `json:"entries"`
	// Missing lists the errors of the nodes that did not answer.
	Missing []string `json:"missing,omitempty"`
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:        "timeline",
		Usage:       "show the events of all nodes in causal order",
		Description: "Example:\n  wigeonwinch --nodes 10.0.0.5:8082,10.0.1.5:8082 timeline --vm w-12 --since 10m",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "show only events of this request id"},
			&cli.StringFlag{Name: "vm", Usage: "show only events of this VM"},
			&cli.DurationFlag{Name: "since", Usage: "show only events newer than this duration, such as 10m"},
			&cli.IntFlag{Name: "limit", Usage: "maximum number of events from each node", Value: 1000},
			&cli.BoolFlag{Name: "json", Usage: "the same as --output json"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			list, err := nodeClients(cmd)
			if err != nil {
				return err
			}
			merged := readTimeline(ctx, list, timelineQuery(cmd))
			if cmd.Bool("json") {
				if err := cmd.Root().Set("output", "json"); err != nil {
					return err
				}
			}
			err = printOutput(cmd, merged, func() table { return timelineTable(merged) })
			if err != nil {
				return err
			}
			for _, missing := range merged.Missing {
				fmt.Fprintln(cmd.Root().ErrWriter, "did not answer: "+missing)
			}
			if len(merged.Missing) == len(list) {
				return exitErrorf(ExitUnreachable, "no node answered; check --nodes and the token")
			}
			return nil
		},
	}
}

func timelineQuery(cmd *cli.Command) string {
	query := url.Values{}
	query.Set("request", cmd.String("request"))
	query.Set("vm", cmd.String("vm"))
	query.Set("limit", strconv.Itoa(cmd.Int("limit")))
	if span := cmd.Duration("since"); span > 0 {
		query.Set("since", time.Now().Add(-span).UTC().Format(time.RFC3339Nano))
	}
	return query.Encode()
}

func readTimeline(ctx context.Context, list []*apiclient.Client, query string) mergedTimeline {
	var merged mergedTimeline
	var parts [][]timeline.Entry
	for _, c := range list {
		var entries []timeline.Entry
		if err := c.Get(ctx, "/v1/timeline?"+query, &entries); err != nil {
			merged.Missing = append(merged.Missing, err.Error())
			continue
		}
		parts = append(parts, entries)
	}
	merged.Entries = timeline.Merge(parts...)
	return merged
}

func timelineTable(merged mergedTimeline) table {
	t := table{header: []string{"time", "node", "event", "name", "offset", "subject", "detail"}}
	for _, e := range merged.Entries {
		t.add(e.Stamp.Time().Format("15:04:05.000000"), e.Node, e.Number, e.Name, e.Offset, entrySubject(e), e.Detail)
	}
	return t
}

// entrySubject joins the ids and names that are set in a timeline entry.
func entrySubject(e timeline.Entry) string {
	text := ""
	for _, part := range []string{e.Request, e.VM, e.Pool, e.Service, e.Team, e.Peer} {
		if part == "" {
			continue
		}
		if text != "" {
			text += " "
		}
		text += part
	}
	return text
}
