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

// pages are the docs pages that are written from the code.
var pages = map[string]func() string{
	"api":               func() string { return admin.ReferencePage() + jobapi.ReferencePage() },
	"events":            events.ReferencePage,
	"metrics":           telemetry.Page,
	"settings":          settings.ReferencePage,
	"settings-platform": platform.SettingsPage,
}

func docsCommand() *cli.Command {
	return &cli.Command{
		Name:        "docs",
		Usage:       "print a docs page that is written from the code: api, events, metrics, settings or settings-platform",
		ArgsUsage:   "PAGE",
		Description: "Example:\n  wigeonwinch docs events > docs/EVENTS.md",
		Action: func(_ context.Context, cmd *cli.Command) error {
			page, ok := pages[cmd.Args().First()]
			if !ok {
				return fail(ExitUsage, "page %q does not exist: write api, events, metrics, settings or settings-platform", cmd.Args().First())
			}
			_, err := fmt.Fprint(cmd.Root().Writer, page())
			return err
		},
	}
}
