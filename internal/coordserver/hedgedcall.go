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
	hedgeDelay = 300 * time.Millisecond // until the next coordinator is asked beside one that has not answered
	retryDelay = 200 * time.Millisecond // until one that could not decide is asked again
)

// callResult of one coordinator.
type callResult struct {
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
	remaining := c.addrsLeaderFirst()
	results := make(chan callResult, len(remaining)) // one of each: none is held up by a reader that has left
	transientErrs := make(chan error)                // a transient error each
	startNext := func() {
		if len(remaining) == 0 {
			return
		}
		addr := remaining[0]
		remaining = remaining[1:]
		go func() { results <- c.callUntilDecided(ctx, addr, path, body, transientErrs) }() // ended by the context
	}
	startNext()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	lastErr := error(agent.ErrNoAnswer)
	for {
		select {
		case result := <-results:
			if result.err != nil {
				return result.err
			}
			return json.Unmarshal(result.body, out)
		case lastErr = <-transientErrs:
			startNext()
		case <-hedge.C:
			startNext()
		case <-ctx.Done():
			return lastErr
		}
	}
}

// callUntilDecided asks one coordinator until it decides or the context ends. One that names a leader of which this client has no address is
// followed there.
func (c *Client) callUntilDecided(ctx context.Context, addr, path string, body []byte, transientErrs chan<- error) callResult {
	target := addr
	for {
		var result callResult
		var leader string
		if leader, result.err = c.callOnce(ctx, target, path, body, &result.body); result.err == nil || !isTransient(result.err) {
			return result
		}
		select {
		case transientErrs <- result.err:
		case <-ctx.Done():
			return result
		}
		if target == addr && leader != "" && !slices.Contains(c.addrs, leader) {
			target = leader
			continue
		}
		target = addr
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return result
		}
	}
}

// isTransient tells whether another coordinator, or the same one a little later, may decide.
func isTransient(err error) bool {
	for _, transientErr := range []error{coordinator.ErrElsewhere, coordinator.ErrUnsure, agent.ErrNoAnswer} {
		if errors.Is(err, transientErr) {
			return true
		}
	}
	return false
}

// addrsLeaderFirst is all addresses, the one that is taken to lead first.
func (c *Client) addrsLeaderFirst() []string {
	first := c.leaderAddr()
	order := []string{first}
	for _, addr := range c.addrs {
		if addr != first {
			order = append(order, addr)
		}
	}
	return order
}
