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

// migrateCommand writes the counterpart of a configuration for a deployment in which each client process has a node.
func migrateCommand() *cobra.Command {
	var deployment migrate.Deployment
	var dryRun, force bool
	c := &cobra.Command{Use: "migrate SOURCE TARGET", Short: "Write the counterpart of a configuration for a node beside one client process",
		Long: "Reads an operator's file (.toml) or a node's configuration (.json) of a node that served a pool of clients, and\n" +
			"writes its counterpart for a node beside one client process. What is not carried over is listed with the reason.",
		Args: exactArgs(2, "a source and a target")}
	f := c.Flags()
	f.IntVar(&deployment.Nodes, "nodes", 0, "nodes in the new fleet, one for each client process, 1 to 100000; wanted")
	f.IntVar(&deployment.Position, "position", 0, "this node's number among them, from 0")
	f.StringVar(&deployment.Name, "name", "", "this node's name; none is carried over")
	f.StringVar(&deployment.Zone, "zone", "", "this node's zone, as the list names it; none is carried over")
	f.StringVar(&deployment.Listen, "listen", "", "address and port for its client; default: the old port on 127.0.0.1")
	f.BoolVar(&dryRun, "dry-run", false, "write nothing: print what would be written and what would be lost")
	f.BoolVar(&force, "force", false, "put the result in the place of a target that stands there")
	c.RunE = func(c *cobra.Command, args []string) error {
		if !f.Changed("nodes") {
			return usageError{errors.New("migrate wants --nodes, the number of client processes")}
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

// writeFile puts a file where it belongs, whole or not at all. A configuration may name secrets: only its owner reads it.
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
	defer os.Remove(f.Name()) // gone already where all went well
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
	default: // a link, unlike a rename, does not take the place of what stands there
		if err = os.Link(f.Name(), path); errors.Is(err, fs.ErrExist) {
			return &tomlfile.Error{Path: path, Reason: "stands there already; --force replaces it"}
		}
	}
	if err != nil {
		return withPath(err)
	}
	return nil
}
