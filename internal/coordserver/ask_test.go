package coordserver

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/registry"
)

// fakeCoordinator answers over a real connection, by the number of times it was asked, counted from 1.
func fakeCoordinator(t *testing.T, say func(times int64) (status int, body any)) (addr string, asked *atomic.Int64) {
	asked = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		status, body := say(asked.Add(1))
		write(w, status, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), asked
}

// stoppedCoordinator is as one under SIGSTOP: the system takes connections for it, and nothing is answered.
func stoppedCoordinator(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

func leads(int64) (int, any) { return http.StatusOK, Picture{Fence: 7} }

func elsewhere(leader string) func(int64) (int, any) {
	return func(int64) (int, any) {
		return http.StatusMisdirectedRequest, &Fault{Error: "elsewhere", Leader: leader}
	}
}

// begins has a client take this address for the leader's first.
func begins(c *Client, addr string) *Client {
	c.find = agent.NewFinder([]string{addr}, 0)
	return c
}

// TestAskStopped: a coordinator that does not answer holds nobody up, whichever is asked first; a stopped one is waited for 0.3 s.
func TestAskStopped(t *testing.T) {
	leader, _ := fakeCoordinator(t, leads)
	follower, _ := fakeCoordinator(t, elsewhere(""))
	stopped := stoppedCoordinator(t)
	addrs := []string{stopped, follower, leader}
	for _, first := range addrs {
		var p Picture
		began := time.Now()
		err := begins(NewClient(addrs, ""), first).Ask(t.Context(), "/v1/record", nil, &p)
		if took := time.Since(began); err != nil || p.Fence != 7 || took > 3*time.Second { // by Call it is five
			t.Errorf("%v, fence %d after %v", err, p.Fence, took)
		}
	}
}

// TestAskMoves: leadership moves: for a while nobody leads, and an order is repeated until somebody does.
func TestAskMoves(t *testing.T) {
	const times = 6 // more than Call asks in all
	moves := func(n int64) (int, any) {
		switch {
		case n < times:
			return http.StatusMisdirectedRequest, &Fault{Error: "elsewhere"}
		case n == times:
			return http.StatusConflict, &Fault{Error: "unsure"}
		}
		return http.StatusOK, coordinator.PostResult{}
	}
	a, _ := fakeCoordinator(t, moves)
	b, _ := fakeCoordinator(t, elsewhere(a))
	order := coordinator.Order{Kind: "release", Task: "w", Fence: 3}
	if err := NewClient([]string{a, b}, "").Ask(t.Context(), "/v1/order", order, &coordinator.PostResult{}); err != nil {
		t.Error(err)
	}
}

// TestAskLeaderUnknown: a leader that is named, and is none of the addresses, is asked.
func TestAskLeaderUnknown(t *testing.T) {
	leader, _ := fakeCoordinator(t, leads)
	follower, _ := fakeCoordinator(t, elsewhere(leader))
	var p Picture
	if err := NewClient([]string{follower}, "").Ask(t.Context(), "/v1/record", nil, &p); err != nil || p.Fence != 7 {
		t.Errorf("%v, fence %d", err, p.Fence)
	}
}

// TestAskDecided: a coordinator's decision is told at once and asked for once; where nobody decides, the context ends it.
func TestAskDecided(t *testing.T) {
	refuses, asked := fakeCoordinator(t, func(int64) (int, any) { return http.StatusConflict, faultOf(registry.ErrNoTask, "") })
	if err := NewClient([]string{refuses}, "").Ask(t.Context(), "/v1/order", coordinator.Order{}, &coordinator.PostResult{}); !errors.Is(err, registry.ErrNoTask) || asked.Load() != 1 {
		t.Errorf("%v, asked %d times", err, asked.Load())
	}
	nobody, _ := fakeCoordinator(t, elsewhere(""))
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if err := NewClient([]string{nobody, stoppedCoordinator(t)}, "").Ask(ctx, "/v1/record", nil, &json.RawMessage{}); !errors.Is(err, coordinator.ErrNotLeader) {
		t.Errorf("where nobody leads: %v", err)
	}
}
