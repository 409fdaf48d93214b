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
		Usage:       "write an HTML page with plots of a recorded run",
		Description: "Example:\n  wigeonwinch demo --for 20s --record run.json\n  wigeonwinch report --from run.json --out report.html",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "from", Usage: "file written by `wigeonwinch demo --record`", Required: true},
			&cli.StringFlag{Name: "out", Usage: "HTML file to write", Value: "report.html"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			rec, err := readRecording(cmd.String("from"))
			if err != nil {
				return err
			}
			page, err := report.Page(rec)
			if err != nil {
				return exitErrorf(ExitFailed, "report: %v", err)
			}
			if err := os.WriteFile(cmd.String("out"), page, 0o644); err != nil {
				return exitErrorf(ExitUsage, "--out: cannot write the page; name a writable path: %v", err)
			}
			_, err = fmt.Fprintln(cmd.Root().Writer, "wrote "+cmd.String("out"))
			return err
		},
	}
}

func readRecording(path string) (*demo.Recording, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "--from: cannot read the recording: %v", err)
	}
	rec := &demo.Recording{}
	if err := json.Unmarshal(data, rec); err != nil {
		return nil, exitErrorf(ExitUsage, "--from %s: the file is not a recording of `wigeonwinch demo --record`: %v", path, err)
	}
	return rec, nil
}
