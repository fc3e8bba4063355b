// Command lapisshelf runs one balancer on real sockets, a planner, or a tool for their files and certificates. It is configured
// by the platform's environment variables, by an operator's file, or by both. See README and docs.
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

// Exit codes.
const (
	exitFailed = 1 // invalid configuration or a failure at run time
	exitUsage  = 2 // invalid command line
)

// usageError marks an error in the command line.
type usageError struct{ error }

func main() {
	signal.Ignore(syscall.SIGPIPE) // a closed log pipe must not end the program
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

// newRootCommand builds the command line. Without a command the program serves, since the platform starts it without one.
func newRootCommand(args []string) *cobra.Command {
	config := os.Getenv("LAPISSHELF_CONFIG")
	noArgs := func(_ *cobra.Command, args []string) error {
		if len(args) > 0 {
			return usageError{fmt.Errorf("unknown command %q: the commands are serve, forward, plan, keys, view, check, migrate and version", args[0])}
		}
		return nil
	}
	runServe := func(*cobra.Command, []string) error { return serve(config) }
	root := &cobra.Command{Use: "lapisshelf", Short: "A router for fleets of cache servers: one balancer on real sockets",
		Long: "A router for fleets of cache servers: one balancer on real sockets.\n\nWithout a command it serves. It is configured by EDGE_CONFIG, the platform's file, or by an operator's file.",
		Args: noArgs, RunE: runServe, SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&config, "config", config, "operator's file (LAPISSHELF_CONFIG)")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serve, as the program does without a command", Args: noArgs, RunE: runServe},
		&cobra.Command{Use: "forward", Short: "Serve, using the views of planners; requires a [planners] table", Args: noArgs, RunE: func(*cobra.Command, []string) error {
			op, err := operator.Read(config)
			if err != nil {
				return err
			}
			if op.Planners == nil {
				return fmt.Errorf("%s: no [planners] table", config)
			}
			return serve(config)
		}},
		&cobra.Command{Use: "plan", Short: "Run a planner for forwarders, as the [planner] table configures it", Args: noArgs, RunE: func(*cobra.Command, []string) error { return runPlanner(config) }},
		keysCommand(),
		&cobra.Command{Use: "view ADDRESS", Short: "Print the view that the planner or forwarder at a control address uses", Args: exactArgs(1, "an address"), RunE: printView},
		&cobra.Command{Use: "check FILE...", Short: "Check operator's files (.toml) and configurations (.json)",
			Args: func(_ *cobra.Command, args []string) error {
				if len(args) == 0 {
					return usageError{errors.New("check requires at least one file")}
				}
				return nil
			}, RunE: checkFiles},
		migrateCommand(),
		&cobra.Command{Use: "version", Short: "Print the version of this build", Args: noArgs, RunE: printVersion})
	root.SetArgs(args)
	return root
}

// checkFiles parses files as serving does and prints the first error in each.
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
		return fmt.Errorf("%d of %d files are invalid", invalid, len(paths))
	}
	return nil
}

// checkFile returns the error that makes a file invalid, or else a warning, which may be nil.
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

// fleetSizeWarning returns a one-line warning, with file and key, if the fleet is too large for its permitted rate of registry calls,
// so that nodes learn of changes too late. It names the operator's file, which may be nil, if that sets the registry or the
// fleet's size, and else the platform's file.
func fleetSizeWarning(cfg *node.Config, path string, op *operator.File) error {
	why := cfg.FleetTooLarge()
	switch {
	case why == "":
		return nil
	case op != nil && (op.Registry != nil && cfg.Registry.Kind != registry.Discovery || op.Service != nil && op.Service.Balancers == cfg.Settings.Balancers):
		return op.CheckFleetSize(cfg.Settings.Balancers)
	}
	return fmt.Errorf("%s: settings: Balancers: %s", path, why)
}

// printVersion prints the module version, VCS revision and Go version of the build.
func printVersion(c *cobra.Command, _ []string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary contains no build information")
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
