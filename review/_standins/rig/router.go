package rig

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Object is a JSON object.
type Object = map[string]any

// Router is one router process.
type Router struct {
	run    *Run
	Name   string
	Listen string
	Log    string // path of its log
	config Object
	path   string
	ended  atomic.Bool
}

// FreePort returns a loopback address with a port that is free now.
func FreePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Known returns the events before the start that tell a list of engines.
func Known(engines ...*Engine) Object {
	targets := []Object{}
	for _, e := range engines {
		targets = append(targets, Object{"uid": e.Name, "endpoint": e.Addr, "az": e.Zone, "model": e.Kind, "pod_group": 0, "state": "ready",
			"capacity_hint": 4, "boot_ms": 0})
	}
	return Object{"rev": 1, "notices": []Object{{"rev": 1, "pool": Object{"rev": 1, "all": true, "targets": targets}}}}
}

// NewRouter prepares a router.
func (r *Run) NewRouter(name string, memoryMB float64, sockets int, names *NameServer, settings Object, engines []*Engine) *Router {
	rt := &Router{run: r, Name: name, Listen: FreePort(), Log: filepath.Join(r.Dir, name+".log"), path: filepath.Join(r.Dir, name+".json")}
	rt.config = Object{"name": name, "listen": rt.Listen, "seed": "8c1f30d27a5be964", "limits": Object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"nameserver": names.Addr, "known": Known(engines...), "settings": settings}
	return rt
}

// writeConfig writes the configuration.
func (rt *Router) writeConfig() {
	text, _ := json.MarshalIndent(rt.config, "", " ")
	if err := os.WriteFile(rt.path, text, 0o644); err != nil {
		rt.run.Exit(NotRun, "%v", err)
	}
}

// Start starts the router by the command of the deploy file and waits until it answers a health call with good. Only the program's first
// goroutine calls it, since a process ends with the thread that started it.
func (rt *Router) Start() {
	r := rt.run
	rt.writeConfig()
	log, err := os.OpenFile(rt.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		r.Exit(NotRun, "%v", err)
	}
	defer log.Close()
	c := exec.Command("/bin/sh", "-c", r.command)
	c.Dir, c.Stdout, c.Stderr = r.root, log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this program, however that ends
	c.Env = append(os.Environ(), "BALANCER_NAME="+rt.Name, "BALANCER_LISTEN="+rt.Listen, "BALANCER_CONFIG="+rt.path, "TMPDIR="+r.Dir)
	if err := c.Start(); err != nil {
		r.Exit(NotRun, "router: %v", err)
	}
	done := make(chan struct{})
	go func() {
		err := c.Wait()
		rt.ended.Store(true)
		r.Logf("router %s has ended: %v", rt.Name, err)
		close(done)
	}()
	r.OnEnd(func() {
		c.Process.Kill()
		<-done
	})
	r.Logf("router %s started, process %d, listens on %s", rt.Name, c.Process.Pid, rt.Listen)
	for end := time.Now().Add(30 * time.Second); ; {
		if client, err := r.Dial(rt.Listen); err == nil {
			good := client.Health(time.Second)
			client.Close()
			if good {
				r.Logf("router %s is ready", rt.Name)
				return
			}
		}
		if time.Now().After(end) || rt.ended.Load() {
			text, _ := os.ReadFile(rt.Log)
			r.Exit(NotRun, "router %s does not become ready: %s", rt.Name, text)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Ended reports whether the process has ended.
func (rt *Router) Ended() bool { return rt.ended.Load() }

// CopyLog copies the lines of the router's log that hold one of the texts to the record.
func (rt *Router) CopyLog(most int, texts ...string) {
	log, _ := os.ReadFile(rt.Log)
	n := 0
	for line := range strings.SplitSeq(string(log), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				if n++; n <= most {
					rt.run.Logf("log of %s: %s", rt.Name, line)
				}
				break
			}
		}
	}
	if n > most {
		rt.run.Logf("log of %s: %d more such lines", rt.Name, n-most)
	}
}
