package state

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunereach/admission"
	"dunereach/internal/backends"
	"dunereach/internal/operator"
	"dunereach/internal/router"
	"dunereach/internal/settings"
	"dunereach/internal/store"
	"dunereach/internal/transport"
	"dunereach/warmstart"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"
	"net/netip"
)

var update = flag.Bool("update", false, "write the golden files of this version")

// sampleState returns a snapshot and a record with a value in every field.
func sampleState() (warmstart.Snapshot, warmstart.JournalRecord) {
	k := warmstart.Snapshot{At: warmstart.Timestamp{Wall: 1000, Up: 10, Boot: "b"},
		Profiles: []warmstart.Profile{{Settings: 7, Work: 0.2, Seen: 9, Hinted: 1, Worked: 2, Slow: 1.5, Times: warmstart.Times{Counts: []float64{1, 2, 3}, Sum: 4}}},
		Quick:    warmstart.JournalRecord{At: warmstart.Timestamp{Wall: 999, Up: 9, Boot: "b"}, Serial: 3},
		Waits:    []warmstart.WaitCorrection{{Team: "x", Profile: 0, Of: []warmstart.Correction{{N: 5, Q50: 0.1, Q90: 0.2, Dev: 0.3}}}}}
	q := warmstart.JournalRecord{At: warmstart.Timestamp{Wall: 1001, Up: 11, Boot: "b"}, Serial: 4, Up: 20, Teams: []warmstart.TeamLead{{Name: "x", Ahead: 1.5}},
		Known: warmstart.Knowledge{Engines: []warmstart.Server{{ID: 4, Start: 900, Slow: 2, Fails: 0.5, Ill: true, Pause: 1}}, Tenants: []warmstart.Tenant{{Left: -2, Rate: 4}}, Cut: 3, Pace: 1.2, Asked: 5, Span: 6}}
	return k, q
}

