package cli

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"wigeonwinch/fleet/planner"
	"wigeonwinch/node/admin"
)

func wavesCommand() *cli.Command {
	return &cli.Command{
		Name: "waves", Usage: "show the maintenance waves, how far they are and when they will end",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			report, err := readWaves(ctx, cmd)
			if err != nil {
				return err
			}
			return show(cmd, report, func() table { return wavesTable(report) })
		},
	}
}

// readWaves asks the nodes in turn until one has the forecast, which only the
// holder of the planner's lease has.
func readWaves(ctx context.Context, cmd *cli.Command) (admin.WaveReport, error) {
	list, err := clients(cmd)
	if err != nil {
		return admin.WaveReport{}, err
	}
	var best *admin.WaveReport
	var last error
	for _, c := range list {
		var report admin.WaveReport
		if last = c.Get(ctx, "/v1/waves", &report); last != nil {
			continue
		}
		if len(report.Forecast) > 0 {
			return report, nil
		}
		if best == nil {
			best = &report
		}
	}
	if best == nil {
		return admin.WaveReport{}, last
	}
	return *best, nil
}

func wavesTable(report admin.WaveReport) table {
	t := table{header: []string{"wave", "image", "done", "total", "out", "failed probation", "paused", "stopped", "blocked pools", "expected end"}}
	forecasts := map[string]planner.WaveForecast{}
	for _, f := range report.Forecast {
		forecasts[f.Wave] = f
	}
	for _, w := range report.Waves {
		f := forecasts[w.Name]
		t.add(w.Name, w.Image, w.Done, w.Total, w.Out, w.FailedProbation, w.Paused, w.Stopped, strings.Join(f.Blocked, " "), expectedEnd(f))
	}
	return t
}

func expectedEnd(f planner.WaveForecast) string {
	if f.ExpectedEnd.IsZero() {
		return "not known"
	}
	return f.ExpectedEnd.UTC().Format(time.RFC3339)
}
