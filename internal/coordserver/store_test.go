package coordserver

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"dunereach/fleet/coordinator"
	"dunereach/fleet/registry"

	pb "go.etcd.io/raft/v3/raftpb"
)

func entry(index, term uint64) *pb.Entry { return &pb.Entry{Index: new(index), Term: new(term)} }

func snapshot(index, term uint64) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte("x"), Metadata: &pb.SnapshotMetadata{Index: new(index), Term: new(term)}}
}

func loadIndexes(t *testing.T, s *Store) (indexes []uint64, snapshotIndex uint64) {
	t.Helper()
	st, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range st.Entries {
		indexes = append(indexes, e.GetIndex())
	}
	return indexes, st.Snapshot.GetMetadata().GetIndex()
}

// TestStore: persisted state is read back. Abandoned entries are not, whether newer entries replaced them or they lie
// behind a snapshot that another coordinator sent. Only one process can open a folder, and an existing registry is not
// overwritten.
func TestStore(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "k1")
	if _, err := Open(folder); !errors.Is(err, ErrNoRegistry) {
		t.Errorf("opening an empty folder: %v", err)
	}
	initial, err := coordinator.InitialState([]registry.Coordinator{{ID: 1, Name: "k1", Addr: "127.0.0.1:1"}}, 4, 0.05)
	if err != nil {
		t.Fatal(err)
	}
	if err := Create(folder, Identity{ID: 1, Name: "k1", Token: "ab", Fresh: true}, initial); err != nil {
		t.Fatal(err)
	}
	if err := Create(folder, Identity{ID: 2}, initial); err == nil || !strings.Contains(err.Error(), "already exists") {
		t.Errorf("creating over an existing registry: %v", err)
	}
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(folder); err == nil || !strings.Contains(err.Error(), "another coordinator") {
		t.Errorf("opening a folder twice: %v", err)
	}
	persist := func(f func(o *coordinator.Output)) {
		t.Helper()
		var o coordinator.Output
		f(&o)
		if err := s.Persist(&o); err != nil {
			t.Fatal(err)
		}
	}
	persist(func(o *coordinator.Output) {
		o.Persist.Entries = []*pb.Entry{entry(2, 2), entry(3, 2), entry(4, 2), entry(5, 2)}
		o.Persist.HardState = &pb.HardState{Term: new(uint64(2)), Vote: new(uint64(1)), Commit: new(uint64(3))}
	})
	persist(func(o *coordinator.Output) { o.Persist.Entries = []*pb.Entry{entry(4, 3)} })
	if all, from := loadIndexes(t, s); len(all) != 3 || from != 1 {
		t.Errorf("entries %v after %d", all, from)
	}
	persist(func(o *coordinator.Output) { o.Persist.Snapshot, o.Persist.Compact = snapshot(3, 2), 2 })
	if all, from := loadIndexes(t, s); len(all) != 1 || all[0] != 4 || from != 3 {
		t.Errorf("entries %v after our own snapshot %d", all, from)
	}
	persist(func(o *coordinator.Output) { o.Persist.Entries = []*pb.Entry{entry(5, 3), entry(6, 3), entry(7, 3)} })
	persist(func(o *coordinator.Output) { o.Persist.Snapshot = snapshot(5, 4) })
	s.Close()
	if s, err = Open(folder); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if all, from := loadIndexes(t, s); len(all) != 0 || from != 5 {
		t.Errorf("entries %v after another coordinator's snapshot %d", all, from)
	}
	if s.Identity.ID != 1 || !s.Identity.Fresh {
		t.Errorf("%+v", s.Identity)
	}
}

func TestParseCoordinators(t *testing.T) {
	for text, want := range map[string]string{
		"k1=127.0.0.1:1@a,k2=10.0.0.1:1,k3=192.168.0.1:1": "",
		"k1=127.0.0.1:1,k2=127.0.0.1:2":                   "2 coordinators",
		"k1=8.8.8.8:1":                                    "neither a loopback nor a private",
		"k1":                                              "must be NAME=ADDRESS:PORT",
		"k1=127.0.0.1:1,k1=127.0.0.1:2,k3=127.0.0.1:3": "named twice",
		"k1=host:1": "is not an address with a port",
	} {
		_, err := ParseCoordinators(text)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}
