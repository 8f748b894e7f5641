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

// sampleState is knowledge of every kind.
func sampleState() (warmstart.Snapshot, warmstart.Record) {
	k := warmstart.Snapshot{At: warmstart.Timestamp{Wall: 1000, Up: 10, Boot: "b"},
		Profiles: []warmstart.Profile{{Settings: 7, Work: 0.2, Seen: 9, Hinted: 1, Worked: 2, Slow: 1.5, Times: warmstart.Times{Counts: []float64{1, 2, 3}, Sum: 4}}},
		Quick:    warmstart.Record{At: warmstart.Timestamp{Wall: 999, Up: 9, Boot: "b"}, Serial: 3},
		Waits:    []warmstart.Wait{{Team: "x", Profile: 0, Of: []warmstart.Correction{{N: 5, Q50: 0.1, Q90: 0.2, Dev: 0.3}}}}}
	q := warmstart.Record{At: warmstart.Timestamp{Wall: 1001, Up: 11, Boot: "b"}, Serial: 4, Up: 20, Teams: []warmstart.Team{{Name: "x", Ahead: 1.5}},
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
		err = s.Snapshot(body)
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

// TestGolden: what the code of each version wrote is read by that of today. The files of a version are written once.
func TestGolden(t *testing.T) {
	dir := filepath.Join("testdata", fmt.Sprint("v", store.Version))
	if *update {
		writeState(t, dir, "n1")
		os.Remove(filepath.Join(dir, "n1.lock"))
	}
	k, q := sampleState()
	for v := 1; v <= store.Version; v++ {
		r, _, err := store.Load(filepath.Join("testdata", fmt.Sprint("v", v)), "n1")
		if err != nil || len(r.Passed) > 0 {
			t.Fatalf("version %d: %v %v", v, err, r.Passed)
		}
		kept, quick, err := decodeState(r.Body, r.Records)
		if err != nil {
			t.Fatalf("version %d: %v", v, err)
		}
		if diff := cmp.Diff(k, kept) + cmp.Diff([]warmstart.Record{q}, quick); diff != "" {
			t.Errorf("version %d is read otherwise (-written +read):\n%s", v, diff)
		}
	}
}

// TestMerge: a compacted snapshot has the newest record, each piece its own age, and what this version does not know.
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
	oldest, _ := encodeRecord(warmstart.Record{Serial: 1})
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
		t.Errorf("what a later version told is lost: %v %v", err, all)
	}
}

// FuzzBody: whatever bytes a body and a record are, they are read in a bounded way and believed without a crash.
func FuzzBody(f *testing.F) {
	k, q := sampleState()
	body, _ := encodeSnapshot(k)
	record, _ := encodeRecord(q)
	f.Add(body, record)
	f.Add([]byte{0xa1, 0x02, 0x9a, 0xff, 0xff, 0xff, 0xff}, []byte{0xbf})                   // an array of four thousand million
	f.Add([]byte{0xa1, 0x02, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, record) // of 2^63 - 1
	f.Add(bytes.Repeat([]byte{0x81}, 5000), record)                                         // nested without end
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
				t.Fatal("a team's debt is no number")
			}
		}
		mergeRecord(body, [][]byte{record})
	})
}

// newRouter is a router whose owner is this test.
func newRouter(t *testing.T) (*router.Router, settings.Settings) {
	t.Helper()
	set := settings.Settings{Profiles: []string{"p"}, Tenants: []string{"a"}, Brain: admission.Settings{Routers: 1, Tick: 0.005,
		Profiles: []admission.Profile{{Target: 1, Benefit: 1, Threads: 1}}, Tenants: []admission.Tenant{{QuotaPerS: 4}}}}
	r := router.New(set, 1<<20, zap.NewNop(), func(uint32) string { return "" })
	return r, set
}

func startRouter(r *router.Router) {
	r.Start(0, backends.New(r, backends.Limits{Streams: 1, Conns: 1}, func(netip.AddrPort, transport.Sink) backends.Line { return nil }))
}

// TestStateSurvivesRestart: what a router knows is written, the last of it when the process ends, and the next one believes it.
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
		t.Fatalf("the first: %v", messages)
	}
	if messages := runOnce(); len(messages) != 1 || messages[0] != "remembered" {
		t.Fatalf("the second: %v", messages)
	}
}

// TestUnusableFolder: a folder that can't be one, or that another process has, is said once; the router is served without, and kept again
// once it can be.
func TestUnusableFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(dir, []byte("no folder"), 0o600); err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	k := New(operator.State{Folder: dir, Snapshot: 0.05, Record: 0.02}, "n1", zap.New(core))
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
				t.Fatalf("%s does not come: %v", what, logs.All())
			}
		}
	}
	const failedMessage, recoveredMessage = "state is not kept: served without, and tried again", "state is kept again"
	waitFor("word of each job", func() bool { return count(failedMessage) == 2 })
	time.Sleep(1500 * time.Millisecond) // tried again meanwhile, and nothing more is said
	if n := count(failedMessage); n != 2 {
		t.Errorf("said %d times of two jobs", n)
	}
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	other, _, err := store.Open(dir, "n1") // a process that ends is still there
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if names := store.Names(dir); len(names) > 0 {
		t.Errorf("it wrote %v into what another has", names)
	}
	other.Close()
	waitFor("word that it is kept", func() bool { return count(recoveredMessage) >= 1 })
	if err := os.RemoveAll(dir); err != nil { // taken away under it
		t.Fatal(err)
	}
	waitFor("a folder made anew", func() bool { got, _, err := store.Load(dir, "n1"); return err == nil && got.Generation > 0 })
	cancel()
	group.Wait()
	if got, _, err := store.Load(dir, "n1"); err != nil || got.Generation == 0 {
		t.Errorf("nothing was written: %+v %v", got, err)
	}
}

// TestCommand: people and scripts look at a folder, of a dead and of a running router.
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
			t.Errorf("%s what a router has: %v", subcommand, err)
		}
	}
	locked.Close()
	if out, err := run("compact", dir, "--name", "n1"); err != nil || !strings.HasPrefix(out, "n1: generation 2, ") {
		t.Errorf("%v %s", err, out)
	}
	if l, err := inspect(dir, "n1"); err != nil || l.Records != 0 || l.LastSnapshot.Quick.Serial != 4 {
		t.Errorf("compacted: %+v %v", l, err)
	}
	path := filepath.Join(dir, "n1.2.snap")
	data, _ := os.ReadFile(path)
	data[len(data)-1] ^= 1
	os.WriteFile(path, data, 0o600)
	if out, err := run("verify", dir, "--name", "n1"); err != ErrDamaged || !strings.Contains(out, "n1.2.snap: its checksum is wrong") {
		t.Errorf("damaged: %v %s", err, out)
	}
	if out, err := run("drop", dir); err != nil || strings.Count(out, "thrown away") != 2 || len(store.Names(dir)) != 0 {
		t.Errorf("%v %s", err, out)
	}
	for _, missing := range []string{dir, filepath.Join(dir, "none")} {
		if _, err := run("show", missing); err == nil {
			t.Errorf("%s: no error", missing)
		}
	}
}
