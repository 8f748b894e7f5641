package faultrig

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunereach/emulator/scenario"
	"dunereach/internal/store"

	"golang.org/x/sys/unix"
)

// startWithState starts a fleet of routers without coordinators, each with a folder for its state.
func startWithState(t *testing.T, routers int) *Rig {
	t.Helper()
	clients := make([]int, routers)
	for n := range clients {
		clients[n] = 3
	}
	return startRig(t, scenario.File{Name: "state", Routers: routers, Zones: 1, Servers: 3, Lease: 2, Drift: 0.05}, Options{WarmServers: true, ServerCores: 8, Clients: clients, SaveState: true})
}

// awaitJournal waits until a router's folder contains a snapshot followed by journal records.
func awaitJournal(t *testing.T, r *Rig, name string) {
	t.Helper()
	await(t, r, 20, name+"'s journal records", func() bool {
		got, _, err := store.Load(filepath.Join(r.Folder(name), "kept"), name)
		return err == nil && len(got.Records) > 1
	})
}

// awaitRestored waits for the log line of a restarted router about its restored state and returns its fields.
func awaitRestored(t *testing.T, r *Rig, name string, times int) map[string]any {
	t.Helper()
	var fields map[string]any
	await(t, r, 20, fmt.Sprint(name, " restoring its state, time ", times), func() bool {
		f, n := r.LastLogged(name, "remembered")
		fields = f
		return n >= times
	})
	return fields
}

// TestRemembered guards against lost or mixed-up state: a router that exits, one that is killed, and all routers killed
// at once must restore their own state, as of a second before, while requests are answered.
func TestRemembered(t *testing.T) {
	t.Parallel()
	r := startWithState(t, 4)
	for n := range 4 {
		awaitJournal(t, r, fmt.Sprint("n", n+1))
	}
	do := func(what, name string) {
		t.Helper()
		if err := r.Do(what, name); err != nil {
			t.Fatal(err)
		}
	}
	do("end", "n1")
	do("start", "n1")
	if f := awaitRestored(t, r, "n1", 1); f["age known"] != true || f["age"].(float64) > 5 {
		t.Errorf("ended: %v", f)
	}
	do("kill", "n2")
	do("start", "n2")
	if f := awaitRestored(t, r, "n2", 1); f["age known"] != true || f["age"].(float64) > 5 {
		t.Errorf("killed: %v", f)
	}
	for n := range 4 {
		awaitJournal(t, r, fmt.Sprint("n", n+1))
	}
	for n := range 4 {
		do("kill", fmt.Sprint("n", n+1))
	}
	for n := range 4 {
		do("start", fmt.Sprint("n", n+1))
	}
	for n, times := range []int{2, 2, 1, 1} {
		if f := awaitRestored(t, r, fmt.Sprint("n", n+1), times); f["age"].(float64) > 10 {
			t.Errorf("all killed, n%d: %v", n+1, f)
		}
	}
	if f := r.Figures(); len(f.Violations) > 0 || f.RanTwice > 0 || f.Completed < f.Requests*9/10 {
		t.Errorf("%+v", f)
	}
}

// TestFolderGone guards against a router that stops serving because its state folder was removed or damaged. A removed
// folder must be created again and damaged files be skipped with a log line. Commands that read a running router's
// folder must work, and those that change it be refused.
func TestFolderGone(t *testing.T) {
	t.Parallel()
	r := startWithState(t, 1)
	awaitJournal(t, r, "n1")
	folder := filepath.Join(r.Folder("n1"), "kept")
	runCommand := func(args ...string) (string, error) {
		out, err := exec.Command(bin+"/dunereach", append([]string{"state"}, args...)...).CombinedOutput()
		return string(out), err
	}
	if out, err := runCommand("show", folder); err != nil || !strings.Contains(out, "n1") {
		t.Errorf("%v %s", err, out)
	}
	if out, err := runCommand("drop", folder); err == nil || !strings.Contains(out, "a router that runs has it") {
		t.Errorf("%v %s", err, out)
	}
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	awaitJournal(t, r, "n1")
	if err := r.Do("kill", "n1"); err != nil {
		t.Fatal(err)
	}
	snaps, _ := filepath.Glob(filepath.Join(folder, "*.snap"))
	for _, snap := range snaps {
		if err := os.Truncate(snap, 50); err != nil {
			t.Fatal(err)
		}
	}
	if out, err := runCommand("verify", folder); err == nil || !strings.Contains(out, "nothing whole") {
		t.Errorf("%v %s", err, out)
	}
	if err := r.Do("start", "n1"); err != nil {
		t.Fatal(err)
	}
	await(t, r, 20, "the log lines of a start without state", func() bool {
		_, passed := r.LastLogged("n1", "state passed over")
		_, none := r.LastLogged("n1", "nothing is remembered")
		return passed >= len(snaps) && none >= 2 // the first one is from the first start
	})
	awaitJournal(t, r, "n1")
	if f := r.Figures(); len(f.Violations) > 0 || f.RanTwice > 0 || f.Completed < f.Requests*9/10 {
		t.Errorf("%+v", f)
	}
}