func writeState(t *testing.T, dir, name string) {
	t.Helper()
	s, _, err := store.Open(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	k, q := sampleState()
	body, err := encodeSnapshot(k)
	if err == nil {
		err = s.WriteSnapshot(body)
	}
	record, _ := encodeRecord(q)
	if err == nil {
		err = s.Append(record)
	}
	if err == nil {
		err = s.Sync()
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestGolden: the current code reads the files that each version's code wrote. The files of a version are written once.
func TestGolden(t *testing.T) {
	dir := filepath.Join("testdata", fmt.Sprint("v", store.Version))
	if *update {
		writeState(t, dir, "n1")
		os.Remove(filepath.Join(dir, "n1.lock"))
	}
	k, q := sampleState()
	for v := 1; v <= store.Version; v++ {
		r, _, err := store.Load(filepath.Join("testdata", fmt.Sprint("v", v)), "n1")
		if err != nil || len(r.Skipped) > 0 {
			t.Fatalf("version %d: %v %v", v, err, r.Skipped)
		}
		kept, quick, err := decodeState(r.Body, r.Records)
		if err != nil {
			t.Fatalf("version %d: %v", v, err)
		}
		if diff := cmp.Diff(k, kept) + cmp.Diff([]warmstart.JournalRecord{q}, quick); diff != "" {
			t.Errorf("version %d is read differently (-written +read):\n%s", v, diff)
		}
	}
}

// TestMerge: a compacted snapshot has the newest record, each part with its own time, and preserves keys that this
// version does not know.
func TestMerge(t *testing.T) {
	k, q := sampleState()
	body, _ := encodeSnapshot(k)
	var all map[int]any
	if err := cbor.Unmarshal(body, &all); err != nil {
		t.Fatal(err)
	}
	all[99] = "of a later version"
	all[3].(map[any]any)[uint64(77)] = "as well"
	later, err := cbor.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	oldest, _ := encodeRecord(warmstart.JournalRecord{Serial: 1})
	newest, _ := encodeRecord(q)
	merged, err := mergeRecord(later, [][]byte{oldest, newest})
	if err != nil {
		t.Fatal(err)
	}
	got, _, err := decodeState(merged, nil)
	k.Quick = q
	if diff := cmp.Diff(k, got); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	clear(all)
	if err := cbor.Unmarshal(merged, &all); err != nil || all[99] != "of a later version" || all[3].(map[any]any)[uint64(77)] != "as well" {
		t.Errorf("keys of a later version are lost: %v %v", err, all)
	}
}

// FuzzBody: any bytes as a body and a record are decoded within bounds and restored without a crash.
func FuzzBody(f *testing.F) {
	k, q := sampleState()
	body, _ := encodeSnapshot(k)
	record, _ := encodeRecord(q)
	f.Add(body, record)
	f.Add([]byte{0xa1, 0x02, 0x9a, 0xff, 0xff, 0xff, 0xff}, []byte{0xbf})                   // an array of 4 thousand million elements
	f.Add([]byte{0xa1, 0x02, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, record) // an array of 2^63 - 1 elements
	f.Add(bytes.Repeat([]byte{0x81}, 5000), record)                                         // unbounded nesting
	f.Fuzz(func(t *testing.T, body, record []byte) {
		kept, quick, _ := decodeState(body, [][]byte{record})
		r := warmstart.Restore(kept, quick, warmstart.Timestamp{Wall: 1010, Up: 20, Boot: "b"}, []uint64{7, 8}, []float64{4})
		if len(r.Profiles) != 2 || len(r.Tenants) != 1 {
			t.Fatalf("%+v", r)
		}
		for _, p := range r.Profiles {
			if math.IsNaN(p.Work) || math.IsNaN(p.Times.Sum) || p.Slow < 0 {
				t.Fatalf("%+v", p)
			}
		}
		for _, ahead := range r.Teams {
			if math.IsNaN(ahead) {
				t.Fatal("a team's lead is not a number")
			}
		}
		mergeRecord(body, [][]byte{record})
	})
}

// newRouter returns a router whose state is owned by the test's goroutine.
func newRouter(t *testing.T) (*router.Router, settings.Settings) {
	t.Helper()
	set := settings.Settings{Profiles: []string{"p"}, Tenants: []string{"a"}, Admission: admission.Settings{Routers: 1, Tick: 0.005,
		Profiles: []admission.Profile{{Target: 1, Benefit: 1, Threads: 1}}, Tenants: []admission.Tenant{{QuotaPerS: 4}}}}
	r := router.New(set, 1<<20, zap.NewNop(), func(uint32) string { return "" })
	return r, set
}

func startRouter(r *router.Router) {
	r.Start(0, backends.New(r, backends.Limits{StreamsPerConn: 1, MaxConns: 1}, func(netip.AddrPort, transport.Sink) backends.Connection { return nil }))
}

// TestStateSurvivesRestart: the state of a router is written, the last time when the process ends, and the next process
// restores it.
func TestStateSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	runOnce := func() []string {
		core, logs := observer.New(zap.InfoLevel)
		k := New(operator.State{Folder: dir}, "n1", zap.New(core))
		r, _ := newRouter(t)
		k.Recall(r)
		startRouter(r)
		ctx, cancel := context.WithCancel(context.Background())
		group, ctx := errgroup.WithContext(ctx)
		k.Run(ctx, group)
		k.Tick(1, r)
		k.End(r)
		cancel()
		group.Wait()
		var messages []string
		for _, e := range logs.All() {
			messages = append(messages, e.Message)
		}
		return messages
	}
	if messages := runOnce(); len(messages) != 1 || messages[0] != "nothing is remembered" {
		t.Fatalf("log of the first run: %v", messages)
	}
	if messages := runOnce(); len(messages) != 1 || messages[0] != "remembered" {
		t.Fatalf("log of the second run: %v", messages)
	}
}

// TestUnusableFolder: a folder that cannot be created, or that another process has locked, is logged once for each job.
// The router serves without it, and its state is stored as soon as the folder can be used.
func TestUnusableFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(dir, []byte("no folder"), 0o600); err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	k := New(operator.State{Folder: dir, SnapshotInterval: 0.05, FastStateInterval: 0.02}, "n1", zap.New(core))
	r, _ := newRouter(t)
	k.Recall(r)
	startRouter(r)
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	k.Run(ctx, group)
	k.Tick(1, r)
	count := func(message string) int { return logs.FilterMessage(message).Len() }
	waitFor := func(what string, seen func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !seen(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting for %s: %v", what, logs.All())
			}
		}
	}
	const failedMessage, recoveredMessage = "state is not kept: served without, and tried again", "state is kept again"
	waitFor("a message for each job", func() bool { return count(failedMessage) == 2 })
	time.Sleep(1500 * time.Millisecond) // writing is retried meanwhile, and nothing more is logged
	if n := count(failedMessage); n != 2 {
		t.Errorf("%d messages for two jobs", n)
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	other, _, err := store.Open(dir, "n1") // as if the previous process had not ended yet
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if names := store.Names(dir); len(names) > 0 {
		t.Errorf("it wrote %v into a folder that another process has locked", names)
	}
	other.Close()
	waitFor("the message that state is stored again", func() bool { return count(recoveredMessage) >= 1 })
	if err := os.RemoveAll(dir); err != nil { // the folder is removed while it is in use
		t.Fatal(err)
	}
	waitFor("a new folder", func() bool { got, _, err := store.Load(dir, "n1"); return err == nil && got.Generation > 0 })
	cancel()
	group.Wait()
	if got, _, err := store.Load(dir, "n1"); err != nil || got.Generation == 0 {
		t.Errorf("nothing was written: %+v %v", got, err)
	}
}

// TestCommand: the command shows and changes the state in a folder, and does not change that of a running router.
func TestCommand(t *testing.T) {
	dir := t.TempDir()
	writeState(t, dir, "n1")
	writeState(t, dir, "n2")
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		c := Command(&out)
		c.SetArgs(args)
		c.SilenceErrors, c.SilenceUsage = true, true
		err := c.Execute()
		return out.String(), err
	}
	if out, err := run("show", dir); err != nil || strings.Count(out, "\n") != 3 || !strings.Contains(out, "not known") {
		t.Errorf("%v\n%s", err, out)
	}
	if out, err := run("verify", dir); err != nil || out != "n1: generation 1 and 1 records\nn2: generation 1 and 1 records\n" {
		t.Errorf("%v\n%s", err, out)
	}
	var all []report
	if out, err := run("export", dir, "--name", "n2"); err != nil || json.Unmarshal([]byte(out), &all) != nil || len(all) != 1 || all[0].LastSnapshot.Profiles[0].Settings != 7 {
		t.Errorf("%v\n%s", err, out)
	}
	locked, _, err := store.Open(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	for _, subcommand := range []string{"compact", "drop"} {
		if _, err := run(subcommand, dir, "--name", "n1"); err == nil || !strings.Contains(err.Error(), "a router that runs has it") {
			t.Errorf("%s of a locked folder: %v", subcommand, err)
		}
	}
	locked.Close()
	if out, err := run("compact", dir, "--name", "n1"); err != nil || !strings.HasPrefix(out, "n1: generation 2, ") {
		t.Errorf("%v %s", err, out)
	}
	if l, err := inspect(dir, "n1"); err != nil || l.Records != 0 || l.LastSnapshot.Quick.Serial != 4 {
		t.Errorf("after compact: %+v %v", l, err)
	}
	path := filepath.Join(dir, "n1.2.snap")
	data, _ := os.ReadFile(path)
	data[len(data)-1] ^= 1
	os.WriteFile(path, data, 0o600)
	if out, err := run("verify", dir, "--name", "n1"); err != ErrDamaged || !strings.Contains(out, "n1.2.snap: checksum mismatch") {
		t.Errorf("verify of a damaged snapshot: %v %s", err, out)
	}
	if out, err := run("drop", dir); err != nil || strings.Count(out, "files deleted") != 2 || len(store.Names(dir)) != 0 {
		t.Errorf("%v %s", err, out)
	}
	for _, missing := range []string{dir, filepath.Join(dir, "none")} {
		if _, err := run("show", missing); err == nil {
			t.Errorf("%s: no error", missing)
		}
	}
}
