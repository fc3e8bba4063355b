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

// nodeCommand returns the command that runs a node: the requested one, that of the experiment file, the program lapisshelf in the
// folder of this program, or one that it builds into dir from the module of the working directory.
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
		return "", fmt.Errorf("no node command: there is no lapisshelf in the folder of lapislab, and building one failed: %v: %s", err,
			strings.Join(strings.Fields(string(out)), " "))
	}
	return built, nil
}

// checkCommand returns an error if a command's program does not exist or is not executable.
func checkCommand(command string) error {
	words := strings.Fields(command)
	for len(words) > 0 && strings.Contains(words[0], "=") { // skips NAME=VALUE in front of the program
		words = words[1:]
	}
	if len(words) == 0 {
		return errors.New("the node command is empty")
	}
	if _, err := exec.LookPath(words[0]); err != nil {
		return fmt.Errorf("node command %q: %s does not exist or is not executable", command, words[0])
	}
	return nil
}
