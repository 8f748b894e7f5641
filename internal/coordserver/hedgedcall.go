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
	hedgeDelay = 300 * time.Millisecond // time without an answer after which the next coordinator is asked as well
	retryDelay = 200 * time.Millisecond // pause before a coordinator that could not decide is asked again
)

// callResult is the response of one coordinator.
type callResult struct {
	body json.RawMessage
	err  error
}

// HedgedCall is Call for requests that are safe to repeat: reads, and orders that name the fence that they apply to. It
// asks one coordinator after another and starts the next one when the others have not answered within 0.3 s. The first
// successful answer wins, and the other requests are cancelled. Coordinators that are not the leader or do not answer
// are asked again until the context ends, since there is no leader for some seconds while leadership moves. The error
// returned then is the last one that a coordinator gave.
func (c *Client) HedgedCall(ctx context.Context, path string, in, out any) error {
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
	results := make(chan callResult, len(remaining)) // one result each: no goroutine blocks after HedgedCall has returned
	transientErrs := make(chan error)                // one value for each transient error
	startNext := func() {
		if len(remaining) == 0 {
			return
		}
		addr := remaining[0]
		remaining = remaining[1:]
		go func() { results <- c.callUntilDecided(ctx, addr, path, body, transientErrs) }() // ends with the context
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

// callUntilDecided asks one coordinator until it decides or the context ends. If the coordinator names a leader whose
// address this client does not have, the request is sent to that leader.
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

// isTransient reports whether another coordinator, or the same one a little later, may decide the request.
func isTransient(err error) bool {
	for _, transientErr := range []error{coordinator.ErrNotLeader, coordinator.ErrOutcomeUnknown, agent.ErrNoAnswer} {
		if errors.Is(err, transientErr) {
			return true
		}
	}
	return false
}

// addrsLeaderFirst returns all addresses, beginning with that of the presumed leader.
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
