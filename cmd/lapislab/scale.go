package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"lapisshelf/lab/experiment"
	"lapisshelf/lab/scale"
)

// scaleCommand measures the cost of the control plane over the size of the deployment.
func scaleCommand() *cobra.Command {
	var o scale.Options
	var node, csvPath, pngDir, filesDir string
	var quiet, legend bool
	c := &cobra.Command{Use: "scale FILE", Short: "Measure the control plane over sizes: hollow nodes with real planners and a list service",
		Long: "Runs the sizes and variants of a TOML file. Planners and the list service are processes; nodes are hollow, hundreds in a process,\n" +
			"each with the forwarder, list follower and decision module of a real one. Reports messages, bytes, processor time, memory, the delay of\n" +
			"changes and the recovery from faults, and fits their growth. All traffic stays on loopback; all processes end with the command.",
		Args: func(c *cobra.Command, args []string) error {
			if legend {
				return nil
			}
			return cobra.ExactArgs(1)(c, args)
		},
		RunE: func(c *cobra.Command, args []string) error {
			if legend {
				scale.Legend(c.OutOrStdout())
				return nil
			}
			f, err := scale.Read(args[0], o)
			if err != nil {
				return err
			}
			dir := filesDir
			if dir == "" {
				if dir, err = os.MkdirTemp("", "lapisscale"); err != nil {
					return err
				}
				defer os.RemoveAll(dir)
			} else if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			program, err := nodeCommand(c.Context(), node, &experiment.Experiment{}, dir)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			opt := scale.RunOptions{Program: program, SelfCommand: []string{self}, Dir: dir}
			if !quiet {
				opt.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
			}
			r, err := scale.Run(c.Context(), f, opt)
			if r != nil && len(r.Rows) > 0 {
				r.Text(c.OutOrStdout())
				if csvPath != "" {
					if err := os.MkdirAll(filepath.Dir(csvPath), 0o755); err != nil {
						return err
					}
					if err := r.CSV(csvPath); err != nil {
						return err
					}
				}
				if pngDir != "" {
					if err := r.PNG(pngDir); err != nil {
						return err
					}
				}
			}
			if err != nil && errors.Is(err, c.Context().Err()) {
				return exitError(statusInterrupted)
			}
			return err
		}}
	fl := c.Flags()
	fl.Uint64Var(&o.Seed, "seed", 0, "draw the load from this seed (default: the file's)")
	fl.BoolVar(&o.Short, "short", false, "only the smallest size, with phases half as long")
	fl.StringVar(&o.Size, "size", "", "NODESxSERVERS in place of the file's sizes, at the file's rate for it, else its highest")
	fl.StringSliceVar(&o.Only, "only", nil, "only these variants, or only the calm phase and these faults")
	fl.StringVar(&node, "node", "", "lapisshelf program that runs the planners (default: the one in the folder of lapislab, else one built from this module)")
	fl.StringVar(&csvPath, "csv", "", "write a row per figure to this file, and a row per second of each phase to NAME-seconds.csv beside it")
	fl.StringVar(&pngDir, "png", "", "write a plot of each slope into this folder")
	fl.StringVar(&filesDir, "files", "", "folder that keeps keys, configurations and logs")
	fl.BoolVar(&quiet, "quiet", false, "no progress on standard error")
	fl.BoolVar(&legend, "legend", false, "print what each measure is, and exit")
	return c
}

// scaleChildCommand returns a hidden command: a child process of a scale test, which reads its orders from standard input.
func scaleChildCommand(role string) *cobra.Command {
	return &cobra.Command{Use: role, Hidden: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return scale.Child(role, os.Stdin, os.Stdout) }}
}
