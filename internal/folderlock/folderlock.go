// Package folderlock locks names in folders against other processes. The parts of a process that keep different files under one name share
// its lock.
package folderlock

import (
	"errors"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"
)

// ErrLocked is returned by Acquire if another process, or the same part of this one, holds the lock.
var ErrLocked = errors.New("another process has locked it")

// Lock is held until Release, or until the process ends, however it ends.
type Lock struct {
	file *lockFile
	part string
}

// lockFile is a locked file and the parts of this process that share it.
type lockFile struct {
	path  string
	file  *os.File
	parts map[string]struct{}
}

// held are the locks of this process by their paths.
var held = struct {
	sync.Mutex
	files map[string]*lockFile
}{files: map[string]*lockFile{}}

// Acquire locks a name in a folder, which must exist, for a part of this process.
func Acquire(folder, name, part string) (*Lock, error) {
	path, err := filepath.Abs(filepath.Join(folder, name+".lock"))
	if err != nil {
		return nil, err
	}
	held.Lock()
	defer held.Unlock()
	f := held.files[path]
	if f == nil || f.replaced() {
		if f, err = open(path); err != nil {
			return nil, err
		}
		held.files[path] = f
	}
	if _, taken := f.parts[part]; taken {
		return nil, ErrLocked
	}
	f.parts[part] = struct{}{}
	return &Lock{f, part}, nil
}

// open opens and locks a file.
func open(path string) (*lockFile, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|unix.O_NOFOLLOW|unix.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, ErrLocked
	}
	return &lockFile{path: path, file: file, parts: map[string]struct{}{}}, nil
}

// replaced reports whether the file is not the one at its path any more, so that another process could lock that.
func (f *lockFile) replaced() bool {
	locked, err := f.file.Stat()
	if err != nil {
		return true
	}
	present, err := os.Stat(f.path)
	return err != nil || !os.SameFile(locked, present)
}

// Release ends the part's hold of the lock. The lock ends with the last of them.
func (l *Lock) Release() error {
	held.Lock()
	defer held.Unlock()
	delete(l.file.parts, l.part)
	if len(l.file.parts) > 0 {
		return nil
	}
	if held.files[l.file.path] == l.file {
		delete(held.files, l.file.path)
	}
	return l.file.file.Close()
}
