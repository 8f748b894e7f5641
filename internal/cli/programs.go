package cli

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"dunereach/internal/config"
)

// checkOperatorFile has the program beside this one checkOperatorFile a text of the operators' file.
func checkOperatorFile(fileText []byte) error {
	const timeout = 10 * time.Second // some hundred times what it takes for the largest file
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var stderr bytes.Buffer
	c := exec.CommandContext(ctx, filepath.Join(filepath.Dir(self), "dunecheck"))
	c.Stdin, c.Stderr = bytes.NewReader(fileText), &stderr
	switch err := c.Run(); {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrNotExist):
		return errors.New("it can't be checked: dunecheck is not beside dunereach")
	case ctx.Err() != nil:
		return fmt.Errorf("checking it took over %v", timeout)
	case stderr.Len() > 0:
		return errors.New(strings.TrimSpace(stderr.String()))
	default:
		return fmt.Errorf("dunecheck: %v", err)
	}
}

// fleetProgram is the router with its part in the fleet, and with what it keeps in a folder: HTTP would cost the router 2 MB at rest and
// what writes to a disk 1 MB, and the platform has no use for either.
const fleetProgram = "dunefleet"

// execProgram the program beside this one: the process stays the same, so whoever started it notices nothing.
func execProgram(name string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), name)
	return fmt.Errorf("%s, beside dunereach: %v", name, syscall.Exec(path, append([]string{path}, args...), os.Environ()))
}

// runChecker runs the program beside this one, with its words and what it prints.
func runChecker(args []string, out, log io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(filepath.Dir(self), "dunecheck"), args...)
	c.Stdin, c.Stdout, c.Stderr = os.Stdin, out, log
	return c.Run()
}

// checkExpectations has the program beside this one try the expectations of a configuration, where the operators' file asks for it. It takes
// a process of its own, so that the one that serves waits for nothing and lends no memory.
func checkExpectations(ctx context.Context, c config.Config) error {
	expect := c.Operator.Expect
	if expect == nil || !expect.Refuse {
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	const defaultSeconds, defaultMB = 60, 256 // eighty expectations take some seconds on four cores, and 60 MB
	timeout := time.Duration(cmp.Or(expect.Seconds, defaultSeconds) * 1e9)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	checker := exec.CommandContext(ctx, filepath.Join(filepath.Dir(self), "dunecheck"), "expect", "--config", c.Files[0],
		"--operator", c.Files[1], expect.Folder)
	checker.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%.0fMiB", cmp.Or(expect.Memory, defaultMB)))
	switch output, err := checker.CombinedOutput(); {
	case ctx.Err() != nil:
		return fmt.Errorf("its expectations were not checked within %v", timeout)
	case err != nil:
		line, _, _ := strings.Cut(strings.TrimSpace(string(output)), "\n")
		return fmt.Errorf("it fails its expectations: %s", line)
	}
	return nil
}
