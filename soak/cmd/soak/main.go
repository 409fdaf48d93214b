// Command soak runs the randomised fault soak against the real program.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"wigeonwinch/soak"
)

// Exit codes.
const (
	exitViolation = 1
	exitFailure   = 2
)

var errViolation = errors.New("a promise was broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	command := &cli.Command{
		Name:  "soak",
		Usage: "run entry nodes as processes, inject faults and check what clients and workers see",
		Description: "Example:\n  go build -ldflags=-linkmode=external -o target/ ./cmd/... ./soak/cmd/... && target/soak --seed 7\n\n" +
			"Exit codes: 0 all promises were kept; 1 one was broken; 2 the run failed.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed of all random choices; 0 takes one from the clock"},
			&cli.IntFlag{Name: "seconds", Value: 30, Usage: "time of the traffic"},
			&cli.IntFlag{Name: "nodes", Value: 5, Usage: "number of entry nodes"},
			&cli.IntFlag{Name: "workers", Value: 10, Usage: "number of workers"},
			&cli.StringSliceFlag{Name: "kinds", Usage: "kinds of faults, such as restart-worker,late-calls, that follow one another without a pause"},
			&cli.StringFlag{Name: "program", Value: "target/wigeonwinchd", Usage: "path of the program"},
			&cli.StringFlag{Name: "keep", Usage: "directory that keeps the logs; without it only those of runs that break a promise are kept"},
		},
		Commands: []*cli.Command{{
			Name:   "regressions",
			Usage:  "run the seeds that have broken a promise before",
			Action: runRegressions,
		}},
		Action: runSeed,
	}
	err := command.Run(ctx, os.Args)
	switch {
	case err == nil:
	case errors.Is(err, errViolation):
		os.Exit(exitViolation)
	default:
		fmt.Fprintln(os.Stderr, "soak: "+err.Error())
		os.Exit(exitFailure)
	}
}

// runSeed runs the seed that the flags name.
func runSeed(ctx context.Context, cmd *cli.Command) error {
	o := soak.Options{Seed: cmd.Uint64("seed"), Nodes: cmd.Int("nodes"), Workers: cmd.Int("workers"), Duration: time.Duration(cmd.Int("seconds")) * time.Second}
	for _, kind := range cmd.StringSlice("kinds") {
		o.Kinds = append(o.Kinds, soak.FaultKind(kind))
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	if o.Nodes < 1 || o.Workers < 1 || o.Duration <= 0 {
		return errors.New("--nodes, --workers and --seconds must be at least 1")
	}
	if unknown := o.UnknownKinds(); len(unknown) > 0 {
		return errors.Errorf("unknown kinds of faults: %v", unknown)
	}
	return run(ctx, cmd, o)
}

// runRegressions runs all seeds of the list, also after one that breaks a promise.
func runRegressions(ctx context.Context, cmd *cli.Command) error {
	var failed error
	for _, r := range soak.Regressions() {
		fmt.Printf("seed %d, %s\n", r.Seed, r.Cause)
		err := run(ctx, cmd, r.Options)
		if err != nil && !errors.Is(err, errViolation) {
			return err
		}
		if err != nil {
			failed = err
		}
	}
	return failed
}

// run runs one seed, prints its report and keeps or removes its logs.
func run(ctx context.Context, cmd *cli.Command, o soak.Options) error {
	dir, err := logDir(cmd.String("keep"), o.Seed)
	if err != nil {
		return err
	}
	o.Program, o.Dir = cmd.String("program"), dir
	report, err := soak.Run(ctx, o)
	if err != nil {
		return errors.Wrapf(err, "seed %d, logs in %s", o.Seed, dir)
	}
	report.Write(os.Stdout)
	if !report.OK() {
		return errViolation
	}
	if cmd.String("keep") == "" {
		return errors.Wrap(os.RemoveAll(dir), "remove the logs")
	}
	return nil
}

// logDir creates the directory of one run's logs.
func logDir(keep string, seed uint64) (string, error) {
	if keep == "" {
		dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
		return dir, errors.Wrap(err, "create a directory for the logs")
	}
	dir := filepath.Join(keep, fmt.Sprintf("seed-%d", seed))
	return dir, errors.Wrap(os.MkdirAll(dir, 0o700), "create the directory for the logs")
}
