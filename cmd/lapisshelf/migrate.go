package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"lapisshelf/internal/migrate"
	"lapisshelf/internal/tomlfile"
)

// migrateCommand builds the command that converts a configuration for a deployment with one node for each client process.
func migrateCommand() *cobra.Command {
	var deployment migrate.Deployment
	var dryRun, force bool
	c := &cobra.Command{Use: "migrate SOURCE TARGET", Short: "Convert a configuration for a node beside one client process",
		Long: "Reads the operator's file (.toml) or the configuration (.json) of a node that served a pool of clients, and\n" +
			"converts it for a node beside one client process. Settings that are not carried over are listed with the reason.",
		Args: exactArgs(2, "a source and a target")}
	f := c.Flags()
	f.IntVar(&deployment.Nodes, "nodes", 0, "nodes in the new fleet, one for each client process, 1 to 100000; required")
	f.IntVar(&deployment.Position, "position", 0, "this node's position in the fleet, from 0")
	f.StringVar(&deployment.Name, "name", "", "this node's name; the old one is not carried over")
	f.StringVar(&deployment.Zone, "zone", "", "this node's zone, as the server list names it; the old one is not carried over")
	f.StringVar(&deployment.Listen, "listen", "", "address and port for its client; default: the old port on 127.0.0.1")
	f.BoolVar(&dryRun, "dry-run", false, "write nothing; print the result and what is not carried over")
	f.BoolVar(&force, "force", false, "replace an existing target")
	c.RunE = func(c *cobra.Command, args []string) error {
		if !f.Changed("nodes") {
			return usageError{errors.New("migrate requires --nodes, the number of client processes")}
		}
		return migrateFile(c, args[0], args[1], deployment, dryRun, force)
	}
	return c
}

func migrateFile(c *cobra.Command, source, target string, shape migrate.Deployment, dry, force bool) error {
	text, err := tomlfile.ReadText(source)
	if err != nil {
		return err
	}
	r, err := migrate.Convert(source, text, target, shape)
	if err != nil {
		return err
	}
	out := c.OutOrStdout()
	if dry {
		fmt.Fprintf(out, "%s", r.Text)
	} else if err := writeFile(target, r.Text, force); err != nil {
		return err
	}
	for _, n := range r.Changed {
		fmt.Fprintf(out, "changed: %s: %s\n", n.Key, n.Reason)
	}
	for _, n := range r.Dropped {
		fmt.Fprintf(out, "not carried over: %s: %s\n", n.Key, n.Reason)
	}
	if dry {
		fmt.Fprintf(out, "%s: not written\n", target)
	} else {
		fmt.Fprintf(out, "%s: written\n", target)
	}
	return nil
}

// writeFile creates a file atomically, through a temporary file in the same directory. Only its owner can read it, since a
// configuration may name secrets.
func writeFile(path string, text []byte, force bool) error {
	withPath := func(err error) error {
		if cause := errors.Unwrap(err); cause != nil {
			err = cause
		}
		return &tomlfile.Error{Path: path, Reason: err.Error()}
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".migrate-*")
	if err != nil {
		return withPath(err)
	}
	defer os.Remove(f.Name()) // fails after a rename, which is harmless
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	switch {
	case err != nil:
	case force:
		err = os.Rename(f.Name(), path)
	default: // unlike a rename, a link does not replace an existing file
		if err = os.Link(f.Name(), path); errors.Is(err, fs.ErrExist) {
			return &tomlfile.Error{Path: path, Reason: "already exists; --force replaces it"}
		}
	}
	if err != nil {
		return withPath(err)
	}
	return nil
}
