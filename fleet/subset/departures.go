package subset

import "slices"

// DepartureQueue holds the databases that left a router's subset while they are still in the list of databases. Nothing new is
// attempted on them. Their connections stay open for a grace period and are then closed at a limited rate, so that a change of all
// subsets does not close all connections to one database at the same time.
type DepartureQueue struct {
	queue  []departure // in the order of departure
	nextAt float64     // earliest time of the next departure
}

type departure struct {
	name  string
	since float64
}

// Timing of departures.
const (
	// LeaveGrace is the time, in seconds, in which most running requests finish and in which a return to the subset needs no new
	// connection.
	LeaveGrace = 5.0
	// LeaveRate is the largest number of databases per second from which a router disconnects.
	LeaveRate = 8.0
)

// Add appends names to the queue, in an order that depends on the router. Names that are queued already keep their position.
func (l *DepartureQueue) Add(now float64, router string, names []string) {
	routerHash := hashName(router)
	added := slices.DeleteFunc(slices.Clone(names), l.Contains)
	slices.SortFunc(added, func(a, b string) int {
		if mix(routerHash^hashName(a)) < mix(routerHash^hashName(b)) {
			return -1
		}
		return 1
	})
	for _, name := range added {
		l.queue = append(l.queue, departure{name, now})
	}
}

// Remove drops the databases that returned to the subset or are no longer in the list.
func (l *DepartureQueue) Remove(shouldRemove func(name string) bool) {
	l.queue = slices.DeleteFunc(l.queue, func(x departure) bool { return shouldRemove(x.name) })
}

// Contains reports whether a database is queued.
func (l *DepartureQueue) Contains(name string) bool {
	return slices.ContainsFunc(l.queue, func(x departure) bool { return x.name == name })
}

// Len returns the number of queued databases.
func (l *DepartureQueue) Len() int { return len(l.queue) }

// TakeDue removes and returns the databases whose connections are to be closed now, as far as the rate allows.
func (l *DepartureQueue) TakeDue(now float64) (names []string) {
	for len(l.queue) > 0 && now >= l.queue[0].since+LeaveGrace && now >= l.nextAt {
		names = append(names, l.queue[0].name)
		l.queue = l.queue[1:]
		l.nextAt = max(l.nextAt, now-1/LeaveRate) + 1/LeaveRate
	}
	return names
}
