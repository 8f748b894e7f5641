// Package store stores snapshots and a journal in a folder, which is never left half written. Each snapshot is a file
// of its own, and the journal holds small records since the newest one. The package does not interpret them: bodies are
// bytes.
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

	"dunereach/internal/folderlock"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// Version is the version of the file format. Older versions are read. Files of a newer version are refused and left
// unchanged.
const Version = 1

// A snapshot is a header and its body. The header has the magic bytes, the version, the generation, the body's length,
// and a checksum of all these and of the body.
const (
	magic         = "DRSTORE\n"
	headerSize    = 8 + 4 + 8 + 8 + 8
	frameSize     = 4 + 8 // of a journal's record: length and checksum
	keptSnapshots = 3     // the newest, the one that it replaced, and one more in case a disk loses writes that it acknowledged
)

// Limits on what is written and read. Anything that declares a greater length is not read: the length itself may be
// damaged.
const (
	MaxBody    = 4 << 20
	MaxRecord  = 64 << 10
	MaxJournal = 4 << 20
)

// Errors of a folder.
var (
	ErrNewer  = errors.New("written by a newer version of this program; left unchanged")
	ErrLocked = folderlock.ErrLocked
	ErrFull   = errors.New("the journal is full until the next snapshot")
)

// Store is one process's open folder. It is not safe for concurrent use.
type Store struct {
	dir, name   string
	lock        *folderlock.Lock
	generation  uint64
	journal     *os.File
	journalSize int
	maxSizes    [2]int // bytes of a snapshot's body and of a journal
}

// Contents is what was read from a folder.
type Contents struct {
	Generation uint64   // 0: no intact snapshot
	Body       []byte   // of the newest intact snapshot
	Records    [][]byte // of the journal since then, up to the first damaged one
	CutShort   bool     // the journal ends within a record, as after a kill
	Skipped    []string // the files that were skipped, and why
}

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Open locks a name in a folder and reads its files. The lock ends with the process, however it ends. Open returns
// ErrLocked if another process has the lock.
func Open(dir, name string) (*Store, Contents, error) {
	if !validName.MatchString(name) {
		return nil, Contents{}, fmt.Errorf("store: %q is not a valid name", name)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Contents{}, fmt.Errorf("store: %v", err)
	}
	lock, err := folderlock.Acquire(dir, name, "state")
	switch {
	case errors.Is(err, ErrLocked):
		return nil, Contents{}, fmt.Errorf("store: %s in %s: %w", name, dir, ErrLocked)
	case err != nil:
		return nil, Contents{}, fmt.Errorf("store: %v", err)
	}
	s := &Store{dir: dir, name: name, lock: lock, maxSizes: [2]int{MaxBody, MaxJournal}}
	r, newest, err := Load(dir, name)
	if err != nil {
		s.Close()
		return nil, r, err
	}
	s.generation = newest // at least that of every file there, intact or not: a generation is never used twice
	return s, r, nil
}

// LimitSize limits the bytes of all files together: the generations that are kept and one that is being written, each
// with a snapshot and its journal.
func (s *Store) LimitSize(total int) {
	share := total / (2 * (keptSnapshots + 1))
	s.maxSizes = [2]int{min(share, MaxBody), min(share, MaxJournal)}
}

// HasJournal reports whether there is a journal to append to.
func (s *Store) HasJournal() bool { return s.journal != nil }

// Close unlocks the folder. Records that were appended and not synced may be lost.
func (s *Store) Close() error {
	if s.journal != nil {
		s.journal.Close()
		s.journal = nil
	}
	return s.lock.Release()
}

func (s *Store) path(generation uint64, kind string) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s.%d.%s", s.name, generation, kind))
}

