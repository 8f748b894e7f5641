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

// checkOperatorFile runs dunecheck, which lies in the same folder as this program, on the text of an operators' file.
func checkOperatorFile(fileText []byte) error {
	const timeout = 10 * time.Second // some hundred times as long as checking the largest file takes
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
		return errors.New("it can't be checked: dunecheck is missing from the folder of dunereach")
	case ctx.Err() != nil:
		return fmt.Errorf("checking it took longer than %v", timeout)
	case stderr.Len() > 0:
		return errors.New(strings.TrimSpace(stderr.String()))
	default:
		return fmt.Errorf("dunecheck: %v", err)
	}
}

// fleetProgram is the router with fleet membership and with state kept in a folder. It is a program of its own because the HTTP code
// would cost the router 2 MB of memory at rest and the code that writes state to disk 1 MB, and the platform uses neither.
const fleetProgram = "dunefleet"

// execProgram replaces this process by a program in the same folder. The process id stays the same, so a supervisor sees no restart.
func execProgram(name string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), name)
	return fmt.Errorf("%s, in the folder of dunereach: %v", name, syscall.Exec(path, append([]string{path}, args...), os.Environ()))
}

// runChecker runs dunecheck with the given arguments and passes its output on.
func runChecker(args []string, out, log io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(filepath.Dir(self), "dunecheck"), args...)
	c.Stdin, c.Stdout, c.Stderr = os.Stdin, out, log
	return c.Run()
}

// checkExpectations runs dunecheck on the routing expectations of a configuration, where the operators' file asks for it. A process
// of its own keeps the work and its memory out of the process that serves.
func checkExpectations(ctx context.Context, c config.Config) error {
	expect := c.Operator.Expect
	if expect == nil || !expect.RejectFailing {
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	const defaultSeconds, defaultMB = 60, 256 // 80 expectations take some seconds on four cores, and 60 MB
	timeout := time.Duration(cmp.Or(expect.Timeout, defaultSeconds) * 1e9)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	checker := exec.CommandContext(ctx, filepath.Join(filepath.Dir(self), "dunecheck"), "expect", "--config", c.Files[0],
		"--operator", c.Files[1], expect.Folder)
	checker.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%.0fMiB", cmp.Or(expect.MemoryMB, defaultMB)))
	switch output, err := checker.CombinedOutput(); {
	case ctx.Err() != nil:
		return fmt.Errorf("its expectations were not checked within %v", timeout)
	case err != nil:
		line, _, _ := strings.Cut(strings.TrimSpace(string(output)), "\n")
		return fmt.Errorf("it fails its expectations: %s", line)
	}
	return nil
}
