package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"wigeonwinch/fleet/manifest"
	"wigeonwinch/fleet/structs"
	"wigeonwinch/infra"
	"wigeonwinch/infra/standin"
)

// Timing of the stand-ins started from the command line.
const (
	standinListLag       = 2 * time.Second
	standinUsageLag      = 5 * time.Second
	standinRebootTime    = 5 * time.Second
	standinHeaderTimeout = 10 * time.Second
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:        "standin",
		Usage:       "run stand-ins for the platform and a manifest's backend servers, to try entry nodes without a platform",
		ArgsUsage:   "MANIFEST",
		Description: "Example:\n  wigeonwinch standin --platform 127.0.0.1:9000 examples/gothalo.json\n\nThe backend servers listen on the addresses in the manifest. A request's Standin-Run-Ms\nheader sets its run time in milliseconds. No state is kept after the command ends.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "IP address and port to serve the platform's protocol on", Value: "127.0.0.1:9000"},
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, cmd *cli.Command) error {
	data, err := readArgument(cmd)
	if err != nil {
		return err
	}
	m, problems := manifest.Parse(data)
	if len(problems) > 0 {
		printProblems(cmd.Root().ErrWriter, problems)
		return exitErrorf(ExitUsage, "the manifest has %d errors, listed above", len(problems))
	}
	fleet := standin.NewFleet(standin.FleetOptions{ListLag: standinListLag, UsageLag: standinUsageLag, RebootTime: standinRebootTime})
	ledger := standin.NewLedger()
	for _, vm := range m.VMs {
		if err := startStandinWorker(fleet, ledger, m, vm); err != nil {
			return exitErrorf(ExitFailed, "%v", err)
		}
	}
	listener, err := net.Listen("tcp", cmd.String("platform"))
	if err != nil {
		return exitErrorf(ExitFailed, "--platform: cannot listen; choose a free address: %v", err)
	}
	server := &http.Server{
		Handler:           standin.Handler(standin.NewLog(standin.LogOptions{}), fleet),
		ReadHeaderTimeout: standinHeaderTimeout,
	}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Fprintf(cmd.Root().Writer, "platform on %s, %d backend servers; stop with Ctrl-C\n", listener.Addr(), len(m.VMs))
	_ = server.Serve(listener)
	totals := ledger.Totals()
	fmt.Fprintf(cmd.Root().Writer, "%d requests ran, %d runs, %d ran more than once, %d cut by reboots\n",
		totals.Requests, totals.Runs, totals.Repeated, ledger.Interruptions())
	return nil
}

// startStandinWorker starts the stand-in of one backend server and adds it to the
// platform stand-in's VM list, with the image of its pool.
func startStandinWorker(fleet *standin.Fleet, ledger *standin.Ledger, m *structs.Manifest, vm structs.VM) error {
	backend, err := standin.StartBackend(vm.Address, standin.BackendOptions{
		ID: vm.ID, Slots: vm.Slots, Connections: vm.Connections, Ledger: ledger,
	})
	if err != nil {
		return err
	}
	image := ""
	for _, pool := range m.Pools {
		if pool.Name == vm.Pool {
			image = pool.Image
		}
	}
	fleet.Add(infra.ListedVM{ID: vm.ID, Kind: infra.VMKindWorker, Zone: vm.Zone, Address: vm.Address, Image: image}, backend)
	return nil
}