// TestDiskFull guards against a full disk that delays requests or fills the log. The router must log it once, go on
// serving, and save its state again when there is space.
func TestDiskFull(t *testing.T) {
	t.Parallel()
	r := startWithState(t, 1)
	awaitJournal(t, r, "n1")
	limitFileSize := func(bytes uint64) {
		t.Helper()
		if err := unix.Prlimit(r.procs["n1"].cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}, nil); err != nil {
			t.Fatal(err)
		}
	}
	const suspended, resumed = "state is not kept: served without, and tried again", "state is kept again"
	limitFileSize(64)
	await(t, r, 20, "the log line about the full disk", func() bool { _, n := r.LastLogged("n1", suspended); return n >= 1 })
	if completed, requests := completedDuring(r, 3); completed < requests*9/10 || requests < 50 {
		t.Errorf("%d of %d completed with a full disk", completed, requests)
	}
	if _, n := r.LastLogged("n1", suspended); n > 2 {
		t.Errorf("logged %d times by two jobs", n)
	}
	limitFileSize(unix.RLIM_INFINITY)
	await(t, r, 30, "the log line about saved state", func() bool { _, n := r.LastLogged("n1", resumed); return n >= 1 })
	awaitJournal(t, r, "n1")
	if f := r.Figures(); len(f.Violations) > 0 || f.RanTwice > 0 {
		t.Errorf("%+v", f)
	}
}

// TestDiskStuck guards against a disk that never answers (a pipe without a reader stands for it) and delays requests,
// or the exit of the process beyond its time limit. The next process must restore the state written before.
func TestDiskStuck(t *testing.T) {
	t.Parallel()
	r := startWithState(t, 1)
	awaitJournal(t, r, "n1")
	folder := filepath.Join(r.Folder("n1"), "kept")
	before, newest, err := store.Load(folder, "n1")
	if err != nil {
		t.Fatal(err)
	}
	for n := range uint64(8) { // snapshots continue meanwhile, and one of their journals is a pipe
		unix.Mkfifo(filepath.Join(folder, fmt.Sprintf("n1.%d.log", newest+1+n)), 0o600)
	}
	await(t, r, 30, "a blocked writer", func() bool {
		got, _, err := store.Load(folder, "n1")
		size := len(got.Records)
		time.Sleep(1500 * time.Millisecond) // time of three journal records
		later, _, err2 := store.Load(folder, "n1")
		return err == nil && err2 == nil && later.Generation == got.Generation && len(later.Records) == size
	})
	if completed, requests := completedDuring(r, 3); completed < requests*9/10 || requests < 50 {
		t.Errorf("%d of %d completed while the disk is stuck", completed, requests)
	}
	began := time.Now()
	if err := r.Do("end", "n1"); err != nil {
		t.Fatal(err)
	}
	if err := r.Do("start", "n1"); err != nil { // waits until the old process has exited
		t.Fatal(err)
	}
	if took := time.Since(began); took > 8*time.Second {
		t.Errorf("the exit took %v", took)
	}
	awaitRestored(t, r, "n1", 1)
	await(t, r, 20, "a generation of the new process", func() bool {
		after, _, err := store.Load(folder, "n1")
		return err == nil && after.Generation > before.Generation
	})
	if f := r.Figures(); len(f.Violations) > 0 || f.RanTwice > 0 {
		t.Errorf("%+v", f)
	}
}
