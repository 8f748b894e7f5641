package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// TestHalfWritten: a configuration that is partly written at SIGHUP is applied once it is complete, without another signal.
func TestHalfWritten(t *testing.T) {
	w := newCluster(t, 1)
	w.waitForLog("serving")
	good, err := os.ReadFile(w.configPath)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(good), `"memory_mb":192`, `"memory_mb":96`, 1)
	f, err := os.Create(w.configPath)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(f, text[:len(text)/2])
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.waitForLog("new configuration not taken")
	fmt.Fprint(f, text[len(text)/2:])
	f.Close()
	w.waitForLog(`"kept until a restart":["limits"]`)
}

// TestEndsEarly: SIGTERM during the start makes a router exit with status 0 and leave no accepted request unanswered. So do many
// SIGTERMs and SIGHUPs in turn.
func TestEndsEarly(t *testing.T) {
	for _, wait := range []time.Duration{0, 5, 20, 100} {
		w := prepareCluster(t, 1, 1024)
		w.configFromPipe() // the router waits for its configuration
		w.start()
		f, err := os.OpenFile(w.configPath, os.O_WRONLY, 0) // returns once the router has opened it
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(wait * time.Millisecond)
		for range 20 {
			w.cmd.Process.Signal(syscall.SIGHUP)
			w.cmd.Process.Signal(syscall.SIGTERM)
		}
		f.WriteString(w.text)
		f.Close()
		w.waitForExit(0)
	}
}

// TestNoReader: a router exits on SIGTERM even if nothing reads its log.
func TestNoReader(t *testing.T) {
	w := prepareCluster(t, 1, 1024)
	cmd := w.routerCommand()
	r, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	fd := int(out.Fd()) // each call of Fd sets the descriptor to blocking mode again
	syscall.SetNonblock(fd, true)
	for full := false; !full; { // until the pipe is full
		_, err := syscall.Write(fd, []byte("noise\n"))
		full = err != nil
	}
	syscall.SetNonblock(fd, false)
	if c := fake.NewClient(t, w.addr); !c.Health() {
		t.Fatal("not ready")
	}
	cmd.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(fake.Timeout):
		t.Error("the router does not exit")
	}
}

// TestReaderGone: a router continues to serve after the reader of its log has closed the pipe.
func TestReaderGone(t *testing.T) {
	w := prepareCluster(t, 1, 1024)
	cmd := w.routerCommand()
	r, out, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	out.Close()
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil || !strings.Contains(line, "serving") {
		t.Fatal(line, err)
	}
	r.Close()
	cmd.Process.Signal(syscall.SIGHUP) // the router logs the reload
	for range 3 {
		bad := fake.NewClient(t, w.addr) // the router logs the bad message
		bad.SendRaw([]byte("GET / HTTP/1.0\r\n\r\n"))
		bad.NextAnswer()
	}
	if c := fake.NewClient(t, w.addr); !c.Health() {
		t.Error("not ready")
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// TestReadySoon: 24 routers that start at once on a busy machine, with a silent name server, are ready within the 10 s that a
// restart may take.
func TestReadySoon(t *testing.T) {
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	clusters := make([]*cluster, 24)
	for k := range clusters {
		w := prepareCluster(t, 1, 1024)
		if err := os.WriteFile(w.configPath, []byte(strings.Replace(w.text, w.nameServer.Addr, silent.LocalAddr().String(), 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		clusters[k] = w
	}
	from := time.Now()
	for _, w := range clusters {
		w.start()
	}
	var took []float64
	for _, w := range clusters {
		if c := fake.NewClient(t, w.addr); !c.Health() {
			t.Error("not ready")
		}
		took = append(took, time.Since(from).Seconds())
	}
	t.Logf("the first is ready after %.3f s, the last after %.3f s", took[0], took[len(took)-1])
	if last := took[len(took)-1]; last > 10 {
		t.Errorf("the last is ready after %.1f s", last)
	}
}
