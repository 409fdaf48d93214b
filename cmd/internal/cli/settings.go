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
				Flags:       []cli.Flag{&cli.BoolFlag{Name: "platform", Usage: "the file that the users' platform writes"}},
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
				Name: "show", Usage: "print settings with their defaults; secrets are hidden", ArgsUsage: "FILE",
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

// loadSettings reads the file that the only argument names and lists its faults.
func loadSettings[T any](cmd *cli.Command, load func(path string) (*T, []strictjson.Problem)) (*T, error) {
	if cmd.Args().Len() != 1 {
		return nil, fail(ExitUsage, "name one settings file")
	}
	s, problems := load(cmd.Args().First())
	if len(problems) > 0 {
		printProblems(cmd.Root().ErrWriter, problems)
		return nil, fail(ExitUsage, "the settings have %d faults, listed above", len(problems))
	}
	return s, nil
}
