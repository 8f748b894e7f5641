package registry

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// drawn entries are mostly of few names, so that they meet; some are nonsense.
func drawn(t *rapid.T) Entry {
	few := rapid.SampledFrom([]string{"n1", "n2", "n3"})
	return Entry{Version: Version, Kind: Kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind")),
		Session: rapid.Uint64Range(0, 40).Draw(t, "session"), Work: rapid.SampledFrom([]string{"", "w1", "w2"}).Draw(t, "work"),
		Fence: rapid.Uint64Range(0, 20).Draw(t, "fence"), Name: few.Draw(t, "name"),
		Incarnation: rapid.Uint64Range(0, 4).Draw(t, "incarnation"), Zone: few.Draw(t, "zone"),
		Body: rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "body"), Keeper: rapid.Uint64Range(0, 5).Draw(t, "keeper")}
}

// TestProperties: the same entries give the same record, over a snapshot too; a fence is given once and only grows; one owner,
// who has a session; a newer session of a name leaves the older one its works.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		last := uint64(0)
		for n := range rapid.IntRange(1, 60).Draw(t, "entries") {
			e := drawn(t)
			before := a.Fence()
			owner := ownersOf(a)
			fence, err := applied(t, a, b, uint64(n+1), e)
			if a.Fence() < before {
				t.Fatalf("the fence fell from %d to %d", before, a.Fence())
			}
			if e.Kind == Assign && err == nil {
				if newest := max(last, before); fence <= newest {
					t.Fatalf("fence %d was given after %d", fence, newest)
				}
				last = fence
				if owner[e.Work] != 0 {
					t.Fatalf("%q was session %d's", e.Work, owner[e.Work])
				}
			}
			checkOwners(t, a)
			checkKept(t, a, owner, e)
			if n%7 == 3 {
				b = restored(t, b)
			}
			checkSame(t, a, b, e)
		}
	})
}

// applied is the result of an entry, which is the same in both registries.
func applied(t *rapid.T, a, b *Record, index uint64, e Entry) (uint64, error) {
	fence, errA := a.Apply(index, e)
	other, errB := b.Apply(index, e)
	if fence != other || fmt.Sprint(errA) != fmt.Sprint(errB) {
		t.Fatalf("two records differ on %+v: %v %v, %v %v", e, fence, errA, other, errB)
	}
	return fence, errA
}

// ownersOf gives the owner of each task, 0: none.
func ownersOf(r *Record) map[string]uint64 {
	owner := map[string]uint64{}
	for _, w := range r.Works() {
		owner[w.Name] = w.Owner
	}
	return owner
}

// checkKept checks that an entry has taken no task from its owner before, unless that is what it is for.
func checkKept(t *rapid.T, r *Record, owner map[string]uint64, e Entry) {
	for _, w := range r.Works() {
		if was := owner[w.Name]; was != 0 && w.Owner != was && e.Kind != Close && e.Kind != Release {
			t.Fatalf("%v took %q from its owner", e.Kind, w.Name)
		}
	}
}

// restored is a registry that is made anew from the snapshot of another.
func restored(t *rapid.T, r *Record) *Record {
	text, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Restore(text)
	if err != nil {
		t.Fatal(err)
	}
	return again
}

// checkOwners checks that each task that is owned has a session as its owner, and that sessions list just the tasks that they own.
func checkOwners(t *rapid.T, r *Record) {
	owned := 0
	for _, s := range r.Sessions() {
		for _, w := range r.Owned(s.ID) {
			owned++
			if w.Owner != s.ID || r.Work(w.Name) != w {
				t.Fatalf("%q is listed as session %d's: %+v", w.Name, s.ID, w)
			}
		}
	}
	for _, w := range r.Works() {
		if w.Owner != 0 {
			owned--
		}
		if w.Owner != 0 && r.Session(w.Owner) == nil {
			t.Fatalf("%q is owned by no session", w.Name)
		}
	}
	if owned != 0 {
		t.Fatalf("%d tasks more have owners than owners have tasks", -owned)
	}
}

// checkSame checks that two registries are the same after an entry, one of which may have been restored from its snapshots.
func checkSame(t *rapid.T, a, b *Record, e Entry) {
	for _, s := range a.Sessions() {
		if x, y := a.Owned(s.ID), b.Owned(s.ID); len(x) != len(y) {
			t.Fatalf("session %d owns %d tasks, %d over snapshots", s.ID, len(x), len(y))
		}
	}
	x, _ := a.Snapshot()
	y, _ := b.Snapshot()
	if !bytes.Equal(x, y) {
		t.Fatalf("records differ after %+v", e)
	}
}

