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
	var shape migrate.Deployment
	var dry, force bool
	c := &cobra.Command{Use: "migrate SOURCE TARGET", Short: "Write the counterpart of a configuration for a node beside one client process",
		Long: "Reads an operator's file (.toml) or a node's configuration (.json) of a node that served a pool of clients, and\n" +
			"writes its counterpart for a node beside one client process. What is not carried over is listed with the reason.",
		Args: exactly(2, "a source and a target")}
	f := c.Flags()
	f.IntVar(&shape.Nodes, "nodes", 0, "nodes in the new fleet, one for each client process, 1 to 100000; wanted")
	f.IntVar(&shape.Position, "position", 0, "this node's number among them, from 0")
	f.StringVar(&shape.Name, "name", "", "this node's name; none is carried over")
	f.StringVar(&shape.Zone, "zone", "", "this node's zone, as the list names it; none is carried over")
	f.StringVar(&shape.Listen, "listen", "", "address and port for its client; default: the old port on 127.0.0.1")
	f.BoolVar(&dry, "dry-run", false, "write nothing: print what would be written and what would be lost")
	f.BoolVar(&force, "force", false, "put the result in the place of a target that stands there")
	c.RunE = func(c *cobra.Command, args []string) error {
		if !f.Changed("nodes") {
			return usageError{errors.New("migrate wants --nodes, the number of client processes")}
		}
		return move(c, args[0], args[1], shape, dry, force)
	}
	return c
}

func move(c *cobra.Command, source, target string, shape migrate.Deployment, dry, force bool) error {
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
	} else if err := place(target, r.Text, force); err != nil {
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

// place puts a file where it belongs, whole or not at all. A configuration may name secrets: only its owner reads it.
func place(path string, text []byte, force bool) error {
	plain := func(err error) error {
		if cause := errors.Unwrap(err); cause != nil {
			err = cause
		}
		return &tomlfile.Error{Path: path, Reason: err.Error()}
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".migrate-*")
	if err != nil {
		return plain(err)
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
		return plain(err)
	}
	return nil
}
