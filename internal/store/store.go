// Package store keeps snapshots and a journal in a folder that is never half written: each snapshot is a file of its own, and the
// journal holds small records since the newest. It does not interpret them: bodies are bytes.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// Version of the format. Older ones are read; a newer one is refused, and its files are left as they are.
const Version = 1

// A snapshot is the header and its body: magic, version, generation, the body's length, a checksum of all before it and of the body.
const (
	magic  = "DRSTORE\n"
	header = 8 + 4 + 8 + 8 + 8
	frame  = 4 + 8 // of a journal's record: length and checksum
	keeps  = 3     // generations: one that is whole, one that it replaces, and one more for a disk that lies
)

// Bounds on what is written and read. What is longer by its own word is not read: a length may be damage.
const (
	MostBody    = 4 << 20
	MostRecord  = 64 << 10
	MostJournal = 4 << 20
)

// What a folder can be wrong by.
var (
	ErrNewer  = errors.New("written by a newer version of this program; it is left as it is")
	ErrLocked = errors.New("another process has it")
	ErrFull   = errors.New("the journal is full until the next snapshot")
)

// Store is one process's open folder. It is not safe for concurrent use.
type Store struct {
	dir, name  string
	lock       *os.File
	generation uint64
	journal    *os.File
	size       int
	most       [2]int // bytes of a snapshot's body and of a journal
}

// Read is what a folder held.
type Read struct {
	Generation uint64   // 0: nothing whole
	Body       []byte   // of the newest snapshot that is whole
	Records    [][]byte // of the journal since then, as far as they are whole
	Cut        bool     // the journal ends in half a record, as after a kill
	Passed     []string // what was passed over, and why
}

var clean = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Open locks a name in a folder and reads what is there. The lock ends with the process, however it ends. It returns ErrLocked
// where another process has it.
func Open(dir, name string) (*Store, Read, error) {
	if !clean.MatchString(name) {
		return nil, Read{}, fmt.Errorf("store: %q is no name for files", name)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Read{}, fmt.Errorf("store: %v", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, name+".lock"), os.O_CREATE|os.O_RDWR|unix.O_NOFOLLOW|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, Read{}, fmt.Errorf("store: %v", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, Read{}, fmt.Errorf("store: %s in %s: %w", name, dir, ErrLocked)
	}
	s := &Store{dir: dir, name: name, lock: lock, most: [2]int{MostBody, MostJournal}}
	r, newest, err := Load(dir, name)
	if err != nil {
		s.Close()
		return nil, r, err
	}
	s.generation = newest // above every file there, whole or not: a number is never used twice
	return s, r, nil
}

// Bound bounds the bytes of all files together: the generations that stay and one that is being written, each a snapshot and its
// journal.
func (s *Store) Bound(total int) {
	each := total / (2 * (keeps + 1))
	s.most = [2]int{min(each, MostBody), min(each, MostJournal)}
}

// Begun reports whether there is a journal to append to.
func (s *Store) Begun() bool { return s.journal != nil }

// Close unlocks the folder. What was appended and not synced may be lost.
func (s *Store) Close() error {
	if s.journal != nil {
		s.journal.Close()
		s.journal = nil
	}
	return s.lock.Close()
}

func (s *Store) path(generation uint64, kind string) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s.%d.%s", s.name, generation, kind))
}

