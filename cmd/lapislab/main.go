// Command lapislab puts whole deployments of lapisshelf on loopback sockets, plays load and troubles, and judges what was
// seen: an emulator for a newcomer, an experiment tool for everyone else. docs/lab.md is its page.
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

// Statuses of the program's end.
const (
	statusFallsShort  = 1   // an expectation falls short, or a rule is broken
	statusError       = 2   // a bad file, bad arguments, a deployment that cannot be put up
	statusVoid        = 3   // the lab itself was late: the run says nothing
	statusInterrupted = 130 // it was broken off
)

// exitError ends the program with a status and nothing more to say.
type exitError int

func (e exitError) Error() string { return fmt.Sprintf("status %d", int(e)) }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "lapislab", Short: "Put a deployment of lapisshelf on loopback, play load and troubles, judge what was seen",
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
