package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// pipe: three coordinators whose logs go to one reader each, as under a supervisor. The readers end. A router comes after that, which
// is something to log.
func pipe(w *World, trouble bool) error {
	var addrs, spec []string
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
			return fmt.Errorf("dunekeep init: %v: %s", err, out)
		}
		if n == 0 {
			token = strings.TrimSpace(string(out))
		}
	}
	var coordinators []*Process
	var readers []*os.File
	for n := range 3 {
		p := &Process{w: w, name: fmt.Sprint("k", n+1)}
		r, wr, err := os.Pipe()
		if err != nil {
			return err
		}
		p.cmd = exec.Command("/bin/sh", "-c", "exec bin/dunekeep run "+filepath.Join(w.dir, p.name))
		p.cmd.Dir, p.cmd.Stderr = filepath.Dir(w.bin), wr
		if err := p.cmd.Start(); err != nil {
			return err
		}
		wr.Close()
		w.Note("started %s, process %d", p.name, p.cmd.Process.Pid)
		p.exited = make(chan struct{})
		go func() {
			p.cmd.Wait()
			w.Note("%s has ended: %v", p.name, p.cmd.ProcessState)
			close(p.exited)
		}()
		go func() {
			b := make([]byte, 4096)
			for {
				k, err := r.Read(b)
				for _, line := range strings.Split(strings.TrimSpace(string(b[:k])), "\n") {
					if line != "" {
						w.Note("%s: %s", p.name, line)
					}
				}
				if err != nil {
					if err != io.EOF {
						w.Note("the reader of %s's log is gone", p.name)
					}
					return
				}
			}
		}()
		w.procs, coordinators, readers = append(w.procs, p), append(coordinators, p), append(readers, r)
	}
	status := func() bool {
		out, err := exec.Command(filepath.Join(w.bin, "dunefleet"), "fleet", "status", "--keepers", strings.Join(addrs, ",")).CombinedOutput()
		w.Note("fleet status: %v: %s", err, strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", " | "))
		return err == nil
	}
	for end := time.Now().Add(20 * time.Second); !status(); time.Sleep(time.Second) {
		if time.Now().After(end) {
			return fmt.Errorf("the coordinators do not agree")
		}
	}
	if trouble {
		for _, r := range readers {
			r.Close()
		}
	}
	// A router joins, ends, and joins again.
	e, err := w.NewEngine("e-1", "hall", "small", 0, "127.0.0.1:0", func(c *EngineConn, f *Fetch) { c.Serve(f, []string{"a\tb\tc\n"}, 20) })
	if err != nil {
		return err
	}
	names := w.NewNameServer()
	names.SetList(1, e.Listing(false))
	addr := FreeAddr("127.0.0.1")
	config, operator := filepath.Join(w.dir, "config.json"), filepath.Join(w.dir, "operator.json")
	os.WriteFile(config, []byte(smallConfig(addr, names.Addr, e.Target())), 0o600)
	os.WriteFile(operator, []byte(fmt.Sprintf(`{"fleet":{"keepers":["%s"]}}`, strings.Join(addrs, `","`))), 0o600)
	router, err := w.Start("n1", "exec bin/dunereach", "BALANCER_NAME=n1", "BALANCER_LISTEN="+addr, "BALANCER_CONFIG="+config, "DUNEREACH_OPERATOR="+operator)
	if err != nil {
		return err
	}
	if !w.AwaitReady(addr, 20*time.Second) {
		return fmt.Errorf("the router is not ready")
	}
	for range 3 {
		time.Sleep(4 * time.Second)
		router.Signal(syscall.SIGTERM)
		if !router.AwaitEnd(10 * time.Second) {
			return fmt.Errorf("the router does not end")
		}
		if err := router.Run(); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	dead := 0
	for _, p := range coordinators {
		if p.Ended() {
			dead++
			w.Broken("coordinator %s ended by itself: %v", p.name, p.cmd.ProcessState)
		}
	}
	if dead == 0 && !status() {
		w.Broken("the coordinators run and do not agree")
	} else {
		status()
	}
	return nil
}

// smallConfig is the configuration of a router with one engine.
func smallConfig(addr, nameServer, targets string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"nameserver":%q,"known":{"rev":1,"notices":[{"rev":1,"pool":{"rev":1,"all":true,"targets":[%s]}}]},
"settings":{"Balancers":1,"Me":0,"MyZone":0,"Tick":5,"Discovery":"push","OverShareWorth":0.1,"Dcs":["hall"],"Kinds":["small"],
"Classes":[{"Name":"quick","Aim":500,"AimStretch":2,"Deadline":3000,"Effect":"safe","Worth":1}],
"FamilyInfo":{"CpuOfKind":[4],"Dop":[1],"RanksHeeded":true},"Realms":[{"Name":"house","QuotaPerS":100}],
"Limits":{"ConnIdle":30000,"ConnectTimeout":250,"MaxStreams":100,"MaxRetryAfter":500,"OpenCap":10000,"RetryAfter":true,"SendCap":4},
"Obligations":{"ColdFrom":0.35,"DrainGrace":250,"Fall":1000,"FallMultiple":2,"WarmUp":15000}}}`, addr, nameServer, targets)
}
