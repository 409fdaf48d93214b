package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"wigeonwinch/node/admin"
	"wigeonwinch/node/events"
	"wigeonwinch/node/jobapi"
	"wigeonwinch/node/settings"
	"wigeonwinch/node/telemetry"
	"wigeonwinch/platform"
)

// generatedPages maps the names of the docs pages that are generated from the
// code to the functions that return their text.
var generatedPages = map[string]func() string{
	"api":               func() string { return admin.ReferencePage() + jobapi.ReferencePage() },
	"events":            events.ReferencePage,
	"metrics":           telemetry.Page,
	"settings":          settings.ReferencePage,
	"settings-platform": platform.SettingsPage,
}

func docsCommand() *cli.Command {
	return &cli.Command{
		Name:        "docs",
		Usage:       "print a docs page generated from the code: api, events, metrics, settings or settings-platform",
		ArgsUsage:   "PAGE",
		Description: "Example:\n  wigeonwinch docs events > docs/EVENTS.md",
		Action: func(_ context.Context, cmd *cli.Command) error {
			page, ok := generatedPages[cmd.Args().First()]
			if !ok {
				return exitErrorf(ExitUsage, "unknown page %q: use api, events, metrics, settings or settings-platform", cmd.Args().First())
			}
			_, err := fmt.Fprint(cmd.Root().Writer, page())
			return err
		},
	}
}
