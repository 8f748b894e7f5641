package admission

import (
	"fmt"
	"testing"

	"dunereach/fairshare"
	"dunereach/waittime"
)

// runRequests runs one request after another through a controller: registered, admitted, sent, answered.
func runRequests(b *testing.B, set Settings, servers int, request func(k int) Request) {
	h := &nopHost{}
	m := New(set, 0, h)
	var list []Entry
	for k := range servers {
		list = append(list, Entry{Server: uint32(k + 1), State: Ready})
	}
	m.UpdateServers(0, Full, list)
	now := 0.0
	serveOne := func(k int) {
		now += 0.001
		c := request(k)
		c.ID, c.TimeLeft = uint32(k+1), 4
		m.Request(now, c)
		m.Outcome(now+0.0005, Outcome{ID: c.ID, Server: h.server, End: Completed, Latency: 0.0005, Work: c.Cost, Final: true})
		if k%50 == 0 {
			m.Woken(now, 0)
		}
	}
	for k := range 1000 {
		serveOne(k)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for k := range b.N {
		serveOne(1000 + k)
	}
}

// BenchmarkEngines measures the controller alone, by the size of the pool.
func BenchmarkEngines(b *testing.B) {
	for _, n := range []int{8, 72, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			runRequests(b, defaults(), n, func(int) Request { return Request{Cost: 0.1} })
		})
	}
}

// BenchmarkTeams measures with teams, of which a hundred have requests. The cost must not grow with the number of idle
// teams.
func BenchmarkTeams(b *testing.B) {
	for _, n := range []int{0, 10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := defaults()
			if n > 0 {
				set.Teams = teamTree(b, n)
			}
			runRequests(b, set, 8, func(k int) Request { return Request{Cost: 0.1, Team: k % min(max(n, 1), 100)} })
		})
	}
}

// BenchmarkWaits measures with estimates reported.
func BenchmarkWaits(b *testing.B) {
	set := defaults()
	set.Teams, set.Waits = teamTree(b, 100), waittime.New(len(set.Profiles), 1)
	runRequests(b, set, 8, func(k int) Request { return Request{Cost: 0.1, Team: k % 100, RequestKey: uint64(k) + 1} })
}

func teamTree(t testing.TB, n int) *fairshare.Tree {
	s := fairshare.Spec{Default: "t0", Ageing: 0.1, TurnsForBypassed: true, MaxPriorityChanges: 20}
	for k := range n {
		s.Nodes = append(s.Nodes, fairshare.Node{Name: fmt.Sprint("t", k), Weight: 1 + float64(k%3)})
	}
	made, err := fairshare.New(s, 0)
	if err != nil {
		t.Fatal(err)
	}
	return made
}
