// Package cli implements the wigeonwinch command line for operators and pipelines.
//
//	os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"wigeonwinch/cmd/internal/apiclient"
)

// Version is the product version.
const Version = "0.1.0"

// Exit codes of the command line.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitUnreachable    = 3
	ExitUnknownOutcome = 4
)

// exitCodesHelp describes the exit codes in the help.
const exitCodesHelp = `Exit codes: 0 success; 1 refused or failed; 2 invalid usage, settings or manifest;
3 no node could be reached; 4 the outcome is unknown, run the command again.`

// exitError is an error that makes the command line exit with the given code.
type exitError struct {
	code int
	err  error
}

// Error implements the error interface.
func (e *exitError) Error() string { return e.err.Error() }

// exitErrorf returns a formatted error with an exit code.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, args...)}
}

// Run runs the command line and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := rootCommand(stdout, stderr)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "wigeonwinch: "+err.Error())
	return exitCode(err)
}

// exitCode returns the exit code for an error. Errors of the administration API
// map to ExitUnreachable or ExitFailed; any other error without a code is a usage
// error of the command line parser.
func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var api *apiclient.Error
	if errors.As(err, &api) {
		if api.Kind == apiclient.KindUnreachable {
			return ExitUnreachable
		}
		return ExitFailed
	}
	return ExitUsage
}

func rootCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "wigeonwinch",
		Usage:                 "manage pools of VMs, their services and their maintenance",
		Version:               version(),
		Description:           "Examples:\n  wigeonwinch demo --for 20s\n  wigeonwinch --nodes 10.0.0.5:8082 status\n  wigeonwinch manifest check examples/gothalo.json\n\n" + exitCodesHelp,
		EnableShellCompletion: true,
		Writer:                stdout,
		ErrWriter:             stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "nodes", Usage: "comma-separated administration addresses of entry nodes", Sources: cli.EnvVars("WIGEONWINCH_NODES"), Value: "127.0.0.1:8082"},
			&cli.StringFlag{Name: "token-file", Usage: "file whose first line is the token; without it, WIGEONWINCH_TOKEN is used"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "output format, json or table", Value: "table"},
			&cli.DurationFlag{Name: "timeout", Usage: "timeout of one request to a node", Value: 10 * time.Second},
		},
		Commands: []*cli.Command{
			statusCommand(), poolsCommand(), servicesCommand(), vmsCommand(), wavesCommand(), teamsCommand(),
			timelineCommand(), manifestCommand(), settingsCommand(), demoCommand(), reportCommand(), standinCommand(), explainCommand(), jobsCommand(), queuesCommand(), customersCommand(), labCommand(), docsCommand(), versionCommand(),
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	return Version + " " + info.GoVersion
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, "wigeonwinch "+version())
			return err
		},
	}
}

// nodeClients returns a client for each address in the --nodes flag.
func nodeClients(cmd *cli.Command) ([]*apiclient.Client, error) {
	token, err := readToken(cmd)
	if err != nil {
		return nil, err
	}
	var list []*apiclient.Client
	for _, address := range strings.Split(cmd.String("nodes"), ",") {
		address = strings.TrimSpace(address)
		if address != "" {
			list = append(list, apiclient.New(address, token, cmd.Duration("timeout")))
		}
	}
	if len(list) == 0 {
		return nil, exitErrorf(ExitUsage, "no node address is given: use --nodes IP:port or set WIGEONWINCH_NODES")
	}
	return list, nil
}

func readToken(cmd *cli.Command) (string, error) {
	path := cmd.String("token-file")
	if path == "" {
		return os.Getenv("WIGEONWINCH_TOKEN"), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", exitErrorf(ExitUsage, "--token-file: cannot read the token file: %v", err)
	}
	first, _, _ := strings.Cut(string(data), "\n")
	return strings.TrimSpace(first), nil
}

// getFromNodes requests a path with GET from the nodes in turn and decodes the
// first answer.
func getFromNodes(ctx context.Context, cmd *cli.Command, path string, answer any) error {
	return tryNodes(cmd, func(c *apiclient.Client) error { return c.Get(ctx, path, answer) })
}

// tryNodes runs call with the nodes in turn until one succeeds or refuses the
// request. After any other error it tries the next node; if there is none, it
// returns the last error.
func tryNodes(cmd *cli.Command, call func(c *apiclient.Client) error) error {
	list, err := nodeClients(cmd)
	if err != nil {
		return err
	}
	var last error
	for _, c := range list {
		last = call(c)
		var api *apiclient.Error
		if last == nil || errors.As(last, &api) && api.Kind == apiclient.KindRefused {
			return last
		}
	}
	return last
}
