package system

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// What is built without the tag holds nothing that makes calls fail; what is built with it does.
func TestTheReleaseBuildHoldsNoFaults(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		out := filepath.Join(t.TempDir(), "node")
		args := []string{"build", "-o", out}
		if faulty {
			args = append(args, "-tags", "faults")
		}
		if text, err := exec.Command("go", append(args, "lapisshelf/cmd/lapisshelf")...).CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, text)
		}
		binary, err := os.ReadFile(out)
		if err != nil {
			t.Fatal(err)
		}
		if got := bytes.Contains(binary, []byte("LAPISSHELF_FAULTS")); got != faulty {
			t.Errorf("built with faults %t: it knows the plan's variable: %t", faulty, got)
		}
	}
}

// What is forced by system calls that fail passes, built with the tag.
func TestWithFaults(t *testing.T) {
	if FaultsEnabled {
		t.Skip("this is that build")
	}
	out, err := exec.Command("go", "test", "-count=1", "-tags", "faults", "lapisshelf/internal/system", "lapisshelf/internal/loop", "lapisshelf/internal/handover").CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}

// A file is replaced whole or stays as it was, and what is written beside it leaves nothing else in its place.
func TestWriteWhole(t *testing.T) {
	dir := t.TempDir()
	path, beside := filepath.Join(dir, "state"), filepath.Join(dir, "state.new")
	for _, text := range []string{"first", "second, longer", "3"} {
		if err := WriteFileAtomic(path, beside, []byte(text), 0o600, true); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(path); err != nil || string(got) != text {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if names, err := ReadDirNames(dir); err != nil || len(names) != 1 {
		t.Errorf("%v, %v", names, err)
	}
	if err := WriteFileAtomic(filepath.Join(dir, "none", "state"), filepath.Join(dir, "none", "new"), nil, 0o600, false); !errors.Is(err, unix.ENOENT) {
		t.Errorf("in no directory: %v", err)
	}
}
