package cli

import (
	"context"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"wigeonwinch/fleet/structs"
	"wigeonwinch/node/admin"
)

func poolsCommand() *cli.Command {
	return &cli.Command{
		Name: "pools", Usage: "show the pools and their VM counts by state",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var pools []admin.PoolStatus
			if err := getFromNodes(ctx, cmd, "/v1/pools", &pools); err != nil {
				return err
			}
			return printOutput(cmd, pools, func() table {
				t := table{header: []string{"pool", "spare", "image", "vms"}}
				for _, p := range pools {
					t.add(p.Name, p.Spare, p.Image, formatVMCounts(p.VMs))
				}
				return t
			})
		},
	}
}

func servicesCommand() *cli.Command {
	return &cli.Command{
		Name: "services", Usage: "show the services and their availability budgets",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var services []admin.ServiceStatus
			if err := getFromNodes(ctx, cmd, "/v1/services", &services); err != nil {
				return err
			}
			return printOutput(cmd, services, func() table {
				t := table{header: []string{"service", "pool", "min", "min per zone", "survive", "available", "headroom", "routes"}}
				for _, s := range services {
					t.add(s.Name, s.Pool, s.Budget.MinAvailable, s.Budget.MinAvailablePerZone, s.Budget.Survive, s.Available, s.Headroom, strings.Join(s.Routes, " "))
				}
				return t
			})
		},
	}
}

func vmsCommand() *cli.Command {
	return &cli.Command{
		Name: "vms", Usage: "show the VMs",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "pool", Usage: "show only the VMs of this pool"},
			&cli.StringFlag{Name: "zone", Usage: "show only the VMs in this availability zone"},
			&cli.StringFlag{Name: "state", Usage: "show only the VMs in this state"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			query := url.Values{}
			for _, key := range []string{"pool", "zone", "state"} {
				query.Set(key, cmd.String(key))
			}
			var vms []admin.VMSummary
			if err := getFromNodes(ctx, cmd, "/v1/vms?"+query.Encode(), &vms); err != nil {
				return err
			}
			return printOutput(cmd, vms, func() table {
				t := table{header: []string{"vm", "pool", "zone", "rack", "state", "image", "wave", "acknowledged by"}}
				for _, vm := range vms {
					t.add(vm.ID, vm.Pool, vm.Zone, vm.Rack, vm.State, vm.Image, vm.Wave, strings.Join(vm.Acks, " "))
				}
				return t
			})
		},
	}
}

func teamsCommand() *cli.Command {
	return &cli.Command{
		Name: "teams", Usage: "show the teams and their quotas",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var teams []structs.Team
			if err := getFromNodes(ctx, cmd, "/v1/teams", &teams); err != nil {
				return err
			}
			return printOutput(cmd, teams, func() table {
				t := table{header: []string{"team", "weight", "max in progress", "rate per s", "burst", "urgent %"}}
				for _, team := range teams {
					t.add(team.Name, team.Weight, team.MaxInProgress, team.RatePerSecond, team.Burst, team.UrgentPercent)
				}
				return t
			})
		},
	}
}
