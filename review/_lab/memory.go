package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// newRef returns an id of a request.
func newRef() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// StartCoordinators starts three coordinators.
func (w *World) StartCoordinators() (addrs []string, processes []*Process, err error) {
	var spec []string
	for n := range 3 {
		addrs = append(addrs, FreeAddr("127.0.0.1"))
		spec = append(spec, fmt.Sprintf("k%d=%s@hall", n+1, addrs[n]))
	}
	token := ""
	for n := range 3 {
		args := []string{"init", filepath.Join(w.dir, fmt.Sprint("k", n+1)), "--name", fmt.Sprint("k", n+1), "--keepers", strings.Join(spec, ",")}
		if n > 0 {
			args = append(args, "--record", token)
		}
		out, err := exec.Command(filepath.Join(w.bin, "dunekeep"), args...).CombinedOutput()
		if err != nil {
			return nil, nil, fmt.Errorf("dunekeep init: %v: %s", err, out)
		}
		if n == 0 {
			token = strings.TrimSpace(string(out))
		}
	}
	for n := range 3 {
		p, err := w.Start(fmt.Sprint("k", n+1), "exec bin/dunekeep run "+filepath.Join(w.dir, fmt.Sprint("k", n+1)))
		if err != nil {
			return nil, nil, err
		}
		processes = append(processes, p)
	}
	return addrs, processes, nil
}

// memory: a router with coordinators and storage in one folder, killed and started again.
func memory(w *World, trouble bool) error {
	keepers, _, err := w.StartCoordinators()
	if err != nil {
		return err
	}
	serve := func(c *EngineConn, f *Fetch) {
		time.AfterFunc(20*time.Millisecond, func() { c.Serve(f, []string{"a\tb\tc\n"}, 20) })
	}
	var engines []*Engine
	for n := range 3 {
		e, err := w.NewEngine(fmt.Sprintf("e-%d", n+1), "hall", "small", 0, "127.0.0.1:0", serve)
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	names := w.NewNameServer()
	var list, targets []string
	for _, e := range engines {
		list, targets = append(list, e.Listing(false)), append(targets, e.Target())
	}
	names.SetList(1, list...)
	addr := FreeAddr("127.0.0.1")
	folder := filepath.Join(w.dir, "var-lib-dunereach")
	config := filepath.Join(w.dir, "config.json")
	os.WriteFile(config, []byte(smallConfig(addr, names.Addr, strings.Join(targets, ","))), 0o600)
	operator := filepath.Join(w.dir, "operator.json")
	os.WriteFile(operator, []byte(fmt.Sprintf(`{"fleet":{"keepers":["%s"],"folder":%q},"state":{"folder":%q}}`, strings.Join(keepers, `","`), folder, folder)), 0o600)
	router, err := w.Start("n1", "exec bin/dunereach", "BALANCER_NAME=n1", "BALANCER_LISTEN="+addr, "BALANCER_CONFIG="+config, "DUNEREACH_OPERATOR="+operator)
	if err != nil {
		return err
	}
	if !w.AwaitReady(addr, 20*time.Second) {
		return fmt.Errorf("the router is not ready")
	}
	load := func(d time.Duration) error {
		c, err := w.NewClient(addr)
		if err != nil {
			return err
		}
		defer c.Close()
		answered := 0
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			x := &Call{Ref: newRef(), Class: "quick", Statement: "select * from t_1.a", Allow: 3}
			if err := c.Send(x, "project", "house", "effort", "20", "memory", "8"); err != nil {
				return err
			}
			<-x.Done
			if x.Answer.Word == "answered" {
				answered++
			}
		}
		w.Note("%d requests answered", answered)
		return nil
	}
	if err := load(10 * time.Second); err != nil {
		return err
	}
	if !trouble {
		return nil
	}
	router.Signal(syscall.SIGKILL)
	router.AwaitEnd(5 * time.Second)
	out, err := exec.Command("/bin/sh", "-c", "cd "+filepath.Dir(w.bin)+" && bin/dunereach state show "+folder).CombinedOutput()
	w.Note("state show: %v: %s", err, strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", " | "))
	if err := router.Run(); err != nil {
		return err
	}
	if !w.AwaitReady(addr, 20*time.Second) {
		return fmt.Errorf("the router is not ready again")
	}
	time.Sleep(500 * time.Millisecond)
	if len(router.Logged("remembered")) == 0 {
		w.Broken("the router started again and remembers nothing: %d lines \"nothing is remembered\"", len(router.Logged("nothing is remembered")))
	}
	return load(2 * time.Second)
}
