package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunereach/internal/script"
)

var program string

func TestMain(m *testing.M) {
	script.BuildAndRun(m, func(dir string) { program = filepath.Join(dir, "dunekeep") }, ".")
}

const (
	testTimeout = 20 * time.Second
	leadsWithin = 3 * time.Second // time after which the only coordinator has logged that it leads
)

// startCoordinator starts the only coordinator of a new registry. Its log goes to a pipe, of which the reading end is returned.
func startCoordinator(t *testing.T) (cmd *exec.Cmd, log *os.File) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	folder := filepath.Join(t.TempDir(), "k1")
	if out, err := exec.Command(program, "init", folder, "--name", "k1", "--keepers", fmt.Sprintf("k1=%s@z1", addr)).CombinedOutput(); err != nil {
		t.Fatalf("init: %v\n%s", err, out)
	}
	log, logEnd, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	cmd = exec.Command(program, "run", folder)
	cmd.Stderr = logEnd
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	logEnd.Close()
	return cmd, log
}

// waitFor waits for a line of the log.
func waitFor(t *testing.T, log *os.File, part string) {
	t.Helper()
	log.SetReadDeadline(time.Now().Add(testTimeout))
	for s := bufio.NewScanner(log); s.Scan(); {
		if strings.Contains(s.Text(), part) {
			return
		}
	}
	t.Fatalf("no %q in the log", part)
}

// expectEnd waits for the end of the program, with status 0.
func expectEnd(t *testing.T, cmd *exec.Cmd, within time.Duration) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the coordinator ended with %v", err)
		}
	case <-time.After(within):
		t.Errorf("the coordinator has not ended after %v", within)
	}
}

// TestLogReaderGone guards against a coordinator that is killed by its next log line once the reader of its log has gone.
func TestLogReaderGone(t *testing.T) {
	cmd, log := startCoordinator(t)
	waitFor(t, log, "keeping")
	log.Close()
	time.Sleep(leadsWithin)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	expectEnd(t, cmd, testTimeout)
}

// TestLogNotRead guards against a coordinator that does not end at SIGTERM as nobody reads its log.
func TestLogNotRead(t *testing.T) {
	const pipeSize, maxEnd = 4096, 5 * time.Second
	cmd, log := startCoordinator(t)
	if _, _, err := syscall.Syscall(syscall.SYS_FCNTL, log.Fd(), syscall.F_SETPIPE_SZ, pipeSize); err != 0 {
		t.Fatal(err)
	}
	waitFor(t, log, "keeping")
	fillPipe(t, cmd)
	time.Sleep(leadsWithin)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	expectEnd(t, cmd, maxEnd)
}

// fillPipe fills the pipe of a coordinator's log, so that its next line can't be written.
func fillPipe(t *testing.T, cmd *exec.Cmd) {
	pipe, err := os.OpenFile(fmt.Sprintf("/proc/%d/fd/2", cmd.Process.Pid), os.O_WRONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer pipe.Close()
	pipe.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	for err == nil {
		_, err = pipe.Write(make([]byte, 512))
	}
}
