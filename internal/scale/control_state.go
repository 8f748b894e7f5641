package scale

import (
	"fmt"
	"time"

	"dunereach/fleet/registry"
	"dunereach/internal/measure"
)

// controlState measures the size of a registry's snapshot by the number of sessions, and by the number of tasks.
func controlState(int) ([]measure.Row, error) {
	var routers, tasks, bySession, byTask, encode []float64
	for _, n := range []int{100, 400, 800, TargetRouters, 2 * TargetRouters} {
		size, encodeTime, err := measureSnapshot(n, 0)
		if err != nil {
			return nil, err
		}
		routers, bySession, encode = append(routers, float64(n)), append(bySession, size), append(encode, encodeTime)
	}
	for _, n := range []int{0, 557, 1950, TargetDatabases, 2 * TargetDatabases} { // none, a zone, a region, all databases, both tasks of each
		size, _, err := measureSnapshot(TargetRouters, n)
		if err != nil {
			return nil, err
		}
		tasks, byTask = append(tasks, float64(n)), append(byTask, size)
	}
	sessions := lineThrough(routers, bySession)
	rows := append(sessions.Rows("state: snapshot, bytes", "sessions", 1),
		measure.AtMost("state: snapshot of 3,200 sessions, bytes", bySession[len(bySession)-1], registry.MaxSnapshot))
	rows = append(rows, measure.Figure("state: snapshot of 3,200 sessions: milliseconds to encode", encode[len(encode)-1]))
	owned := lineThrough(tasks, byTask)
	rows = append(rows, owned.Rows("state: snapshot of 1,600 sessions, bytes", "tasks", 1)...)
	rows = append(rows, measure.AtMost("state: snapshot of 1,600 sessions and 7,800 tasks, bytes", byTask[len(byTask)-1], registry.MaxSnapshot))
	return append(rows, measure.Figure("state: bound on a snapshot with names and annotations of maximum length, MB", registry.MaxSnapshot/1e6)), nil
}

// measureSnapshot returns the size in bytes of a registry's snapshot, and the time in milliseconds that encoding it takes.
func measureSnapshot(sessions, tasks int) (size, milliseconds float64, err error) {
	r := registry.New()
	index := uint64(0)
	apply := func(e registry.Entry) (uint64, error) {
		index++
		e.Version = registry.Version
		return r.Apply(index, e)
	}
	for n := range sessions {
		zone := n % TargetZones
		e := registry.Entry{Kind: registry.Open, Name: fmt.Sprintf("router-%04d", n), Incarnation: 1<<51 + uint64(n), Zone: fmt.Sprint("z", zone), Region: "north"}
		if _, err := apply(e); err != nil {
			return 0, 0, err
		}
	}
	for n := range tasks {
		name := fmt.Sprintf("warmth/%d@%.3f", n, 1.7e9)
		fence, err := apply(registry.Entry{Kind: registry.Assign, Task: name, Session: uint64(n%sessions + 1), Zone: "z1"})
		if err != nil {
			return 0, 0, err
		}
		annotation := fmt.Sprintf(`{"engine":%d,"start":1700000000.5,"well":true}`, n)
		if _, err := apply(registry.Entry{Kind: registry.Annotation, Task: name, Session: uint64(n%sessions + 1), Fence: fence, Body: []byte(annotation)}); err != nil {
			return 0, 0, err
		}
	}
	start := time.Now()
	text, err := r.Snapshot()
	return float64(len(text)), time.Since(start).Seconds() * 1000, err
}