// Snapshot writes the next generation to a temporary file, syncs it, renames it and syncs the folder. The journal begins anew.
func (s *Store) Snapshot(body []byte) error {
	if len(body) > s.most[0] {
		return fmt.Errorf("store: a snapshot of %d bytes, %d at most", len(body), s.most[0])
	}
	next := s.generation + 1
	text := make([]byte, 0, header+len(body))
	text = append(text, magic...)
	text = binary.LittleEndian.AppendUint32(text, Version)
	text = binary.LittleEndian.AppendUint64(text, next)
	text = binary.LittleEndian.AppendUint64(text, uint64(len(body)))
	text = binary.LittleEndian.AppendUint64(text, sum(text, body))
	s.generation = next // also where it fails: half of it may lie there
	// The journal first: an empty one without its snapshot is nothing, and one synced folder stands for both names.
	j, err := os.OpenFile(s.path(next, "log"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND|unix.O_NOFOLLOW|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := renameio.WriteFile(s.path(next, "snap"), append(text, body...), 0o600); err != nil {
		j.Close()
		os.Remove(j.Name())
		return fmt.Errorf("store: %w", err)
	}
	// From here on this snapshot is the newest, whatever comes: records belong to its journal.
	if s.journal != nil {
		s.journal.Close()
	}
	s.journal, s.size = j, 0
	if err := syncDir(s.dir); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.prune()
	return nil
}

// Append appends a record to the journal, which is durable after the next Sync. It returns ErrFull until the next snapshot where
// the journal has no room for it.
func (s *Store) Append(record []byte) error {
	switch {
	case s.journal == nil:
		return errors.New("store: no snapshot has been written yet")
	case len(record) == 0 || len(record) > MostRecord:
		return fmt.Errorf("store: a record of %d bytes, 1 to %d are kept", len(record), MostRecord)
	case s.size+frame+len(record) > s.most[1]:
		return fmt.Errorf("store: %w", ErrFull)
	}
	text := binary.LittleEndian.AppendUint32(make([]byte, 0, frame+len(record)), uint32(len(record)))
	text = binary.LittleEndian.AppendUint64(text, sum(text, record))
	n, err := s.journal.Write(append(text, record...))
	s.size += n
	if err != nil {
		s.journal.Close() // half a record lies there: what came after it would not be read
		s.journal = nil
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Sync makes durable what was appended. One call covers all records since the one before.
func (s *Store) Sync() error {
	if s.journal == nil {
		return nil
	}
	if err := s.journal.Sync(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// prune removes what is older than the snapshots that stay. Snapshots are counted, as failed writes leave gaps in the numbers.
func (s *Store) prune() {
	all, snaps, oldest := files(s.dir, s.name), 0, uint64(0)
	for _, f := range all { // newest first
		if f.snap && snaps < keeps {
			snaps, oldest = snaps+1, f.generation
		}
	}
	for _, f := range all {
		if f.generation < oldest {
			os.Remove(filepath.Join(s.dir, f.name))
		}
	}
}

// Drop removes all files of a name but its lock.
func (s *Store) Drop() error {
	if s.journal != nil {
		s.journal.Close()
		s.journal = nil
	}
	var all error
	for _, f := range files(s.dir, s.name) {
		all = errors.Join(all, os.Remove(filepath.Join(s.dir, f.name)))
	}
	return errors.Join(all, syncDir(s.dir))
}

type file struct {
	name       string
	generation uint64
	snap       bool
}

// files of a name in a folder, newest first.
func files(dir, name string) (all []file) {
	entries, _ := os.ReadDir(dir)
	form := regexp.MustCompile(`^` + regexp.QuoteMeta(name) + `\.([0-9]{1,19})\.(snap|log)$`)
	for _, e := range entries {
		if m := form.FindStringSubmatch(e.Name()); m != nil {
			if g, err := strconv.ParseUint(m[1], 10, 63); err == nil {
				all = append(all, file{e.Name(), g, m[2] == "snap"})
			}
		}
	}
	slices.SortFunc(all, func(a, b file) int {
		switch {
		case a.generation > b.generation:
			return -1
		case a.generation < b.generation:
			return 1
		}
		return 0
	})
	return all
}

// Names returns the names that a folder has files of.
func Names(dir string) (all []string) {
	entries, _ := os.ReadDir(dir)
	form := regexp.MustCompile(`^([A-Za-z0-9][A-Za-z0-9._-]{0,63})\.[0-9]{1,19}\.(snap|log)$`)
	for _, e := range entries {
		if m := form.FindStringSubmatch(e.Name()); m != nil && !slices.Contains(all, m[1]) {
			all = append(all, m[1])
		}
	}
	slices.Sort(all)
	return all
}

// Size returns the number of files of a name and their bytes, without its lock.
func Size(dir, name string) (count int, bytes int64) {
	for _, f := range files(dir, name) {
		if info, err := os.Lstat(filepath.Join(dir, f.name)); err == nil {
			count, bytes = count+1, bytes+info.Size()
		}
	}
	return count, bytes
}

// Load reads a folder that another process may be writing to. newest is the highest generation of any file there.
func Load(dir, name string) (r Read, newest uint64, err error) {
	all := files(dir, name)
	for _, f := range all {
		newest = max(newest, f.generation)
	}
	for _, f := range all {
		if !f.snap {
			continue
		}
		body, err := readSnapshot(filepath.Join(dir, f.name), f.generation)
		if errors.Is(err, ErrNewer) {
			return r, newest, fmt.Errorf("store: %s: %w", f.name, err)
		}
		if err != nil {
			r.Passed = append(r.Passed, fmt.Sprintf("%s: %v", f.name, err))
			continue
		}
		r.Generation, r.Body = f.generation, body
		var why string
		if r.Records, r.Cut, why = readJournal(filepath.Join(dir, fmt.Sprintf("%s.%d.log", name, f.generation))); why != "" {
			r.Passed = append(r.Passed, fmt.Sprintf("%s.%d.log: %s", name, f.generation, why))
		}
		break
	}
	return r, newest, nil
}

func open(path string) (*os.File, int64, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|unix.O_NOFOLLOW|unix.O_CLOEXEC|unix.O_NONBLOCK, 0)
	if err != nil {
		return nil, 0, err
	}
	info, err := f.Stat()
	if err == nil && !info.Mode().IsRegular() {
		err = errors.New("it is no regular file")
	}
	if err != nil {
		f.Close()
		return nil, 0, err
	}
	return f, info.Size(), nil
}

func readSnapshot(path string, generation uint64) ([]byte, error) {
	f, size, err := open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var h [header]byte
	if _, err := io.ReadFull(f, h[:]); err != nil {
		return nil, errors.New("it ends within its header")
	}
	if string(h[:8]) != magic {
		return nil, errors.New("it is no snapshot")
	}
	if v := binary.LittleEndian.Uint32(h[8:]); v > Version {
		return nil, ErrNewer
	} else if v == 0 {
		return nil, errors.New("version 0")
	}
	length := binary.LittleEndian.Uint64(h[20:])
	switch {
	case binary.LittleEndian.Uint64(h[12:]) != generation:
		return nil, errors.New("it bears another generation than its name")
	case length > MostBody || int64(length) != size-header:
		return nil, fmt.Errorf("its length is not the file's")
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(f, body); err != nil {
		return nil, errors.New("it ends within its body")
	}
	if sum(h[:28], body) != binary.LittleEndian.Uint64(h[28:]) {
		return nil, errors.New("its checksum is wrong")
	}
	return body, nil
}

// readJournal as far as it is whole. A record cut short at the end is normal; anything else that is wrong ends the reading and is said.
func readJournal(path string) (records [][]byte, cut bool, why string) {
	f, size, err := open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, ""
	}
	if err != nil {
		return nil, false, err.Error()
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, min(size, MostJournal)))
	if err != nil {
		why = err.Error()
	}
	for at := 0; len(text) > 0; {
		if len(text) < frame {
			return records, true, why
		}
		n := int(binary.LittleEndian.Uint32(text))
		if n == 0 || n > MostRecord {
			return records, false, fmt.Sprintf("damaged at byte %d, %d records before it are whole", at, len(records))
		}
		if len(text) < frame+n {
			return records, true, why
		}
		body := text[frame : frame+n]
		if sum(text[:4], body) != binary.LittleEndian.Uint64(text[4:]) {
			if len(text) == frame+n {
				return records, true, why // the last one: its pages were not all written
			}
			return records, false, fmt.Sprintf("damaged at byte %d, %d records before it are whole", at, len(records))
		}
		records = append(records, slices.Clone(body))
		text, at = text[frame+n:], at+frame+n
	}
	return records, false, why
}

func sum(head, body []byte) uint64 {
	d := xxhash.New()
	d.Write(head)
	d.Write(body)
	return d.Sum64()
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
