package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"lapisshelf/internal/keys"
	"lapisshelf/internal/operator"
	"lapisshelf/internal/planner"
)

// runPlanner runs a planner until SIGTERM or SIGINT. SIGHUP reloads the certificates.
func runPlanner(file string) error {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	lines := newLogWriter(os.Stderr)
	log.SetOutput(lines)
	defer lines.Close()
	if file == "" {
		return usageError{errors.New("plan requires an operator's file (--config or LAPISSHELF_CONFIG) with a [planner] table")}
	}
	op, err := operator.Read(file)
	if err != nil {
		return err
	}
	cfg, err := op.PlannerConfig()
	if err != nil {
		return err
	}
	cfg.LogEvent = func(event, why string) { log.Printf("event=%s %s", event, why) }
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := planner.New(cfg)
	if err != nil {
		return err
	}
	log.Printf("event=start planner=%s listen=%s list=%s", cfg.Plan.ID, p.Addr(), cfg.Registry.Endpoints)
	go func() {
		for range hups {
			p.Reload()
		}
	}()
	return p.Run(ctx)
}

// exactArgs accepts exactly n arguments; what describes them in the error.
func exactArgs(n int, what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{fmt.Errorf("requires %s", what)}
		}
		return nil
	}
}

// keysCommand builds the command that creates, renews and lists certificates.
func keysCommand() *cobra.Command {
	validity := func(c *cobra.Command) (time.Duration, error) {
		days, err := c.Flags().GetInt("days")
		if err != nil {
			return 0, err
		}
		if days < 1 || days > 36500 {
			return 0, usageError{errors.New("--days must be 1 to 36500")}
		}
		return time.Duration(days) * 24 * time.Hour, nil
	}
	issue := func(renew bool) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, args []string) error {
			d, err := validity(c)
			if err != nil {
				return err
			}
			return keys.Issue(args[0], args[2], keys.Role(args[1]), time.Now(), d, renew)
		}
	}
	root := &cobra.Command{Use: "keys", Short: "Create, renew and list the certificates of forwarders and planners", Args: exactArgs(0, "authority, make, renew or show")}
	root.RunE = func(*cobra.Command, []string) error {
		return usageError{errors.New("requires authority, make, renew or show")}
	}
	authority := &cobra.Command{Use: "authority DIR", Short: "Create a certificate authority and the secret that planners share", Args: exactArgs(1, "a directory"),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := validity(c)
			if err != nil {
				return err
			}
			return keys.CreateAuthority(args[0], time.Now(), d)
		}}
	authority.Flags().Int("days", 3650, "validity in days")
	for _, c := range []*cobra.Command{
		{Use: "make DIR forwarder|planner NAME", Short: "Create NAME.pem and NAME.key", Args: exactArgs(3, "a directory, forwarder or planner, and a name"), RunE: issue(false)},
		{Use: "renew DIR forwarder|planner NAME", Short: "Replace NAME.pem and NAME.key by new ones", Args: exactArgs(3, "a directory, forwarder or planner, and a name"), RunE: issue(true)},
	} {
		c.Flags().Int("days", 365, "validity in days")
		root.AddCommand(c)
	}
	root.AddCommand(authority, &cobra.Command{Use: "show DIR", Short: "List the certificates, their holders and when they expire", Args: exactArgs(1, "a directory"),
		RunE: func(c *cobra.Command, args []string) error {
			list, err := keys.List(args[0])
			if err != nil {
				return err
			}
			for _, h := range list {
				state := "until " + h.NotAfter.UTC().Format(time.RFC3339)
				if time.Now().After(h.NotAfter) {
					state = "EXPIRED " + h.NotAfter.UTC().Format(time.RFC3339)
				}
				role := string(h.Role)
				if role == "" {
					role = "authority"
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %s %q %s\n", h.File, role, h.Name, state)
			}
			return nil
		}})
	return root
}

// printView prints the view that a planner or forwarder uses, fetched from its control address.
func printView(c *cobra.Command, args []string) error {
	if _, err := netip.ParseAddrPort(args[0]); err != nil {
		return usageError{fmt.Errorf("%q is not an address and port", args[0])}
	}
	client := http.Client{Timeout: 5 * time.Second}
	answer, err := client.Get("http://" + args[0] + "/_view")
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s: it has no view", args[0], answer.Status)
	}
	_, err = io.Copy(c.OutOrStdout(), io.LimitReader(answer.Body, 16<<20))
	return err
}
