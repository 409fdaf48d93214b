package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"wigeonwinch/fleet/strictjson"
	"wigeonwinch/node/settings"
	"wigeonwinch/platform"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check and show the settings file of an entry node",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a settings file", ArgsUsage: "FILE",
				Flags:       []cli.Flag{&cli.BoolFlag{Name: "platform", Usage: "the file is the settings file that the users' platform writes"}},
				Description: "Examples:\n  wigeonwinch settings check node.json\n  wigeonwinch settings check --platform /etc/wigeonwinch/boot.json",
				Action: func(_ context.Context, cmd *cli.Command) error {
					var err error
					if cmd.Bool("platform") {
						_, err = loadSettings(cmd, platform.ReadSettings)
					} else {
						_, err = loadSettings(cmd, settings.Load)
					}
					if err != nil {
						return err
					}
					_, err = fmt.Fprintln(cmd.Root().Writer, "the settings are valid")
					return err
				},
			},
			{
				Name: "show", Usage: "print settings with defaults filled in; secrets are hidden", ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					s, err := loadSettings(cmd, settings.Load)
					if err != nil {
						return err
					}
					text, err := s.Show()
					if err != nil {
						return err
					}
					_, err = fmt.Fprintln(cmd.Root().Writer, text)
					return err
				},
			},
		},
	}
}

// loadSettings loads the settings file named by the only argument and prints the
// errors in it.
func loadSettings[T any](cmd *cli.Command, load func(path string) (*T, []strictjson.Problem)) (*T, error) {
	if cmd.Args().Len() != 1 {
		return nil, exitErrorf(ExitUsage, "exactly one argument is required: a settings file")
	}
	s, problems := load(cmd.Args().First())
	if len(problems) > 0 {
		printProblems(cmd.Root().ErrWriter, problems)
		return nil, exitErrorf(ExitUsage, "the settings have %d errors, listed above", len(problems))
	}
	return s, nil
}
