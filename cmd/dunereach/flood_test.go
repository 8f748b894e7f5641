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

// requestUntil sends one request after another until done is closed. It returns the number of served requests and the response time
// of each.
func requestUntil(done <-chan struct{}, c *fake.Client, fields func(j int) []string) (served int, took []time.Duration) {
	for j := 0; ; j++ {
		from := time.Now()
		c.Call("SELECT 1", fields(j)...)
		if got := c.NextAnswer(); strings.Contains(got, " 0={") {
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

// TestFloods: clients that send many requests and disconnect, that send one byte at a time, that never read, or that send only part
// of a message must not delay others: each request of another client is answered soon.
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
				time.Sleep(5 * time.Millisecond) // below 8,000 requests a second from each of two clients, far above usual clients
			}
		})
	}
	flood(1, func(k, j int) { // many requests, then a disconnect
		c := fake.NewClient(t, w.addr)
		for n := range 40 {
			c.Call("SELECT 1", fields(ref(k, 100*j+n))...)
		}
		c.Disconnect()
	})
	flood(2, func(k, j int) { fake.NewClient(t, w.addr).SendRaw([]byte{0}) }) // part of a message
	slowWriter, nonReader := fake.NewClient(t, w.addr), fake.NewClient(t, w.addr)
	message := fake.Call(1, "SELECT 1", fields(ref(3, 0))...)
	flood(3, func(_, j int) { slowWriter.SendRaw(message[j%len(message):][:1]) })
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
