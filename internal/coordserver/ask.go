package coordserver

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
)

const (
	askNext  = 300 * time.Millisecond // until the next coordinator is asked beside one that has not answered
	askAgain = 200 * time.Millisecond // until one that could not decide is asked again
)

// answer of one coordinator.
type answer struct {
	body json.RawMessage
	err  error
}

// Ask is Call for requests that may be repeated: reads, and orders that say which fence they are about. One coordinator after another
// is asked, each beside those that have not answered within 0.3 s; the first good answer wins and the rest are cancelled. Those that do
// not lead or do not answer are asked again until the context ends: while leadership moves, nobody leads for some seconds. The error is
// then the last that a coordinator gave.
func (c *Client) Ask(ctx context.Context, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waiting := c.inOrder()
	won := make(chan answer, len(waiting)) // one of each: none is held up by a reader that has left
	tried := make(chan error)              // a transient error each
	askNextOne := func() {
		if len(waiting) == 0 {
			return
		}
		addr := waiting[0]
		waiting = waiting[1:]
		go func() { won <- c.askOne(ctx, addr, path, body, tried) }() // ended by the context
	}
	askNextOne()
	hedge := time.NewTicker(askNext)
	defer hedge.Stop()
	last := error(agent.ErrNoAnswer)
	for {
		select {
		case a := <-won:
			if a.err != nil {
				return a.err
			}
			return json.Unmarshal(a.body, out)
		case last = <-tried:
			askNextOne()
		case <-hedge.C:
			askNextOne()
		case <-ctx.Done():
			return last
		}
	}
}

// askOne asks one coordinator until it decides or the context ends. One that names a leader of which this client has no address is
// followed there.
func (c *Client) askOne(ctx context.Context, addr, path string, body []byte, tried chan<- error) answer {
	at := addr
	for {
		var a answer
		var leader string
		if leader, a.err = c.once(ctx, at, path, body, &a.body); a.err == nil || !transient(a.err) {
			return a
		}
		select {
		case tried <- a.err:
		case <-ctx.Done():
			return a
		}
		if at == addr && leader != "" && !slices.Contains(c.addrs, leader) {
			at = leader
			continue
		}
		at = addr
		select {
		case <-time.After(askAgain):
		case <-ctx.Done():
			return a
		}
	}
}

// transient tells whether another coordinator, or the same one a little later, may decide.
func transient(err error) bool {
	for _, e := range []error{coordinator.ErrNotLeader, coordinator.ErrOutcomeUnknown, agent.ErrNoAnswer} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// inOrder is all addresses, the one that is taken to lead first.
func (c *Client) inOrder() []string {
	first := c.target()
	order := []string{first}
	for _, addr := range c.addrs {
		if addr != first {
			order = append(order, addr)
		}
	}
	return order
}
