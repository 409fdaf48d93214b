package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"wigeonwinch/cmd/internal/demo"
	"wigeonwinch/cmd/internal/report"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:        "report",
		Usage:       "write one HTML page with plots from a recorded run",
		Description: "Example:\n  wigeonwinch demo --for 20s --record run.json\n  wigeonwinch report --from run.json --out report.html",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "from", Usage: "file written by `wigeonwinch demo --record`", Required: true},
			&cli.StringFlag{Name: "out", Usage: "page to write", Value: "report.html"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			rec, err := readRecording(cmd.String("from"))
			if err != nil {
				return err
			}
			page, err := report.Page(rec)
			if err != nil {
				return fail(ExitFailed, "report: %v", err)
			}
			if err := os.WriteFile(cmd.String("out"), page, 0o644); err != nil {
				return fail(ExitUsage, "--out: name a file that can be written: %v", err)
			}
			_, err = fmt.Fprintln(cmd.Root().Writer, "wrote "+cmd.String("out"))
			return err
		},
	}
}

func readRecording(path string) (*demo.Recording, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail(ExitUsage, "--from: name a recording that can be read: %v", err)
	}
	rec := &demo.Recording{}
	if err := json.Unmarshal(data, rec); err != nil {
		return nil, fail(ExitUsage, "--from %s: it is not a recording of `wigeonwinch demo --record`: %v", path, err)
	}
	return rec, nil
}
