// Command lapislab runs whole deployments of lapisshelf on loopback sockets, generates load, injects faults, and judges what
// clients and servers recorded. It serves as an emulator and as a tool for experiments; see docs/lab.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"lapisshelf/lab/scale"
)

// Exit statuses of the program.
const (
	statusFallsShort  = 1   // an expectation is not met, or a rule is broken
	statusError       = 2   // a bad file, bad arguments, or a deployment that does not start
	statusVoid        = 3   // the lab itself was late, so that the run cannot be judged
	statusInterrupted = 130 // the run was interrupted
)

// exitError ends the program with an exit status, without a message.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("status %d", int(e)) }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "lapislab", Short: "Run a deployment of lapisshelf on loopback with load and faults, and judge the run",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(upCommand(), runCommand(), compareCommand(), listCommand(), planCommand(), modelCommand(), scaleCommand(), soakCommand(),
		scaleChildCommand(scale.NodesRole), scaleChildCommand(scale.ListRole))
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	var status exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &status):
		return int(status)
	}
	fmt.Fprintln(os.Stderr, "lapislab:", err)
	return statusError
}
