package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"wigeonwinch/jobs/lab"
)

func labCommand() *cli.Command {
	return &cli.Command{
		Name: "lab", Usage: "simulate loads and scheduling policies in virtual time",
		Commands: []*cli.Command{{
			Name: "compare", Usage: "compare the production policy with simpler policies and with an upper bound",
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "workers", Usage: "number of workers in the pool", Value: 20},
				&cli.IntFlag{Name: "seconds", Usage: "length of the load in seconds", Value: 40},
				&cli.Uint64Flag{Name: "seed", Usage: "seed of the load", Value: 1},
				&cli.FloatFlag{Name: "peak", Usage: "demand in the peak phase as a multiple of the mean", Value: 5},
			},
			Description: "Example:\n  wigeonwinch lab compare --workers 50 --seed 2\n\nA comparison with 350 workers takes minutes.",
			Action:      comparePolicies,
		}},
	}
}

func comparePolicies(_ context.Context, cmd *cli.Command) error {
	load := lab.Load{Workers: int(cmd.Int("workers")), Seed: cmd.Uint64("seed"), Seconds: int(cmd.Int("seconds")), Peak: cmd.Float("peak")}
	if load.Workers < 1 || load.Seconds < 1 || load.Peak <= 0 {
		return exitErrorf(ExitUsage, "--workers, --seconds and --peak must be greater than 0")
	}
	var results []lab.Result
	for _, p := range lab.Policies {
		results = append(results, lab.Run(load, p))
	}
	return printOutput(cmd, results, func() table {
		t := table{header: []string{"policy", "jobs", "earned", "of bound", "worst window", "largest tenth", "refusals", "taken later", "broken"}}
		for _, r := range results {
			t.add(r.Policy, r.Jobs, fmt.Sprintf("%.3f", r.Earned), fmt.Sprintf("%.3f", r.Earned/r.UpperBound), fmt.Sprintf("%.2f", r.WorstWindow), fmt.Sprintf("%.2f", r.LargestTenth), r.Refusals, r.AcceptedAfterRefusal, r.Violations)
		}
		return t
	})
}
