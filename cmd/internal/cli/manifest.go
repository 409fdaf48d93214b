package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"wigeonwinch/cmd/internal/apiclient"
	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/admin"
)

func manifestCommand() *cli.Command {
	return &cli.Command{
		Name:  "manifest",
		Usage: "check, publish and show manifests",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a manifest file without a node", ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					data, err := readArgument(cmd)
					if err != nil {
						return err
					}
					return checkManifest(cmd, data)
				},
			},
			{
				Name: "publish", Usage: "publish a manifest through a node; safe to repeat", ArgsUsage: "FILE",
				Description: "Examples:\n  wigeonwinch --nodes 10.0.0.5:8082 --token-file publish.token manifest publish manifest.json\n  wigeonwinch manifest publish --platform 10.0.9.1:9000 manifest.json",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "platform", Usage: "publish directly to the platform's log at this IP address and port, without a node; WIGEONWINCH_PLATFORM_TOKEN holds its token"},
				},
				Action: publishManifest,
			},
			{
				Name: "show", Usage: "print the manifest in force",
				Action: func(ctx context.Context, cmd *cli.Command) error {
					var m structs.Manifest
					if err := getFromNodes(ctx, cmd, "/v1/manifest", &m); err != nil {
						return err
					}
					if err := cmd.Root().Set("output", "json"); err != nil {
						return err
					}
					return printOutput(cmd, m, nil)
				},
			},
			{
				Name: "schema", Usage: "print the JSON schema of manifests",
				Action: func(_ context.Context, cmd *cli.Command) error {
					data, err := manifest.Schema()
					if err != nil {
						return err
					}
					_, err = cmd.Root().Writer.Write(data)
					return err
				},
			},
		},
	}
}

// readArgument reads the file named by the only argument, or standard input if
// the argument is -.
func readArgument(cmd *cli.Command) ([]byte, error) {
	if cmd.Args().Len() != 1 {
		return nil, exitErrorf(ExitUsage, "exactly one argument is required: a file, or - for standard input")
	}
	path := cmd.Args().First()
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "cannot read the file: %v", err)
	}
	return data, nil
}

func checkManifest(cmd *cli.Command, data []byte) error {
	m, problems := manifest.Parse(data)
	if len(problems) == 0 {
		if warnings := manifest.Warnings(m); len(warnings) > 0 {
			fmt.Fprintln(cmd.Root().ErrWriter, "warnings:")
			printProblems(cmd.Root().ErrWriter, warnings)
		}
		_, err := fmt.Fprintln(cmd.Root().Writer, "the manifest is valid")
		return err
	}
	printProblems(cmd.Root().ErrWriter, problems)
	return exitErrorf(ExitUsage, "the manifest has %d errors, listed above", len(problems))
}

func printProblems[P error](w io.Writer, problems []P) {
	for _, p := range problems {
		fmt.Fprintln(w, "  "+p.Error())
	}
}

func publishManifest(ctx context.Context, cmd *cli.Command) error {
	data, err := readArgument(cmd)
	if err != nil {
		return err
	}
	if _, problems := manifest.Parse(data); len(problems) > 0 {
		printProblems(cmd.Root().ErrWriter, problems)
		return exitErrorf(ExitUsage, "the manifest has %d errors, listed above; nothing was published", len(problems))
	}
	answer, err := publishManifestData(ctx, cmd, data)
	if err != nil {
		return err
	}
	err = printOutput(cmd, answer, func() table {
		t := table{header: []string{"outcome", "offset", "generation", "changes", "key", "detail"}}
		t.add(answer.Outcome, answer.Offset, answer.Generation, answer.Changes, answer.Key, answer.Detail)
		return t
	})
	if err != nil {
		return err
	}
	return publishExitError(cmd, answer)
}

// publishManifestData publishes a manifest through a node, or directly to the log if
// --platform is set.
func publishManifestData(ctx context.Context, cmd *cli.Command, data []byte) (admin.PublishResult, error) {
	if address := cmd.String("platform"); address != "" {
		return publishToLog(ctx, address, data)
	}
	list, err := nodeClients(cmd)
	if err != nil {
		return admin.PublishResult{}, err
	}
	return publishViaNodes(ctx, list, data)
}

// publishViaNodes tries the nodes in turn until one answers. Sending the same
// manifest through another node is safe, because both publishes have the same key.
func publishViaNodes(ctx context.Context, list []*apiclient.Client, data []byte) (admin.PublishResult, error) {
	var last error
	for _, c := range list {
		answer, err := c.Publish(ctx, data)
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return admin.PublishResult{}, last
}

// publishExitError returns the error for the outcome of a publish, and prints why it
// was refused. Accepted and unchanged manifests return nil.
func publishExitError(cmd *cli.Command, answer admin.PublishResult) error {
	switch answer.Outcome {
	case admin.OutcomeAccepted, admin.OutcomeUnchanged:
		return nil
	case admin.OutcomeNotKnown:
		return exitErrorf(ExitUnknownOutcome, "the outcome is not known: run the same command again; repeating it is safe")
	}
	printProblems(cmd.Root().ErrWriter, answer.Errors)
	for _, refusal := range answer.Refusals {
		fmt.Fprintf(cmd.Root().ErrWriter, "  %s: %s\n", refusal.Reason, refusal.Detail)
	}
	return exitErrorf(ExitFailed, "refused (%s): %s", answer.Reason, answer.Detail)
}
