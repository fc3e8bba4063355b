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
	statusFailed = 1 // the configuration, or what serving needs
	statusUsage  = 2 // the command line
)

// usageError is a fault of the command line.
type usageError struct{ error }

func main() {
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more is no reason to end
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	err := command(args).Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "lapisshelf:", err)
	var usage usageError
	if errors.As(err, &usage) || strings.HasPrefix(err.Error(), "unknown command") {
		return statusUsage
	}
	return statusFailed
}

// command is the whole command line. With no command the program serves: the platform's line has none.
func command(args []string) *cobra.Command {
	config := os.Getenv("LAPISSHELF_CONFIG")
	none := func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usageError{fmt.Errorf("unknown command %q: there are serve, forward, plan, keys, view, check, migrate and version", args[0])}
		}
		return nil
	}
	serving := func(*cobra.Command, []string) error { return serve(config) }
	root := &cobra.Command{Use: "lapisshelf", Short: "A router for fleets of cache servers: one balancer on real sockets",
		Long: "A router for fleets of cache servers: one balancer on real sockets.\n\nWith no command it serves. It is configured by EDGE_CONFIG, the platform's file, or by an operator's file.",
		Args: none, RunE: serving, SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&config, "config", config, "operator's file (LAPISSHELF_CONFIG)")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve, as the program does with no command", Args: none, RunE: serving},
		&cobra.Command{Use: "forward", Short: "Serve by the views of planners: serve, but [planners] must be there", Args: none, RunE: func(*cobra.Command, []string) error {
			op, err := operator.Read(config)
			if err != nil {
				return err
			}
			if op.Planners == nil {
				return fmt.Errorf("%s: has no [planners] table", config)
			}
			return serve(config)
		}},
		&cobra.Command{Use: "plan", Short: "Plan for forwarders, by the [planner] table", Args: none, RunE: func(*cobra.Command, []string) error { return planning(config) }},
		keysCommand(),
		&cobra.Command{Use: "view ADDRESS", Short: "Print the view that a planner or forwarder acts on, by its control address", Args: exactly(1, "an address"), RunE: view},
		&cobra.Command{Use: "check FILE...", Short: "Say what is wrong with operator's files (.toml) and configurations (.json)",
			Args: func(_ *cobra.Command, args []string) error {
				if len(args) == 0 {
					return usageError{errors.New("check wants a file")}
				}
				return nil
			}, RunE: check},
		migrateCommand(),
		&cobra.Command{Use: "version", Short: "Print which build this is", Args: none, RunE: version})
	root.SetArgs(args)
	return root
}

// check reads files as serving would and names the first fault of each.
func check(c *cobra.Command, paths []string) error {
	bad := 0
	for _, path := range paths {
		warning, err := checkFile(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, "lapisshelf:", err)
			bad++
			continue
		}
		if warning != nil {
			fmt.Fprintln(os.Stderr, "lapisshelf: warning:", warning)
		}
		fmt.Fprintf(c.OutOrStdout(), "%s: good\n", path)
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d files are bad", bad, len(paths))
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
	return tooMany(&cfg, path, nil), nil
}

// tooMany warns of a fleet that its list's calls a second let know of a change too late, in one line with file and key: the
// operator's file, which may be nil, where the list or the fleet's size is told there.
func tooMany(cfg *node.Config, path string, op *operator.File) error {
	why := cfg.FleetTooLarge()
	switch {
	case why == "":
		return nil
	case op != nil && (op.Registry != nil && cfg.Registry.Kind != registry.Discovery || op.Service != nil && op.Service.Balancers == cfg.Settings.Balancers):
		return op.CheckFleetSize(cfg.Settings.Balancers)
	}
	return fmt.Errorf("%s: settings: Balancers: %s", path, why)
}

// version prints what the build knows of itself.
func version(c *cobra.Command, _ []string) error {
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
