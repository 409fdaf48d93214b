// Command wigeonwinch is the command line client for operators and pipelines.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"wigeonwinch/cmd/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args, os.Stdout, os.Stderr))
}