// TestBounds: what is too much is refused, and what is there stays; names and notes at their bounds keep the snapshot under its own.
func TestBounds(t *testing.T) {
	r := New()
	long := func(kind string, n uint64) string { return fmt.Sprintf("%s%0*d", kind, MostName-len(kind), n) }
	index := uint64(0)
	apply := func(e Entry) (uint64, error) {
		index++
		e.Version = Version
		return r.Apply(index, e)
	}
	for n := range uint64(MostSessions) {
		if _, err := apply(Entry{Kind: Open, Name: long("n", n), Zone: long("z", n), Region: long("r", n), Incarnation: 1 << 60}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := apply(Entry{Kind: Open, Name: "more", Incarnation: 1}); !errors.Is(err, ErrFull) {
		t.Fatalf("one session too many: %v", err)
	}
	note := bytes.Repeat([]byte("x"), MostNote)
	for n := range uint64(MostWorks) {
		fence, err := apply(Entry{Kind: Assign, Session: 1, Work: long("w", n), Zone: long("z", n)})
		if err == nil {
			_, err = apply(Entry{Kind: Note, Session: 1, Work: long("w", n), Fence: fence, Body: note})
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if _, err := apply(Entry{Kind: Assign, Session: 1, Work: "more"}); !errors.Is(err, ErrFull) {
		t.Fatalf("one work too many: %v", err)
	}
	text, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if len(text) > MostSnapshot {
		t.Errorf("the snapshot takes %d bytes, %d were to be the most", len(text), MostSnapshot)
	}
	if back, err := Restore(text); err != nil || back.Index() != index {
		t.Fatalf("a full record comes back: %v", err)
	}
}

// TestBoundsOfVersion1: entries of version 1 are refused where older coordinators refuse them, or registries would differ while
// both take part.
func TestBoundsOfVersion1(t *testing.T) {
	r := New()
	index := uint64(0)
	apply := func(version uint16, e Entry) error {
		index++
		e.Version = version
		_, err := r.Apply(index, e)
		return err
	}
	for n := range 1024 {
		if err := apply(1, Entry{Kind: Open, Name: fmt.Sprint("n", n), Incarnation: 1}); err != nil {
			t.Fatal(err)
		}
		if err := apply(1, Entry{Kind: Assign, Session: 1, Work: fmt.Sprint("w", n)}); err != nil {
			t.Fatal(err)
		}
	}
	more := []Entry{{Kind: Open, Name: "more", Incarnation: 1}, {Kind: Assign, Session: 1, Work: "more"}}
	for _, e := range more {
		if err := apply(1, e); !errors.Is(err, ErrFull) {
			t.Errorf("version 1, %v: %v", e.Kind, err)
		}
		if err := apply(2, e); err != nil {
			t.Errorf("version 2, %v: %v", e.Kind, err)
		}
	}
}

// TestFleetRestartsAtOnce: every router of the largest fleet may come again while the old session of its name lasts.
func TestFleetRestartsAtOnce(t *testing.T) {
	r := New()
	index := uint64(0)
	for incarnation := uint64(1); incarnation <= 2; incarnation++ {
		for n := range MostRouters {
			index++
			if _, err := r.Apply(index, Entry{Version: Version, Kind: Open, Name: fmt.Sprint("n", n), Incarnation: incarnation}); err != nil {
				t.Fatalf("process %d of router %d: %v", incarnation, n, err)
			}
		}
	}
	if sessions, _ := r.Size(); sessions != 2*MostRouters {
		t.Errorf("%d sessions", sessions)
	}
}

// TestVersions: what a newer program wrote is refused before it is proposed, whatever else it holds.
func TestVersions(t *testing.T) {
	if _, err := (Entry{Version: Version + 1, Kind: Nothing}).Marshal(); !errors.Is(err, ErrUnknown) {
		t.Errorf("a newer version: %v", err)
	}
	if _, err := (Entry{Version: Version, Kind: kinds}).Marshal(); !errors.Is(err, ErrUnknown) {
		t.Errorf("an unknown kind: %v", err)
	}
	text, err := encode.Marshal(map[int]any{1: Version + 1, 2: 200, 99: "later"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(text); !errors.Is(err, ErrUnknown) {
		t.Errorf("a newer text: %v", err)
	}
	r := New()
	r.Apply(1, Entry{Version: 1, Kind: Keep, Keeper: 1, Name: "k1", Reads: Version + 3})
	r.Apply(2, Entry{Version: 1, Kind: Keep, Keeper: 2, Name: "k2", Reads: Version})
	if r.Reads() != Version {
		t.Errorf("all read %d", r.Reads())
	}
	if _, err := r.Apply(3, Entry{Version: 1, Kind: Unkeep, Keeper: 2}); err != nil {
		t.Error(err)
	}
	if _, err := r.Apply(4, Entry{Version: 1, Kind: Keep, Keeper: 2, Name: "k2"}); !errors.Is(err, ErrKeeper) {
		t.Errorf("a keeper's number is used twice: %v", err)
	}
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawn(t)
		if len(e.Body) == 0 {
			e.Body = nil
		}
		text, err := e.Marshal()
		if err != nil {
			return // refused before it is agreed
		}
		back, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(e, back); diff != "" {
			t.Fatal(diff)
		}
	})
}

func FuzzParse(f *testing.F) {
	good, _ := Entry{Version: 1, Kind: Assign, Session: 3, Work: "warmth/7"}.Marshal()
	f.Add(good)
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := Parse(text)
		if err != nil {
			return
		}
		if _, err := e.Marshal(); err != nil {
			t.Fatalf("what was read can't be written: %v", err)
		}
		New().Apply(1, e)
	})
}

func FuzzRestore(f *testing.F) {
	r := New()
	r.Apply(1, Entry{Version: 1, Kind: Open, Name: "n1", Incarnation: 7, Zone: "east"})
	r.Apply(2, Entry{Version: 1, Kind: Assign, Session: 1, Work: "w"})
	text, _ := r.Snapshot()
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Restore(text)
		if err != nil {
			return
		}
		index := r.Index()
		if index == 1<<64-1 {
			return
		}
		r.Apply(index+1, Entry{Version: 1, Kind: Assign, Session: 1, Work: "w"})
		again, err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(again); err != nil {
			t.Fatalf("what was restored can't be kept: %v", err)
		}
	})
}
