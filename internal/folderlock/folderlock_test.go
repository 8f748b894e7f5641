package folderlock

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// lockedElsewhere reports whether a descriptor of its own, as another process has, is refused the lock.
func lockedElsewhere(t *testing.T, path string) bool {
	t.Helper()
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	return unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil
}

// TestShared guards against a process that locks itself out: two of its parts share a lock, the same part can't have it twice, and others are
// kept out until the last has released it.
func TestShared(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "n1.lock")
	fences, err := Acquire(folder, "n1", "fences")
	if err != nil {
		t.Fatal(err)
	}
	state, err := Acquire(folder+"/.", "n1", "state")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Acquire(folder, "n1", "state"); !errors.Is(err, ErrLocked) {
		t.Errorf("the same part again: %v", err)
	}
	fences.Release()
	if !lockedElsewhere(t, path) {
		t.Error("the lock ended with the first of two")
	}
	state.Release()
	if lockedElsewhere(t, path) {
		t.Error("the lock is held by nobody, and others are refused")
	}
	if again, err := Acquire(folder, "n1", "state"); err != nil {
		t.Error(err)
	} else {
		again.Release()
	}
}

// TestReplaced guards against a lock that is shared though its file has gone, so that another process could lock the name too.
func TestReplaced(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "n1.lock")
	fences, err := Acquire(folder, "n1", "fences")
	if err != nil {
		t.Fatal(err)
	}
	defer fences.Release()
	os.Remove(path)
	state, err := Acquire(folder, "n1", "state")
	if err != nil {
		t.Fatal(err)
	}
	defer state.Release()
	if !lockedElsewhere(t, path) {
		t.Error("others can lock the name")
	}
}
