package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newFolder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	s, r, err := Open(dir, "n1")
	must(t, err)
	if r.Generation != 0 || r.Body != nil {
		t.Fatalf("an empty folder contains %+v", r)
	}
	must(t, s.WriteSnapshot([]byte("first")))
	must(t, s.Append([]byte("lost with the next snapshot")))
	must(t, s.WriteSnapshot([]byte("second")))
	for n := range 3 {
		must(t, s.Append(fmt.Appendf(nil, "record %d", n)))
	}
	must(t, s.Sync())
	must(t, s.Close())
	return dir
}

func load(t *testing.T, dir string) Contents {
	t.Helper()
	r, _, err := Load(dir, "n1")
	must(t, err)
	return r
}

func TestRoundTrip(t *testing.T) {
	dir := newFolder(t)
	r := load(t, dir)
	if string(r.Body) != "second" || r.Generation != 2 || len(r.Records) != 3 || string(r.Records[2]) != "record 2" || r.CutShort || len(r.Skipped) > 0 {
		t.Errorf("%+v", r)
	}
	s, _, err := Open(dir, "n1")
	must(t, err)
	defer s.Close()
	for n := range 5 {
		must(t, s.WriteSnapshot(fmt.Appendf(nil, "later %d", n)))
	}
	if r := load(t, dir); string(r.Body) != "later 4" || r.Generation != 7 {
		t.Errorf("%+v", r)
	}
	if n := len(listFiles(dir, "n1")); n > 2*keptSnapshots {
		t.Errorf("%d files are kept", n)
	}
	if _, _, err := Open(dir, "n1"); !errors.Is(err, ErrLocked) {
		t.Errorf("opening a second time: %v", err)
	}
	other, _, err := Open(dir, "n2")
	must(t, err)
	other.Close()
	must(t, s.Drop())
	if r := load(t, dir); r.Generation != 0 {
		t.Errorf("after Drop the folder contains %+v", r)
	}
}

// TestDamage flips each bit of a file and truncates it at every byte. The result must never be a wrong body or a record
// that was not written, and a damaged snapshot is skipped for the generation before it.
func TestDamage(t *testing.T) {
	dir := newFolder(t)
	for _, name := range []string{"n1.2.snap", "n1.2.log"} {
		path := filepath.Join(dir, name)
		intact, err := os.ReadFile(path)
		must(t, err)
		check := func(what string, text []byte) {
			must(t, os.WriteFile(path, text, 0o600))
			r, _, err := Load(dir, "n1")
			if err != nil && !errors.Is(err, ErrNewer) {
				t.Fatalf("%s %s: %v", name, what, err)
			}
			if err == nil && string(r.Body) != "second" && string(r.Body) != "first" {
				t.Fatalf("%s %s: the body is %q", name, what, r.Body)
			}
			if name == "n1.2.snap" && err == nil && string(r.Body) == "first" && len(r.Skipped) == 0 {
				t.Fatalf("%s %s: the damage is not reported", name, what)
			}
			for n, x := range r.Records {
				if string(r.Body) == "second" && string(x) != fmt.Sprint("record ", n) {
					t.Fatalf("%s %s: record %d is %q", name, what, n, x)
				}
			}
		}
		for n := range intact {
			check(fmt.Sprint("cut at ", n), intact[:n])
			for bit := range 8 {
				text := bytes.Clone(intact)
				text[n] ^= 1 << bit
				check(fmt.Sprint("bit ", bit, " of byte ", n), text)
			}
		}
		must(t, os.WriteFile(path, intact, 0o600))
	}
	path := filepath.Join(dir, "n1.2.log")
	intact, _ := os.ReadFile(path)
	must(t, os.WriteFile(path, intact[:len(intact)-3], 0o600))
	if r := load(t, dir); !r.CutShort || len(r.Records) != 2 || len(r.Skipped) > 0 {
		t.Errorf("a truncated journal: %+v", r)
	}
	intact[frameSize] ^= 1
	must(t, os.WriteFile(path, intact, 0o600))
	if r := load(t, dir); r.CutShort || len(r.Records) != 0 || len(r.Skipped) != 1 || !strings.Contains(r.Skipped[0], "damaged at byte 0") {
		t.Errorf("a journal damaged in the middle: %+v", r)
	}
}

