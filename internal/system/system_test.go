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

// A binary built without the tag contains no fault injection; one built with it does.
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
			t.Errorf("built with faults %t: the binary contains the plan's variable: %t", faulty, got)
		}
	}
}

// The tests of the packages with fault injection pass when built with the tag.
func TestFaultsBuild(t *testing.T) {
	if FaultsEnabled {
		t.Skip("already built with the tag")
	}
	out, err := exec.Command("go", "test", "-count=1", "-tags", "faults", "lapisshelf/internal/system", "lapisshelf/internal/loop", "lapisshelf/internal/handover").CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}

// A file is replaced as a whole or stays as it was, and no temporary file remains.
func TestWriteFileAtomic(t *testing.T) {
	dir := t.TempDir()
	path, tempPath := filepath.Join(dir, "state"), filepath.Join(dir, "state.new")
	for _, text := range []string{"first", "second, longer", "3"} {
		if err := WriteFileAtomic(path, tempPath, []byte(text), 0o600, true); err != nil {
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
		t.Errorf("in a missing directory: %v", err)
	}
}
