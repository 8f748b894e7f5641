package subset

import "slices"

// Leaving are the databases that left a router's subset while the list still has them. Nothing new is attempted there; their
// connections stay for a grace, and are then closed at a bounded rate, so that a fleet that changes at once does not drop all it has
// on one database in one moment.
type Leaving struct {
	queue []leaver // in the order in which they go
	next  float64  // not before
}

type leaver struct {
	name  string
	since float64
}

// How databases leave.
const (
	// LeaveGrace is the time, in seconds, in which what runs there mostly ends, and in which a return costs no new connection.
	LeaveGrace = 5.0
	// LeaveRate is how many databases a second a router leaves at most.
	LeaveRate = 8.0
)

// Add puts names behind those that wait, in an order of the router's own; those that wait already keep their turn.
func (l *Leaving) Add(now float64, router string, names []string) {
	own := hashOf(router)
	fresh := slices.DeleteFunc(slices.Clone(names), l.Has)
	slices.SortFunc(fresh, func(a, b string) int {
		if mix(own^hashOf(a)) < mix(own^hashOf(b)) {
			return -1
		}
		return 1
	})
	for _, name := range fresh {
		l.queue = append(l.queue, leaver{name, now})
	}
}

// Remove takes out those that came back or that the list has no more.
func (l *Leaving) Remove(gone func(name string) bool) {
	l.queue = slices.DeleteFunc(l.queue, func(x leaver) bool { return gone(x.name) })
}

// Has tells whether a database is still waiting.
func (l *Leaving) Has(name string) bool {
	return slices.ContainsFunc(l.queue, func(x leaver) bool { return x.name == name })
}

// Len is how many wait.
func (l *Leaving) Len() int { return len(l.queue) }

// Due takes out those whose connections are to be closed now, and no more than the rate allows.
func (l *Leaving) Due(now float64) (names []string) {
	for len(l.queue) > 0 && now >= l.queue[0].since+LeaveGrace && now >= l.next {
		names = append(names, l.queue[0].name)
		l.queue = l.queue[1:]
		l.next = max(l.next, now-1/LeaveRate) + 1/LeaveRate
	}
	return names
}
