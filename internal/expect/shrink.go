package expect

// This file reduces a failing expectation to the events, traffic, servers and clients that are needed for the failure.

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"dunereach/emulator/cluster"
)

// reduction omits parts of an expectation to find those that are needed for its failure.
type reduction struct {
	omittedEvents, omittedStreams []bool // omitted
	omittedServers                []bool // never in the server list
	lastClients                   int    // only this many clients, the last before the end; 0: all
	until                         float64
	clientCount                   int // all clients until then
	tracedClient                  uint64
	trace                         bool
}

// affectedByEvent reports whether one of the remaining events affects a server.
func (c *reduction) affectedByEvent(w *simulation, k int) bool {
	for n, h := range w.setup.Faults {
		if n < len(c.omittedEvents) && !c.omittedEvents[n] && slices.Contains(h.Servers, k) {
			return true
		}
	}
	return false
}

// apply removes the omitted parts from a simulation.
func (c *reduction) apply(w *simulation) {
	var kept []cluster.Fault
	for k, h := range w.setup.Faults {
		if !c.omittedEvents[k] {
			kept = append(kept, h)
		}
	}
	w.setup.Faults = kept
	for k := range w.setup.Streams {
		if c.omittedStreams[k] {
			w.setup.Streams[k].PeakRate = 0
		}
	}
	for k := range w.setup.Servers {
		w.setup.Servers[k].Absent = w.setup.Servers[k].Absent || c.omittedServers[k]
	}
	if c.until > 0 {
		w.setup.Duration = min(w.setup.Duration, c.until)
	}
	if c.lastClients > 0 {
		from := c.clientCount - c.lastClients
		w.setup.KeepClient = func(n int) bool { return n >= from }
	}
}

// shortestTrace omits events, traffic, servers and earlier clients as long as the same hold is still violated, and
// returns the trace of the remaining parts.
func (a expectationCheck) shortestTrace(ctx context.Context, u Configuration, seed uint64, r *run) []string {
	c := &reduction{omittedEvents: make([]bool, len(r.simulation.setup.Faults)), omittedServers: make([]bool, len(r.simulation.setup.Servers)), omittedStreams: make([]bool, len(r.simulation.setup.Streams)), until: r.violatedAt + 1e-6}
	shortest := r
	runs := 0
	stillFails := func() bool {
		const limit = 80 // simulations: about a second
		if runs++; runs > limit || ctx.Err() != nil {
			return false
		}
		reduced, err := a.play(ctx, u, seed, c)
		if err != nil || reduced.path != r.path {
			return false
		}
		shortest = reduced
		return true
	}
	if !stillFails() { // shares are checked at the end, so the whole run is needed
		c.until = 0
		stillFails()
	}
	for n, part := range [...][]bool{c.omittedEvents, c.omittedStreams, c.omittedServers} {
		for k := range part {
			const omittedServers, maxParts = 2, 20                                                 // each part costs a simulation: a long list would use up the limit
			if len(part) > maxParts || n == omittedServers && c.affectedByEvent(r.simulation, k) { // an event needs its server
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
	c.trace, c.tracedClient = true, shortest.client
	last, err := a.play(ctx, u, seed, c)
	if err != nil {
		return nil
	}
	head := a.describeRemaining(c, r)
	const limit = 40 // lines
	if n := len(last.lines); n > limit {
		last.lines = append([]string{fmt.Sprintf("... %d lines before", n-limit)}, last.lines[n-limit:]...)
	}
	return append(head, last.lines...)
}

// describeRemaining lists the remaining parts of an expectation: events, traffic, servers and clients.
func (a expectationCheck) describeRemaining(c *reduction, r *run) (lines []string) {
	list := func(what string, omitted []bool, name func(int) string) {
		var names []string
		for k, isOmitted := range omitted {
			if !isOmitted {
				names = append(names, name(k))
			}
		}
		if len(names) > 0 {
			lines = append(lines, what+": "+strings.Join(names, ", "))
		}
	}
	list("needed events", c.omittedEvents, func(k int) string {
		return fmt.Sprintf("%s at %v s", a.expectation.Happens[k].What, a.expectation.Happens[k].At)
	})
	list("needed traffic", c.omittedStreams, func(k int) string { return r.simulation.setup.Streams[k].Name })
	list("needed engines", c.omittedServers, func(k int) string { return r.simulation.serverNames[k] })
	if c.lastClients > 0 {
		lines = append(lines, fmt.Sprintf("and the last %d clients before the failure", c.lastClients))
	}
	return lines
}
