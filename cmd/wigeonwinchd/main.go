// Command wigeonwinchd runs one entry node. On SIGTERM or SIGINT it completes
// the work in progress and exits.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"wigeonwinch/fleet/strictjson"
	"wigeonwinch/node/entry"
	"wigeonwinch/node/jobapi"
	"wigeonwinch/node/settings"
	"wigeonwinch/node/telemetry"
	"wigeonwinch/node/timeline"
	"wigeonwinch/platform"
)

// Exit codes of the entry node.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:        "wigeonwinchd",
		Usage:       "run one entry node",
		Description: "Example:\n  wigeonwinchd --settings /etc/wigeonwinch/node.json\n\nExit codes: 0 stopped gracefully; 1 failed; 2 invalid settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file, see docs/SETTINGS.md", Sources: cli.EnvVars("WIGEONWINCH_SETTINGS")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return run(ctx, cmd.String("settings"))
		},
		Commands: []*cli.Command{{
			Name:  "platform",
			Usage: "run one entry node on the users' platform; the platform names the settings file",
			Action: func(ctx context.Context, _ *cli.Command) error {
				return runOnPlatform(ctx)
			},
		}},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wigeonwinchd: "+err.Error())
		os.Exit(exitFailure)
	}
}

// runOnPlatform runs the entry node with the settings file that the platform
// provides.
func runOnPlatform(ctx context.Context) error {
	hangup := platform.NotifyHangup()
	nodeSettings, problems := platform.LoadSettings()
	exitOnProblems(problems)
	if limit := nodeSettings.MemoryLimitBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	logger := telemetry.NewLogger(telemetry.NewAsyncWriter(os.Stdout))
	rings := telemetry.Rings{Fleet: timeline.NewRing(timelineCapacity), Requests: timeline.NewRing(timelineCapacity)}
	recorder := telemetry.NewRecorder(telemetry.Identity{Node: nodeSettings.Node, Zone: nodeSettings.Zone}, logger, rings, timeline.NewClock(time.Now), metrics)
	var tokens []string
	if token := os.Getenv(jobapi.TokenVariable); token != "" {
		tokens = append(tokens, token)
	}
	return platform.Serve(ctx, platform.NodeConfig{Settings: nodeSettings, OperatorTokens: tokens, Timeline: rings, PeerKey: os.Getenv("WIGEONWINCH_PEER_KEY"), Events: recorder, Metrics: metrics, Hangup: hangup})
}

// timelineCapacity is the maximum number of entries kept in memory in each of
// the two timeline rings.
const timelineCapacity = 2000

func run(ctx context.Context, path string) error {
	s, problems := settings.Load(path)
	exitOnProblems(problems)
	node, err := entry.New(entry.Config{Settings: s})
	if err != nil {
		return err
	}
	return node.Run(ctx)
}

// exitOnProblems prints the problems found in the settings and exits with
// exitSettings. It returns if there are none.
func exitOnProblems(problems []strictjson.Problem) {
	if len(problems) == 0 {
		return
	}
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, "  "+p.Error())
	}
	fmt.Fprintf(os.Stderr, "wigeonwinchd: invalid settings: %d problems, listed above\n", len(problems))
	os.Exit(exitSettings)
}
