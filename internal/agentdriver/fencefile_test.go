package agentdriver

import (
	"testing"

	"dunereach/internal/store"
)

// TestOneFolder guards against a router that keeps nothing over a restart, as its fences and its state are in one folder and it locks itself out.
// Another process is kept out all the same: a second part of the same kind stands for it.
func TestOneFolder(t *testing.T) {
	folder := t.TempDir()
	fences, _, err := openFenceFile(folder, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer fences.close()
	state, _, err := store.Open(folder, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer state.Close()
	if err := state.WriteSnapshot([]byte("learned")); err != nil {
		t.Error(err)
	}
	if _, _, err := openFenceFile(folder, "n1"); err == nil {
		t.Error("a second router of the name has the folder too")
	}
}
