package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stuck: a coordinator's log goes to a reader that reads nothing any more. Routers come and go until the pipe is full, and the coordinator
// is asked to end. Without the trouble the log is read.
func stuck(w *World, trouble bool) error {
	at := FreeAddr("127.0.0.1")
	folder := filepath.Join(w.dir, "k1")
	if out, err := exec.Command(filepath.Join(w.bin, "dunekeep"), "init", folder, "--name", "k1", "--keepers", "k1="+at+"@hall").CombinedOutput(); err != nil {
		return fmt.Errorf("dunekeep init: %v: %s", err, out)
	}
	r, wr, err := os.Pipe()
	if err != nil {
		return err
	}
	defer r.Close()
	// A small pipe is full after some tens of lines; a usual one after some hundreds.
	if _, err := unix.FcntlInt(wr.Fd(), unix.F_SETPIPE_SZ, 4096); err != nil {
		return err
	}
	keeper := &Process{w: w, name: "k1"}
	keeper.cmd = exec.Command("/bin/sh", "-c", "exec bin/dunekeep run "+folder)
	keeper.cmd.Dir, keeper.cmd.Stderr = filepath.Dir(w.bin), wr
	if err := keeper.cmd.Start(); err != nil {
		return err
	}
	wr.Close()
	w.Note("started k1, process %d", keeper.cmd.Process.Pid)
	keeper.exited = make(chan struct{})
	go func() {
		keeper.cmd.Wait()
		w.Note("k1 has ended: %v", keeper.cmd.ProcessState)
		close(keeper.exited)
	}()
	w.procs = append(w.procs, keeper)
	go func() {
		b := make([]byte, 4096)
		for !trouble {
			n, err := r.Read(b)
			if err != nil {
				return
			}
			w.Note("k1: %s", strings.ReplaceAll(string(b[:n]), "\n", " "))
		}
	}()
	e, err := w.NewEngine("e-1", "hall", "small", 0, "127.0.0.1:0", func(c *EngineConn, f *Fetch) { c.Serve(f, []string{"a\tb\tc\n"}, 20) })
	if err != nil {
		return err
	}
	names := w.NewNameServer()
	names.SetList(1, e.Listing(false))
	operator := filepath.Join(w.dir, "operator.json")
	os.WriteFile(operator, []byte(fmt.Sprintf(`{"fleet":{"keepers":[%q]}}`, at)), 0o600)
	var routers []*Process
	var addrs []string
	for n := range 4 {
		addr := FreeAddr("127.0.0.1")
		config := filepath.Join(w.dir, fmt.Sprint("config", n))
		os.WriteFile(config, []byte(smallConfig(addr, names.Addr, e.Target())), 0o600)
		p, err := w.Start(fmt.Sprint("n", n+1), "exec bin/dunereach", fmt.Sprint("BALANCER_NAME=n", n+1), "BALANCER_LISTEN="+addr, "BALANCER_CONFIG="+config, "DUNEREACH_OPERATOR="+operator)
		if err != nil {
			return err
		}
		routers, addrs = append(routers, p), append(addrs, addr)
	}
	for range 8 {
		time.Sleep(2500 * time.Millisecond)
		for _, p := range routers {
			p.Signal(syscall.SIGTERM)
		}
		for n, p := range routers {
			if !p.AwaitEnd(10 * time.Second) {
				return fmt.Errorf("a router does not end")
			}
			if err := p.Run(); err != nil {
				return err
			}
			if !w.AwaitReady(addrs[n], 20*time.Second) {
				return fmt.Errorf("a router is not ready")
			}
		}
	}
	time.Sleep(2 * time.Second)
	keeper.Signal(syscall.SIGTERM)
	if !keeper.AwaitEnd(20 * time.Second) {
		w.Broken("the coordinator has not ended 20 s after SIGTERM")
	}
	return nil
}
