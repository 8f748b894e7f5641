package router

// timers is a heap ordered by time.
type timers []timer

// minTimers is the number of timers up to which none is looked at before its time.
const minTimers = 4096

type timer struct {
	at    float64
	token uint64
	kind  uint8
}

const (
	timerWake         = iota // set by the controller through Wake
	timerAttemptLimit        // time limit of an attempt; the token holds its id and number
)

func (t *timers) push(n timer) {
	*t = append(*t, n)
	for i := len(*t) - 1; i > 0; {
		parent := (i - 1) / 2
		if (*t)[parent].at <= (*t)[i].at {
			break
		}
		(*t)[parent], (*t)[i] = (*t)[i], (*t)[parent]
		i = parent
	}
}

func (t *timers) pop() timer {
	h := *t
	top, n := h[0], len(h)-1
	h[0] = h[n]
	*t = h[:n]
	for i := 0; ; {
		least := i
		for k := 2*i + 1; k <= 2*i+2 && k < n; k++ {
			if h[k].at < h[least].at {
				least = k
			}
		}
		if least == i {
			return top
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}

// removeIf removes the timers for which expired returns true.
func (t *timers) removeIf(expired func(timer) bool) {
	all := *t
	*t = all[:0]
	for _, n := range all { // at most as many have been pushed as were read: they share the memory
		if !expired(n) {
			t.push(n)
		}
	}
}

// setTimer sets a timer. Requests can end long before their timers are due, so the timers of ended ones are removed whenever their number has
// doubled: the memory is bounded by the requests in progress and not by how many come within the longest time limit.
func (r *Router) setTimer(n timer) {
	r.timers.push(n)
	if len(r.timers) <= r.maxTimers {
		return
	}
	r.timers.removeIf(func(n timer) bool { return !r.timerHasEffect(n) })
	r.maxTimers = max(minTimers, 2*len(r.timers))
}

// timerHasEffect reports whether a timer would do anything at its time.
func (r *Router) timerHasEffect(n timer) bool {
	if n.kind == timerWake {
		return r.controller.AwaitsWake(n.token)
	}
	req := r.requests[uint32(n.token)]
	return req != nil && req.attempt.Outstanding() && req.attempt.AttemptNumber == int(n.token>>32)
}