// TestForeignFiles: files that the store did not write, or that a newer version wrote, are skipped or refused, and left
// unchanged.
func TestForeignFiles(t *testing.T) {
	dir := newFolder(t)
	secret := filepath.Join(t.TempDir(), "secret")
	must(t, os.WriteFile(secret, []byte("a secret"), 0o600))
	must(t, os.Symlink(secret, filepath.Join(dir, "n1.9.snap")))
	must(t, os.Mkdir(filepath.Join(dir, "n1.8.snap"), 0o700))
	must(t, os.WriteFile(filepath.Join(dir, "n1.7.snap"), []byte("somebody else's notes, which are longer than a header is"), 0o600))
	must(t, os.WriteFile(filepath.Join(dir, "n1.99999999999999999999.snap"), nil, 0o600))
	must(t, os.WriteFile(filepath.Join(dir, "n1.x.snap"), nil, 0o600))
	r := load(t, dir)
	if string(r.Body) != "second" || len(r.Skipped) != 3 {
		t.Errorf("%+v", r)
	}
	s, _, err := Open(dir, "n1")
	must(t, err)
	must(t, s.WriteSnapshot([]byte("third")))
	s.Close()
	if r := load(t, dir); string(r.Body) != "third" || r.Generation != 10 {
		t.Errorf("%+v", r)
	}
	path := filepath.Join(dir, "n1.10.snap")
	text, _ := os.ReadFile(path)
	text[8] = Version + 1
	must(t, os.WriteFile(path, text, 0o600))
	if _, _, err := Open(dir, "n1"); !errors.Is(err, ErrNewer) {
		t.Errorf("a newer version: %v", err)
	}
	if after, _ := os.ReadFile(path); !bytes.Equal(text, after) {
		t.Error("a newer version's file was changed")
	}
	for _, name := range []string{"", "..", "a/b", "../n1", "a b", strings.Repeat("x", 70)} {
		if s, _, err := Open(dir, name); err == nil {
			s.Close()
			t.Errorf("%q is accepted as a name", name)
		}
	}
	file := filepath.Join(t.TempDir(), "file")
	must(t, os.WriteFile(file, nil, 0o600))
	if _, _, err := Open(file, "n1"); err == nil {
		t.Error("a file was accepted as a folder")
	}
}

// TestBounds: snapshots and records that are too long are refused when they are written.
func TestBounds(t *testing.T) {
	s, _, err := Open(t.TempDir(), "n1")
	must(t, err)
	defer s.Close()
	if s.Append([]byte("x")) == nil {
		t.Error("a record was accepted before any snapshot")
	}
	if s.WriteSnapshot(make([]byte, MaxBody+1)) == nil {
		t.Error("a snapshot that is too long was accepted")
	}
	must(t, s.WriteSnapshot(nil))
	if s.Append(nil) == nil || s.Append(make([]byte, MaxRecord+1)) == nil {
		t.Error("a record that is too short or too long was accepted")
	}
	n := 0
	for ; ; n++ {
		if err := s.Append(make([]byte, MaxRecord)); err != nil {
			if !errors.Is(err, ErrFull) {
				t.Error(err)
			}
			break
		}
	}
	if n*(MaxRecord+frameSize) > MaxJournal || n < 50 {
		t.Errorf("%d records fit", n)
	}
	must(t, s.WriteSnapshot([]byte("anew")))
	must(t, s.Append([]byte("x")))
}

// TestArbitraryFiles: whatever bytes the files contain, reading them ends without a crash and returns only data with a
// valid checksum.
func TestArbitraryFiles(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		for _, name := range []string{"n1.1.snap", "n1.1.log", "n1.2.snap"} {
			text := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, name)
			if rapid.Bool().Draw(t, "has a header") {
				text = append([]byte(magic+"\x01\x00\x00\x00"), text...)
			}
			if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if r, _, err := Load(dir, "n1"); err == nil && r.Generation != 0 {
			t.Fatalf("arbitrary bytes were read as a snapshot: %+v", r)
		}
	})
}

// TestFailedWrites: snapshots that cannot be written lose nothing. Records are still appended after the newest intact
// snapshot, and earlier intact generations stay.
func TestFailedWrites(t *testing.T) {
	dir := newFolder(t)
	s, _, err := Open(dir, "n1")
	must(t, err)
	defer s.Close()
	must(t, s.WriteSnapshot([]byte("third")))
	must(t, s.Append([]byte("before")))
	for g := 4; g < 10; g++ { // a folder stands in the place of each snapshot
		must(t, os.MkdirAll(filepath.Join(dir, fmt.Sprintf("n1.%d.snap", g), "x"), 0o700))
		if s.WriteSnapshot([]byte("lost")) == nil {
			t.Fatal("a snapshot was written over a folder")
		}
	}
	must(t, s.Append([]byte("after")))
	must(t, s.Sync())
	if r := load(t, dir); string(r.Body) != "third" || len(r.Records) != 2 || string(r.Records[1]) != "after" {
		t.Errorf("%+v", r)
	}
	for g := 4; g < 10; g++ {
		must(t, os.RemoveAll(filepath.Join(dir, fmt.Sprintf("n1.%d.snap", g))))
	}
	must(t, s.WriteSnapshot([]byte("fourth")))
	path := filepath.Join(dir, "n1.10.snap")
	text, err := os.ReadFile(path)
	must(t, err)
	must(t, os.WriteFile(path, text[:len(text)-1], 0o600)) // as if the disk had lost a write that it acknowledged
	if r := load(t, dir); string(r.Body) != "third" || len(r.Skipped) != 1 {
		t.Errorf("the generation before is not read: %+v", r)
	}
}