// WriteSnapshot writes the next generation to a temporary file, syncs it, renames it and syncs the folder. It starts a
// new journal.
func (s *Store) WriteSnapshot(body []byte) error {
	if len(body) > s.maxSizes[0] {
		return fmt.Errorf("store: the snapshot has %d bytes, at most %d are allowed", len(body), s.maxSizes[0])
	}
	next := s.generation + 1
	data := make([]byte, 0, headerSize+len(body))
	data = append(data, magic...)
	data = binary.LittleEndian.AppendUint32(data, Version)
	data = binary.LittleEndian.AppendUint64(data, next)
	data = binary.LittleEndian.AppendUint64(data, uint64(len(body)))
	data = binary.LittleEndian.AppendUint64(data, checksum(data, body))
	s.generation = next // even if writing fails, as a partial file may be left
	// The journal is created first: an empty one without its snapshot is harmless, and one sync of the folder then
	// covers both names.
	newJournal, err := os.OpenFile(s.path(next, "log"), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND|unix.O_NOFOLLOW|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := renameio.WriteFile(s.path(next, "snap"), append(data, body...), 0o600); err != nil {
		newJournal.Close()
		os.Remove(newJournal.Name())
		return fmt.Errorf("store: %w", err)
	}
	// From here on this snapshot is the newest, even if a later step fails: records belong to its journal.
	if s.journal != nil {
		s.journal.Close()
	}
	s.journal, s.journalSize = newJournal, 0
	if err := syncDir(s.dir); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.prune()
	return nil
}

// Append appends a record to the journal. The record is durable after the next Sync. Append returns ErrFull if the
// journal has no room for it, until the next snapshot.
func (s *Store) Append(record []byte) error {
	switch {
	case s.journal == nil:
		return errors.New("store: no snapshot has been written yet")
	case len(record) == 0 || len(record) > MaxRecord:
		return fmt.Errorf("store: the record has %d bytes, 1 to %d are allowed", len(record), MaxRecord)
	case s.journalSize+frameSize+len(record) > s.maxSizes[1]:
		return fmt.Errorf("store: %w", ErrFull)
	}
	data := binary.LittleEndian.AppendUint32(make([]byte, 0, frameSize+len(record)), uint32(len(record)))
	data = binary.LittleEndian.AppendUint64(data, checksum(data, record))
	n, err := s.journal.Write(append(data, record...))
	s.journalSize += n
	if err != nil {
		s.journal.Close() // it may end within a record, and anything after that would not be read
		s.journal = nil
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Sync makes the appended records durable. One call covers all records since the call before.
func (s *Store) Sync() error {
	if s.journal == nil {
		return nil
	}
	if err := s.journal.Sync(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// prune removes everything older than the snapshots that are kept. It counts the snapshots, as failed writes leave gaps
// in the numbers.
func (s *Store) prune() {
	all, kept, oldest := listFiles(s.dir, s.name), 0, uint64(0)
	for _, f := range all { // newest first
		if f.isSnapshot && kept < keptSnapshots {
			kept, oldest = kept+1, f.generation
		}
	}
	for _, f := range all {
		if f.generation < oldest {
			os.Remove(filepath.Join(s.dir, f.name))
		}
	}
}

// Drop removes all files of a name except its lock.
func (s *Store) Drop() error {
	if s.journal != nil {
		s.journal.Close()
		s.journal = nil
	}
	var errs error
	for _, f := range listFiles(s.dir, s.name) {
		errs = errors.Join(errs, os.Remove(filepath.Join(s.dir, f.name)))
	}
	return errors.Join(errs, syncDir(s.dir))
}

type file struct {
	name       string
	generation uint64
	isSnapshot bool
}

// listFiles returns the files of a name in a folder, newest first.
func listFiles(dir, name string) (all []file) {
	entries, _ := os.ReadDir(dir)
	pattern := regexp.MustCompile(`^` + regexp.QuoteMeta(name) + `\.([0-9]{1,19})\.(snap|log)$`)
	for _, e := range entries {
		if m := pattern.FindStringSubmatch(e.Name()); m != nil {
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
func Names(dir string) (names []string) {
	entries, _ := os.ReadDir(dir)
	pattern := regexp.MustCompile(`^([A-Za-z0-9][A-Za-z0-9._-]{0,63})\.[0-9]{1,19}\.(snap|log)$`)
	for _, e := range entries {
		if m := pattern.FindStringSubmatch(e.Name()); m != nil && !slices.Contains(names, m[1]) {
			names = append(names, m[1])
		}
	}
	slices.Sort(names)
	return names
}

// Size returns the number of files of a name and their bytes, without its lock.
func Size(dir, name string) (count int, bytes int64) {
	for _, f := range listFiles(dir, name) {
		if info, err := os.Lstat(filepath.Join(dir, f.name)); err == nil {
			count, bytes = count+1, bytes+info.Size()
		}
	}
	return count, bytes
}

// Load reads a folder that another process may be writing to. newest is the highest generation of any file there.
func Load(dir, name string) (r Contents, newest uint64, err error) {
	all := listFiles(dir, name)
	for _, f := range all {
		newest = max(newest, f.generation)
	}
	for _, f := range all {
		if !f.isSnapshot {
			continue
		}
		body, err := readSnapshot(filepath.Join(dir, f.name), f.generation)
		if errors.Is(err, ErrNewer) {
			return r, newest, fmt.Errorf("store: %s: %w", f.name, err)
		}
		if err != nil {
			r.Skipped = append(r.Skipped, fmt.Sprintf("%s: %v", f.name, err))
			continue
		}
		r.Generation, r.Body = f.generation, body
		var damage string
		if r.Records, r.CutShort, damage = readJournal(filepath.Join(dir, fmt.Sprintf("%s.%d.log", name, f.generation))); damage != "" {
			r.Skipped = append(r.Skipped, fmt.Sprintf("%s.%d.log: %s", name, f.generation, damage))
		}
		break
	}
	return r, newest, nil
}

func openRegular(path string) (*os.File, int64, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|unix.O_NOFOLLOW|unix.O_CLOEXEC|unix.O_NONBLOCK, 0)
	if err != nil {
		return nil, 0, err
	}
	info, err := f.Stat()
	if err == nil && !info.Mode().IsRegular() {
		err = errors.New("not a regular file")
	}
	if err != nil {
		f.Close()
		return nil, 0, err
	}
	return f, info.Size(), nil
}

func readSnapshot(path string, generation uint64) ([]byte, error) {
	f, size, err := openRegular(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var h [headerSize]byte
	if _, err := io.ReadFull(f, h[:]); err != nil {
		return nil, errors.New("truncated header")
	}
	if string(h[:8]) != magic {
		return nil, errors.New("not a snapshot")
	}
	if v := binary.LittleEndian.Uint32(h[8:]); v > Version {
		return nil, ErrNewer
	} else if v == 0 {
		return nil, errors.New("version 0")
	}
	length := binary.LittleEndian.Uint64(h[20:])
	switch {
	case binary.LittleEndian.Uint64(h[12:]) != generation:
		return nil, errors.New("the generation does not match the file name")
	case length > MaxBody || int64(length) != size-headerSize:
		return nil, fmt.Errorf("the length does not match the file size")
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(f, body); err != nil {
		return nil, errors.New("truncated body")
	}
	if checksum(h[:28], body) != binary.LittleEndian.Uint64(h[28:]) {
		return nil, errors.New("checksum mismatch")
	}
	return body, nil
}

// readJournal reads the intact records of a journal. A truncated record at the end is normal; any other damage ends the
// reading and is described in damage.
func readJournal(path string) (records [][]byte, cut bool, damage string) {
	f, size, err := openRegular(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, ""
	}
	if err != nil {
		return nil, false, err.Error()
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, min(size, MaxJournal)))
	if err != nil {
		damage = err.Error()
	}
	for at := 0; len(data) > 0; {
		if len(data) < frameSize {
			return records, true, damage
		}
		n := int(binary.LittleEndian.Uint32(data))
		if n == 0 || n > MaxRecord {
			return records, false, fmt.Sprintf("damaged at byte %d, %d records before it are intact", at, len(records))
		}
		if len(data) < frameSize+n {
			return records, true, damage
		}
		body := data[frameSize : frameSize+n]
		if checksum(data[:4], body) != binary.LittleEndian.Uint64(data[4:]) {
			if len(data) == frameSize+n {
				return records, true, damage // the last record: not all of its pages were written
			}
			return records, false, fmt.Sprintf("damaged at byte %d, %d records before it are intact", at, len(records))
		}
		records = append(records, slices.Clone(body))
		data, at = data[frameSize+n:], at+frameSize+n
	}
	return records, false, damage
}

func checksum(head, body []byte) uint64 {
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
