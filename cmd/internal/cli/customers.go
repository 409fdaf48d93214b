package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"wigeonwinch/jobs/spec"
	"wigeonwinch/node/jobapi"
)

func customersCommand() *cli.Command {
	return &cli.Command{
		Name: "customers", Usage: "show the customers: caps, shares, what runs, waits and was refused",
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "by-node", Usage: "one line for each owner of a shard"}},
		Description: "Example:\n  wigeonwinch --nodes 10.0.0.5:7061 customers --by-node" + jobsAddressHelp,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path := "/v1/customers"
			if cmd.Bool("by-node") {
				path += "?by=node"
			}
			var out jobapi.CustomerList
			if err := getFromNodes(ctx, cmd, path, &out); err != nil {
				return err
			}
			return printOutput(cmd, out.Customers, func() table {
				t := table{header: []string{"customer", "node", "weight", "cap", "running", "held", "waits for cap", "share", "waiting jobs", "refused"}}
				for _, c := range out.Customers {
					t.add(c.Name, c.Node, c.Weight, amount(c.Cap), amount(c.Running), amount(c.Held), amount(c.WaitingRoom), amount(spec.Resources{MilliCPU: int(c.ShareMilliCPU)}), c.WaitingJobs, c.Refused)
				}
				return t
			})
		},
	}
}

// amount formats resources; "-" means none, or no limit.
func amount(r spec.Resources) string {
	text := ""
	add := func(n int, format string) {
		if n != 0 {
			text += fmt.Sprintf(format, n)
		}
	}
	add(r.MilliCPU, " %dm")
	add(r.MemoryMB, " %dMB")
	add(r.GPUs, " %dgpu")
	if text == "" {
		return "-"
	}
	return text[1:]
}
