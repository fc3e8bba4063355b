package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"lapisshelf/lab/experiment"
)

// nodeCommand is the command that runs a node: the one asked for, the file's, the program beside this one, or one built
// from the module that the working folder belongs to.
func nodeCommand(ctx context.Context, requested string, x *experiment.Experiment, dir string) (string, error) {
	for _, command := range []string{requested, x.Nodes.Command} {
		if command != "" {
			return command, checkCommand(command)
		}
	}
	if x.Nodes.Direct {
		return "", nil
	}
	if self, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(self), "lapisshelf")
		if checkCommand(sibling) == nil {
			return sibling, nil
		}
	}
	built := filepath.Join(dir, "lapisshelf")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", built, "lapisshelf/cmd/lapisshelf")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("no node: there is no lapisshelf beside lapislab, and building one failed: %v: %s", err,
			strings.Join(strings.Fields(string(out)), " "))
	}
	return built, nil
}

// checkCommand reports whether a command's program is there.
func checkCommand(command string) error {
	words := strings.Fields(command)
	for len(words) > 0 && strings.Contains(words[0], "=") { // NAME=VALUE in front
		words = words[1:]
	}
	if len(words) == 0 {
		return errors.New("an empty command runs no node")
	}
	if _, err := exec.LookPath(words[0]); err != nil {
		return fmt.Errorf("node command %q: %s is not there or cannot be run", command, words[0])
	}
	return nil
}
