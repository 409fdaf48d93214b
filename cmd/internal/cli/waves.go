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
		Name: "waves", Usage: "show the maintenance waves, their progress and their expected ends",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			report, err := readWaves(ctx, cmd)
			if err != nil {
				return err
			}
			return printOutput(cmd, report, func() table { return wavesTable(report) })
		},
	}
}

// readWaves queries the nodes in turn until one returns a forecast, which only the
// holder of the planner's lease has. If none does, it returns the first report
// without a forecast.
func readWaves(ctx context.Context, cmd *cli.Command) (admin.WaveReport, error) {
	list, err := nodeClients(cmd)
	if err != nil {
		return admin.WaveReport{}, err
	}
	var fallback *admin.WaveReport
	var last error
	for _, c := range list {
		var report admin.WaveReport
		if last = c.Get(ctx, "/v1/waves", &report); last != nil {
			continue
		}
		if len(report.Forecast) > 0 {
			return report, nil
		}
		if fallback == nil {
			fallback = &report
		}
	}
	if fallback == nil {
		return admin.WaveReport{}, last
	}
	return *fallback, nil
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
