package expect

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Source is one file of expectations, or the error that reading it returned.
type Source struct {
	Name string
	File *File
	Err  error
}

// ReadFiles reads files, and all files of folders whose names end in .json, in order of their names. check validates a text
// against the schema.
func ReadFiles(paths []string, check func([]byte) error) (all []Source, err error) {
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

// Parse validates and decodes the text of a file of expectations.
func Parse(text []byte, check func([]byte) error) (*File, error) {
	if err := check(text); err != nil {
		return nil, err
	}
	f := &File{}
	return f, json.Unmarshal(text, f)
}

// Matching keeps the expectations whose names contain a substring.
func Matching(all []Source, substring string) []Source {
	for k := range all {
		if f := all[k].File; f != nil {
			f.Expectations = slices.DeleteFunc(f.Expectations, func(e Expectation) bool { return !strings.Contains(e.Name, substring) })
		}
	}
	return all
}
