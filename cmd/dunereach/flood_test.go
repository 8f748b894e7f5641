package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// requestUntil has a client ask for one request after another until it is over: how many were served, and how long each answer took.
func requestUntil(done <-chan struct{}, c *fake.Client, fields func(j int) []string) (served int, took []time.Duration) {
	for j := 0; ; j++ {
		from := time.Now()
		c.Call("SELECT 1", fields(j)...)
		if got := c.Next(); strings.Contains(got, " 0={") {
			served++
		}
		took = append(took, time.Since(from))
		select {
		case <-done:
			return served, took
		case <-time.After(time.Millisecond):
		}
	}
}

// TestFloods: clients that send much at once and go, that send a byte at a time, that never read, and that say nothing don't hold
// up the others: each of their commands has its answer soon.
func TestFloods(t *testing.T) {
	w := newCluster(t, 2)
	go func() {
		for s := range w.received {
			if s.Words[0] == "fetch" {
				s.Answer("served", "count=1", "x\t\t\n")
			}
		}
	}()
	ref := func(k, j int) string { return fmt.Sprintf("%08x%08x", k+1, j) }
	fields := func(ref string) []string {
		return []string{"service", "lookup", "project", "acme", "allow", "30000", "ref", ref}
	}
	var group sync.WaitGroup
	flood := func(k int, action func(k, j int)) {
		group.Go(func() {
			for j := range 200 {
				action(k, j)
				time.Sleep(5 * time.Millisecond) // under 8,000 calls a second from each of two: far over what usual clients send
			}
		})
	}
	flood(1, func(k, j int) { // much at once, and gone
		c := fake.NewClient(t, w.addr)
		for n := range 40 {
			c.Call("SELECT 1", fields(ref(k, 100*j+n))...)
		}
		c.Leave()
	})
	flood(2, func(k, j int) { fake.NewClient(t, w.addr).Raw([]byte{0}) }) // half a message
	slowWriter, nonReader := fake.NewClient(t, w.addr), fake.NewClient(t, w.addr)
	message := fake.Call(1, "SELECT 1", fields(ref(3, 0))...)
	flood(3, func(_, j int) { slowWriter.Raw(message[j%len(message):][:1]) })
	flood(4, func(k, j int) {
		for n := range 40 {
			nonReader.Call("SELECT 1", fields(ref(k, 100*j+n))...)
		}
	})
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	c := fake.NewClient(t, w.addr)
	served, took := requestUntil(done, c, func(j int) []string { return fields(ref(0, j)) })
	slices.Sort(took)
	n := len(took)
	t.Logf("%d of %d served, after %v in the median and %v at most", served, n, took[n/2], took[n-1])
	if served < n*9/10 || took[n-1] > time.Second {
		t.Errorf("%d of %d served, after %v at most", served, n, took[n-1])
	}
}
