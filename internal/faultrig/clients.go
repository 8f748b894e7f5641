package faultrig

// This file runs the clients of a fleet and records their answers.

import (
	"cmp"
	"fmt"
	"math"
	"strings"
	"time"

	"dunereach/internal/fake"
)

// runClient is a client of one router. It sends one request after another and expects exactly one answer in time to
// each, as long as the router runs.
func (r *Rig) runClient(n, k int) {
	p := r.procs[fmt.Sprint("n", n+1)]
	a := r.audit
	for seq := 0; ; {
		d := &fake.Standalone{}
		c, ok := r.dial(d, p)
		if !ok {
			return
		}
		for {
			select {
			case <-r.stop:
				d.RunCleanups()
				return
			case <-time.After(20 * time.Millisecond):
			}
			seq++
			profile := "lookup"
			if seq%3 == 0 {
				profile = "order"
			}
			began := time.Now()
			requestSeq := c.Call(fmt.Sprintf("/* %s %s %d %d work=%.4f threads=1 */", profile, p.name, k, seq, cmp.Or(r.options.WorkPerRequest, 0.005)), "service", profile, "project", "acme", "allow", "5000",
				"ref", fmt.Sprintf("%04x%04x%08x", n, k, seq))
			answer := c.NextAnswer()
			if !a.addAnswer(p, requestSeq, answer, time.Since(began).Seconds()) {
				break
			}
		}
		d.RunCleanups()
	}
}

// dial connects to a router, once it runs. It returns false if the rig is closed first.
func (r *Rig) dial(d *fake.Standalone, p *process) (c *fake.Client, ok bool) {
	for {
		select {
		case <-r.stop:
			return nil, false
		case <-time.After(20 * time.Millisecond):
		}
		if !r.audit.running(p) {
			continue
		}
		func() {
			defer func() { recover() }() // the router did not listen in time: try again
			c = fake.NewClient(d, p.addr)
		}()
		if c != nil {
			return c, true
		}
	}
}

// running reports whether a process runs.
func (a *audit) running(p *process) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.runs[p.name]
	return len(l) > 0 && math.IsInf(l[len(l)-1][1], 1)
}

// addAnswer records an answer. It returns false if the connection has ended.
func (a *audit) addAnswer(p *process, requestSeq int32, answer string, took float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Requests++
	switch {
	case strings.HasPrefix(answer, fmt.Sprintf("2/%d call{ 0={", requestSeq)):
		a.Completed++
	case strings.HasPrefix(answer, fmt.Sprintf("2/%d call{ 1={", requestSeq)):
		a.Rejected++
	case strings.HasPrefix(answer, fmt.Sprintf("2/%d call{", requestSeq)):
		a.Failed++
	case strings.HasPrefix(answer, "2/"):
		a.violations = append(a.violations, fmt.Sprintf("%s: answer %q to request %d", p.name, answer, requestSeq))
		return false
	default:
		a.Disconnected++
		return false
	}
	a.slowest = max(a.slowest, took)
	return true
}
