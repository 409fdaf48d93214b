package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"wigeonwinch/cmd/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run the whole system in one process on loopback and check its guarantees",
		Description: "Example:\n  wigeonwinch demo --for 20s --seed 7 --record run.json\n\nThe last line of standard output is one JSON object. The exit code is 0 only\nif lost, doubled, crossed, cut, violations and errors are all 0.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "how long the load runs", Value: 20 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load", Value: 1},
			&cli.StringFlag{Name: "manifest", Usage: "manifest to run", Value: "examples/gothalo.json"},
			&cli.StringFlag{Name: "record", Usage: "file to write the recording to, for `wigeonwinch report`"},
			&cli.StringFlag{Name: "node-log", Usage: "file to write the nodes' JSON logs to"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	data, err := os.ReadFile(cmd.String("manifest"))
	if err != nil {
		return exitErrorf(ExitUsage, "--manifest: cannot read the manifest; name a readable file such as examples/gothalo.json: %v", err)
	}
	opts := demo.Options{Manifest: data, Duration: cmd.Duration("for"), Seed: cmd.Uint64("seed"), Progress: cmd.Root().ErrWriter}
	if path := cmd.String("node-log"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return exitErrorf(ExitUsage, "--node-log: cannot create the file; name a writable path: %v", err)
		}
		defer file.Close()
		opts.NodeLog = file
	}
	rec, err := demo.Run(ctx, opts)
	if err != nil {
		return exitErrorf(ExitFailed, "demo: %v", err)
	}
	if path := cmd.String("record"); path != "" {
		if err := writeRecording(path, rec); err != nil {
			return err
		}
	}
	return reportDemo(cmd.Root().Writer, cmd, rec)
}

func writeRecording(path string, rec *demo.Recording) error {
	data, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return exitErrorf(ExitUsage, "--record: cannot write the recording; name a writable path: %v", err)
	}
	return nil
}

func reportDemo(w io.Writer, cmd *cli.Command, rec *demo.Recording) error {
	for _, text := range rec.Errors {
		fmt.Fprintln(cmd.Root().ErrWriter, "error: "+text)
	}
	r := rec.Result
	t := table{header: []string{"figure", "value"}}
	t.add("requests sent", r.Sent)
	t.add("answered / not run / unknown", fmt.Sprintf("%d / %d / %d", r.Answered, r.NotRun, r.Unknown))
	t.add("lost / doubled / crossed / cut", fmt.Sprintf("%d / %d / %d / %d", r.Lost, r.Doubled, r.Crossed, r.Cut))
	t.add("broken invariants", r.Violations)
	t.add("slowest change in force everywhere", fmt.Sprintf("%.0f ms", r.ConfigInForceMS))
	t.add("VMs maintained in the wave", fmt.Sprintf("%d of %d", r.WaveVMsDone, r.WaveVMs))
	t.add("least available against budget", fmt.Sprintf("%.0f %%", r.LeastAvailablePercent))
	t.add("99th percentile wait, short work", fmt.Sprintf("%.0f ms", r.ShortWaitP99MS))
	t.add("99th percentile wait, long work", fmt.Sprintf("%.0f ms", r.LongWaitP99MS))
	t.add("99th percentile wait, urgent work", fmt.Sprintf("%.0f ms", r.UrgentWaitP99MS))
	for _, reason := range slices.Sorted(maps.Keys(rec.Reasons)) {
		t.add(reason, rec.Reasons[reason])
	}
	if err := printTable(cmd, t); err != nil {
		return err
	}
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, string(line))
	if !r.Clean() {
		return exitErrorf(ExitFailed, "a guarantee was violated; see the table above")
	}
	return nil
}
