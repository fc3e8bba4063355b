// Command lapisshelf is one balancer on real sockets. The platform tells it everything by the environment; other
// installations set it by an operator's file. See README and docs.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"lapisshelf/internal/node"
	"lapisshelf/internal/operator"
	"lapisshelf/internal/registry"
)

// Statuses of the program's end.
const (
	exitFailed = 1 // the configuration, or what serving needs
	exitUsage  = 2 // the command line
)

// usageError is a fault of the command line.
type usageError struct{ error }

func main() {
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to end
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	err := newRootCommand(args).Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "lapisshelf:", err)
	var usage usageError
	if errors.As(err, &usage) || strings.HasPrefix(err.Error(), "unknown command") {
		return exitUsage
	}
	return exitFailed
}

// newRootCommand is the whole command line. With no command the program serves: the platform's line has none.
func newRootCommand(args []string) *cobra.Command {
	config := os.Getenv("LAPISSHELF_CONFIG")
	noArgs := func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usageError{fmt.Errorf("unknown command %q: there are serve, forward, plan, keys, view, check, migrate and version", args[0])}
		}
		return nil
	}
	runServe := func(*cobra.Command, []string) error { return serve(config) }
	root := &cobra.Command{Use: "lapisshelf", Short: "A router for fleets of cache servers: one balancer on real sockets",
		Long: "A router for fleets of cache servers: one balancer on real sockets.\n\nWith no command it serves. It is configured by EDGE_CONFIG, the platform's file, or by an operator's file.",
		Args: noArgs, RunE: runServe, SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&config, "config", config, "operator's file (LAPISSHELF_CONFIG)")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve, as the program does with no command", Args: noArgs, RunE: runServe},
		&cobra.Command{Use: "forward", Short: "Serve by the views of planners: serve, but [planners] must be there", Args: noArgs, RunE: func(*cobra.Command, []string) error {
			op, err := operator.Read(config)
			if err != nil {
				return err
			}
			if op.Planners == nil {
				return fmt.Errorf("%s: has no [planners] table", config)
			}
			return serve(config)
		}},
		&cobra.Command{Use: "plan", Short: "Plan for forwarders, by the [planner] table", Args: noArgs, RunE: func(*cobra.Command, []string) error { return runPlanner(config) }},
		keysCommand(),
		&cobra.Command{Use: "view ADDRESS", Short: "Print the view that a planner or forwarder acts on, by its control address", Args: exactArgs(1, "an address"), RunE: printView},
		&cobra.Command{Use: "check FILE...", Short: "Say what is wrong with operator's files (.toml) and configurations (.json)",
			Args: func(_ *cobra.Command, args []string) error {
				if len(args) == 0 {
					return usageError{errors.New("check wants a file")}
				}
				return nil
			}, RunE: checkFiles},
		migrateCommand(),
		&cobra.Command{Use: "version", Short: "Print which build this is", Args: noArgs, RunE: printVersion})
	root.SetArgs(args)
	return root
}

// checkFiles reads files as serving would and names the first fault of each.
func checkFiles(c *cobra.Command, paths []string) error {
	invalid := 0
	for _, path := range paths {
		warning, err := checkFile(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, "lapisshelf:", err)
			invalid++
			continue
		}
		if warning != nil {
			fmt.Fprintln(os.Stderr, "lapisshelf: warning:", warning)
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: good\n", path)
	}
	if invalid > 0 {
		return fmt.Errorf("%d of %d files are bad", invalid, len(paths))
	}
	return nil
}

// checkFile gives what makes a file a bad one, else what there is to warn of.
func checkFile(path string) (warning, err error) {
	if strings.HasSuffix(path, ".toml") {
		op, err := operator.Read(path)
		if err != nil || op.Service == nil {
			return nil, err
		}
		return op.CheckFleetSize(op.Service.Balancers), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	cfg, err := node.ParseConfig(text, func(string) string { return "" }, nil)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return fleetSizeWarning(&cfg, path, nil), nil
}

// fleetSizeWarning warns of a fleet that its list's calls a second let know of a change too late, in one line with file and key: the
// operator's file, which may be nil, where the list or the fleet's size is told there.
func fleetSizeWarning(cfg *node.Config, path string, op *operator.File) error {
	why := cfg.TooMany()
	switch {
	case why == "":
		return nil
	case op != nil && (op.Registry != nil && cfg.Registry.Kind != registry.Discovery || op.Service != nil && op.Service.Balancers == cfg.Settings.Balancers):
		return op.CheckFleetSize(cfg.Settings.Balancers)
	}
	return fmt.Errorf("%s: settings: Balancers: %s", path, why)
}

// printVersion prints what the build knows of itself.
func printVersion(c *cobra.Command, _ []string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the build tells nothing of itself")
	}
	revision, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+changes"
		}
	}
	fmt.Fprintf(c.OutOrStdout(), "lapisshelf %s revision %s%s %s\n", info.Main.Version, revision, dirty, info.GoVersion)
	return nil
}
