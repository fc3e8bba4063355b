// Package review holds cases of reviews. They are run with REVIEW=1, after the build of the deploy file and review/build-2.sh.
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestCases runs the script of each case from review/6 on. A case fails where the rule that its claim quotes was broken.
func TestCases(t *testing.T) {
	if os.Getenv("REVIEW") != "1" {
		t.Skip("the cases are run with REVIEW=1")
	}
	for _, number := range []string{"6", "7", "8", "9", "10"} {
		t.Run(number, func(t *testing.T) {
			script := filepath.Join(number, "run.sh")
			if _, err := os.Stat(script); errors.Is(err, os.ErrNotExist) {
				t.Skip("there is no such case")
			}
			if out, err := exec.Command("sh", script).CombinedOutput(); err != nil {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}
