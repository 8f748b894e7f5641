package main

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// withDescriptorLimit runs the command of the router under a descriptor limit that it can't raise.
func withDescriptorLimit(cmd *exec.Cmd, descriptors int) *exec.Cmd {
	shell := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", descriptors, cmd.Path))
	shell.Env = cmd.Env
	return shell
}

// startRequests sends requests of a client until the given number of them runs at the server, all unanswered.
func (w *cluster) startRequests(client *fake.Client, requests int) (open []fake.Message) {
	w.t.Helper()
	for range requests {
		w.request(client, "lookup", 30000, "SELECT 1")
		open = append(open, w.receive("fetch"))
	}
	return open
}

// completeAll lets the server answer the running requests one by one and checks that each result reaches the client.
func (w *cluster) completeAll(client *fake.Client, open []fake.Message) {
	w.t.Helper()
	for _, s := range open {
		s.Answer("served", "count=1", "x\t\t\n")
		if got := client.NextAnswer(); !strings.Contains(got, " 0={") {
			w.t.Errorf("a running request got %q", got)
		}
	}
}

// TestCrowdWhileListIsDown: idle clients hold all descriptors while the name server is silent. The descriptor limit is that of the
// settings or a lower one of the system. Requests that need a server connection each must be served, and so must new clients. A new
// configuration must be read, and the list must arrive within a second of the name server's return.
func TestCrowdWhileListIsDown(t *testing.T) {
	const descriptorLimit = 64
	for _, c := range []struct {
		name             string
		settings, system int
	}{{"the settings' limit", descriptorLimit, descriptorLimit}, {"the system's limit", 1024, descriptorLimit}} {
		t.Run(c.name, func(t *testing.T) {
			w := prepareCluster(t, 1, c.settings)
			w.descriptorLimit = c.system
			w.nameServer.SetDown(true)
			w.start()
			w.waitForLog("serving")
			for k := range 2 * descriptorLimit { // idle clients, which stay connected until the end of the test
				idle := fake.NewClient(t, w.addr)
				if k%2 == 0 {
					idle.SendHealthCheck()
				}
			}
			w.waitForLog("the name server does not answer")
			const running = 12 // each uses its own connection to the server
			client := fake.NewClient(t, w.addr)
			open := w.startRequests(client, running)
			for range 2 * descriptorLimit { // new clients up to the limit
				fake.NewClient(t, w.addr)
			}
			w.cmd.Process.Signal(syscall.SIGHUP)
			w.waitForLog(`"msg":"new configuration"`)
			w.nameServer.SetList(2, fmt.Sprintf("s-0.east 0 10 std 0 0 %s", w.servers[0].Addr))
			w.nameServer.SetDown(false)
			from := time.Now()
			w.waitForLog(`"list of engines","rev":2`)
			if took := time.Since(from); took > time.Second {
				t.Errorf("the list arrived after %v", took)
			}
			w.completeRequest(fake.NewClient(t, w.addr), "lookup")
			w.completeAll(client, open)
		})
	}
}
