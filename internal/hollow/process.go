package hollow

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
)

// starter starts processes that are killed when this process ends. Linux sends the signal when the parent thread ends (Pdeathsig), so
// all processes are started from one locked thread that stays alive.
type starter struct{ starts chan func() }

func newStarter() *starter {
	s := &starter{starts: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for start := range s.starts {
			start()
		}
	}()
	return s
}

func (s *starter) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	s.starts <- func() { done <- cmd.Start() }
	return <-done
}

func (s *starter) close() { close(s.starts) }

// tail keeps the end of a process's log.
type tail struct {
	mu   sync.Mutex
	text bytes.Buffer
}

const maxTailBytes = 4 << 10 // bytes

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text.Write(b)
	if excess := t.text.Len() - maxTailBytes; excess > 0 {
		t.text.Next(excess)
	}
	return len(b), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.text.String()
}

// lineClient sends commands to a worker and reads its reports, one line of JSON each.
type lineClient struct {
	in  io.WriteCloser
	out *bufio.Reader
}

func newLineClient(in io.WriteCloser, out io.Reader) *lineClient {
	return &lineClient{in, bufio.NewReaderSize(out, 1<<20)}
}

// workerProcess is a worker that runs in its own process.
type workerProcess struct {
	*lineClient
	cmd *exec.Cmd
	log tail
}

// startWorker starts the program that runs Worker.Serve on its standard input and output.
func startWorker(s *starter, program string, args ...string) (*workerProcess, error) {
	w := &workerProcess{cmd: exec.Command(program, args...)}
	w.cmd.Stderr = &w.log
	in, err := w.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := w.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	w.lineClient = newLineClient(in, out)
	return w, s.start(w.cmd)
}

// do sends one command and waits for its report.
func (w *lineClient) do(c Command) (report Report, err error) {
	line, err := json.Marshal(c)
	if err != nil {
		return report, err
	}
	if _, err := w.in.Write(append(line, '\n')); err != nil {
		return report, fmt.Errorf("worker: %w", err)
	}
	reply, err := w.out.ReadBytes('\n')
	if err != nil {
		return report, fmt.Errorf("worker: %w", err)
	}
	if err := json.Unmarshal(reply, &report); err != nil {
		return report, err
	}
	if report.Error != "" {
		return report, errors.New(report.Error)
	}
	return report, nil
}

func (w *workerProcess) close() {
	w.in.Close()
	w.cmd.Process.Kill()
	w.cmd.Wait()
}

// Usage is the resource usage of one process.
type Usage struct {
	CPU              float64 // seconds of processor time
	MemoryMB         float64 // resident
	TransferredBytes float64 // bytes transferred by read and write calls, on sockets and files
	WrittenBytes     float64 // bytes written to disk
	Descriptors      int     // open file descriptors
}

// clockTicks is USER_HZ, which is the same on every Linux platform that Go supports.
const clockTicks = 100

// usageOf reads a process's resource usage from /proc.
func usageOf(pid int) (u Usage, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return u, errors.New("/proc stat line has too few fields")
	}
	var ticks, pages float64
	for _, k := range []int{user, system} {
		var n float64
		fmt.Sscan(fields[k], &n)
		ticks += n
	}
	fmt.Sscan(fields[resident], &pages)
	u.CPU = ticks / clockTicks
	u.MemoryMB = pages * float64(os.Getpagesize()) / (1 << 20)
	if text, err = os.ReadFile(fmt.Sprintf("/proc/%d/io", pid)); err != nil {
		return u, err
	}
	for line := range strings.Lines(string(text)) {
		var n float64
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		fmt.Sscan(value, &n)
		switch name {
		case "rchar", "wchar":
			u.TransferredBytes += n
		case "write_bytes":
			u.WrittenBytes = n
		}
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(open)
	return u, err
}

func (u *Usage) add(o Usage) {
	u.CPU += o.CPU
	u.MemoryMB += o.MemoryMB
	u.TransferredBytes += o.TransferredBytes
	u.WrittenBytes += o.WrittenBytes
	u.Descriptors += o.Descriptors
}
