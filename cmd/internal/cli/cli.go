// Package cli is the command line of operators and pipelines.
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

// Version is the version of the product.
const Version = "0.1.0"

// The exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitUnreachable = 3
	ExitNotKnown    = 4
)

// exitCodes is the text about exit codes in the help.
const exitCodes = `Exit codes: 0 done; 1 refused or failed; 2 wrong use, settings or manifest;
3 no node could be reached; 4 the outcome is not known, ask again.`

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the error.
func (e *exitError) Error() string { return e.err.Error() }

func fail(code int, format string, args ...any) error {
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
	return codeOf(err)
}

func codeOf(err error) int {
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
		Usage:                 "look after pools of VMs, their services and their maintenance",
		Version:               version(),
		Description:           "Examples:\n  wigeonwinch demo --for 20s\n  wigeonwinch --nodes 10.0.0.5:8082 status\n  wigeonwinch manifest check examples/gothalo.json\n\n" + exitCodes,
		EnableShellCompletion: true,
		Writer:                stdout,
		ErrWriter:             stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "nodes", Usage: "administration addresses of entry nodes, comma separated", Sources: cli.EnvVars("WIGEONWINCH_NODES"), Value: "127.0.0.1:8082"},
			&cli.StringFlag{Name: "token-file", Usage: "file whose first line is the token; else WIGEONWINCH_TOKEN is used"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "json or table", Value: "table"},
			&cli.DurationFlag{Name: "timeout", Usage: "time that one call may take", Value: 10 * time.Second},
		},
		Commands: []*cli.Command{
			statusCommand(), poolsCommand(), servicesCommand(), vmsCommand(), wavesCommand(), teamsCommand(),
			timelineCommand(), manifestCommand(), settingsCommand(), demoCommand(), reportCommand(), standinCommand(), explainCommand(), jobsCommand(), queuesCommand(), labCommand(), docsCommand(), versionCommand(),
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

// clients returns a client for each address of the nodes flag.
func clients(cmd *cli.Command) ([]*apiclient.Client, error) {
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
		return nil, fail(ExitUsage, "no node is named: use --nodes IP:port or set WIGEONWINCH_NODES")
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
		return "", fail(ExitUsage, "token file: name a file that can be read: %v", err)
	}
	first, _, _ := strings.Cut(string(data), "\n")
	return strings.TrimSpace(first), nil
}

// first reads a route from the first node that answers.
func first(ctx context.Context, cmd *cli.Command, path string, answer any) error {
	return firstOf(cmd, func(c *apiclient.Client) error { return c.Get(ctx, path, answer) })
}

// firstOf calls the nodes in turn until one does what it is asked or refuses.
func firstOf(cmd *cli.Command, call func(c *apiclient.Client) error) error {
	list, err := clients(cmd)
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
