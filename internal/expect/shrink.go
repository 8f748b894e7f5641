package expect

// This file finds the least of an expectation's events, traffic and clients with which it still fails.

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"dunereach/emulator/cluster"
)

// reduction leaves out parts of an expectation, to find what it takes for it to fail.
type reduction struct {
	omittedEvents, omittedStreams []bool // left out
	omittedServers                []bool // never there
	lastClients                   int    // of which only the latest so many before the end, 0: all
	until                         float64
	clientCount                   int // clients in all, up to then
	tracedClient                  uint64
	trace                         bool
}

// affectedByEvent tells whether one of the events that are left in is an engine's.
func (c *reduction) affectedByEvent(w *simulation, k int) bool {
	for n, h := range w.setup.Happens {
		if n < len(c.omittedEvents) && !c.omittedEvents[n] && slices.Contains(h.Engines, k) {
			return true
		}
	}
	return false
}

func (c *reduction) apply(w *simulation) {
	var kept []cluster.Happening
	for k, h := range w.setup.Happens {
		if !c.omittedEvents[k] {
			kept = append(kept, h)
		}
	}
	w.setup.Happens = kept
	for k := range w.setup.Streams {
		if c.omittedStreams[k] {
			w.setup.Streams[k].Peak = 0
		}
	}
	for k := range w.setup.Engines {
		w.setup.Engines[k].Absent = w.setup.Engines[k].Absent || c.omittedServers[k]
	}
	if c.until > 0 {
		w.setup.Length = min(w.setup.Length, c.until)
	}
	if c.lastClients > 0 {
		from := c.clientCount - c.lastClients
		w.setup.Keep = func(n int) bool { return n >= from }
	}
}

// shortestTrace looks for what can be left out so that the same hold still breaks: events, traffic, the earlier clients. It
// gives the trace of what is left.
func (a expectationCheck) shortestTrace(ctx context.Context, u Under, seed uint64, r *run) []string {
	c := &reduction{omittedEvents: make([]bool, len(r.simulation.setup.Happens)), omittedServers: make([]bool, len(r.simulation.setup.Engines)), omittedStreams: make([]bool, len(r.simulation.setup.Streams)), until: r.violatedAt + 1e-6}
	best := r
	runs := 0
	stillFails := func() bool {
		const limit = 80 // runs: a second or so
		if runs++; runs > limit || ctx.Err() != nil {
			return false
		}
		again, err := a.play(ctx, u, seed, c)
		if err != nil || again.path != r.path {
			return false
		}
		best = again
		return true
	}
	if !stillFails() { // a share is judged at the end: it takes all
		c.until = 0
		stillFails()
	}
	for n, part := range [...][]bool{c.omittedEvents, c.omittedStreams, c.omittedServers} {
		for k := range part {
			const omittedServers, maxParts = 2, 20                                                 // each is a run: of many engines it would take them all
			if len(part) > maxParts || n == omittedServers && c.affectedByEvent(r.simulation, k) { // what is to happen to it takes it
				continue
			}
			if part[k] = true; !stillFails() {
				part[k] = false
			}
		}
	}
	for n := 1; c.clientCount > 0 && n < c.clientCount; n *= 2 {
		if c.lastClients = n; stillFails() {
			break
		}
		c.lastClients = 0
	}
	c.trace, c.tracedClient = true, best.client
	last, err := a.play(ctx, u, seed, c)
	if err != nil {
		return nil
	}
	head := a.describeRemaining(c, r)
	const limit = 40 // lines
	if n := len(last.traceLines); n > limit {
		last.traceLines = append([]string{fmt.Sprintf("... %d lines before", n-limit)}, last.traceLines[n-limit:]...)
	}
	return append(head, last.traceLines...)
}

// describeRemaining lists what is left of an expectation: events, traffic, servers and clients.
func (a expectationCheck) describeRemaining(c *reduction, r *run) (lines []string) {
	list := func(what string, omitted []bool, name func(int) string) {
		var names []string
		for k, out := range omitted {
			if !out {
				names = append(names, name(k))
			}
		}
		if len(names) > 0 {
			lines = append(lines, what+": "+strings.Join(names, ", "))
		}
	}
	list("it takes these events", c.omittedEvents, func(k int) string {
		return fmt.Sprintf("%s at %v s", a.expectation.Happens[k].What, a.expectation.Happens[k].At)
	})
	list("and this traffic", c.omittedStreams, func(k int) string { return r.simulation.setup.Streams[k].Name })
	list("and these engines", c.omittedServers, func(k int) string { return r.simulation.serverNames[k] })
	if c.lastClients > 0 {
		lines = append(lines, fmt.Sprintf("and the last %d clients before", c.lastClients))
	}
	return lines
}
