package expect

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Source is one file of expectations, or why it can't be read.
type Source struct {
	Name string
	File *File
	Err  error
}

// Read reads files, and of folders all that end in .json, in order of their names. check checks a text against the schema.
func Read(paths []string, check func([]byte) error) (all []Source, err error) {
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		files := []string{path}
		if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "*.json")); err != nil {
				return nil, err
			}
			slices.Sort(files)
		}
		for _, file := range files {
			s := Source{Name: file}
			text, err := os.ReadFile(file)
			if err == nil {
				s.File, err = Parse(text, check)
			}
			s.Err = err
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("no expectations in %s", strings.Join(paths, ", "))
	}
	return all, nil
}

// Parse reads a text.
func Parse(text []byte, check func([]byte) error) (*File, error) {
	if err := check(text); err != nil {
		return nil, err
	}
	f := &File{}
	return f, json.Unmarshal(text, f)
}

// Matching keeps the expectations whose name holds a part.
func Matching(all []Source, substring string) []Source {
	for k := range all {
		if f := all[k].File; f != nil {
			f.Expectations = slices.DeleteFunc(f.Expectations, func(e Expectation) bool { return !strings.Contains(e.Name, substring) })
		}
	}
	return all
}
