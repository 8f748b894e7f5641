package expect

// This file finds the least of an expectation's events, traffic and clients with which it still fails.

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"dunereach/emulator/cluster"
)

// cut leaves out parts of an expectation, to find what it takes for it to fail.
type cut struct {
	happens, streams []bool // left out
	engines          []bool // never there
	clients          int    // of which only the latest so many before the end, 0: all
	upTo             float64
	count            int // clients in all, up to then
	keep             uint64
	trace            bool
}

// befalls tells whether one of the events that are left in is an engine's.
func (c *cut) befalls(w *world, k int) bool {
	for n, h := range w.set.Happens {
		if n < len(c.happens) && !c.happens[n] && slices.Contains(h.Engines, k) {
			return true
		}
	}
	return false
}

func (c *cut) apply(w *world) {
	var kept []cluster.Happening
	for k, h := range w.set.Happens {
		if !c.happens[k] {
			kept = append(kept, h)
		}
	}
	w.set.Happens = kept
	for k := range w.set.Streams {
		if c.streams[k] {
			w.set.Streams[k].Peak = 0
		}
	}
	for k := range w.set.Engines {
		w.set.Engines[k].Absent = w.set.Engines[k].Absent || c.engines[k]
	}
	if c.upTo > 0 {
		w.set.Length = min(w.set.Length, c.upTo)
	}
	if c.clients > 0 {
		from := c.count - c.clients
		w.set.Keep = func(n int) bool { return n >= from }
	}
}

// shortest looks for what can be left out so that the same hold still breaks: events, traffic, the earlier clients. It
// gives the trace of what is left.
func (a one) shortest(ctx context.Context, u Under, seed uint64, r *run) []string {
	c := &cut{happens: make([]bool, len(r.world.set.Happens)), engines: make([]bool, len(r.world.set.Engines)), streams: make([]bool, len(r.world.set.Streams)), upTo: r.at + 1e-6}
	best := r
	tries := 0
	try := func() bool {
		const most = 80 // runs: a second or so
		if tries++; tries > most || ctx.Err() != nil {
			return false
		}
		again, err := a.play(ctx, u, seed, c)
		if err != nil || again.place != r.place {
			return false
		}
		best = again
		return true
	}
	if !try() { // a share is judged at the end: it takes all
		c.upTo = 0
		try()
	}
	for n, part := range [...][]bool{c.happens, c.streams, c.engines} {
		for k := range part {
			const engines, many = 2, 20                                    // each is a run: of many engines it would take them all
			if len(part) > many || n == engines && c.befalls(r.world, k) { // what is to happen to it takes it
				continue
			}
			if part[k] = true; !try() {
				part[k] = false
			}
		}
	}
	for n := 1; c.count > 0 && n < c.count; n *= 2 {
		if c.clients = n; try() {
			break
		}
		c.clients = 0
	}
	c.trace, c.keep = true, best.client
	last, err := a.play(ctx, u, seed, c)
	if err != nil {
		return nil
	}
	head := a.needed(c, r)
	const most = 40 // lines
	if n := len(last.lines); n > most {
		last.lines = append([]string{fmt.Sprintf("... %d lines before", n-most)}, last.lines[n-most:]...)
	}
	return append(head, last.lines...)
}

// needed lists what is left of an expectation: events, traffic, servers and clients.
func (a one) needed(c *cut, r *run) (head []string) {
	left := func(what string, of []bool, name func(int) string) {
		var names []string
		for k, out := range of {
			if !out {
				names = append(names, name(k))
			}
		}
		if len(names) > 0 {
			head = append(head, what+": "+strings.Join(names, ", "))
		}
	}
	left("it takes these events", c.happens, func(k int) string {
		return fmt.Sprintf("%s at %v s", a.e.Happens[k].What, a.e.Happens[k].At)
	})
	left("and this traffic", c.streams, func(k int) string { return r.world.set.Streams[k].Name })
	left("and these engines", c.engines, func(k int) string { return r.world.named[k] })
	if c.clients > 0 {
		head = append(head, fmt.Sprintf("and the last %d clients before", c.clients))
	}
	return head
}
