package transport

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// This file enforces the limits that connections share. Whoever holds most of an exceeded limit pays for it, and not the connection that
// happens to come next.

// sharedLimits are the limits that the connections of a network share.
type sharedLimits struct {
	start            time.Time
	maxQueued        int64 // bytes of output that may be queued in all connections together
	pauseDialedAbove int64 // bytes of queued output above which dialed connections are not read; 0: they are always read
	queued           atomic.Int64
	maxLingering     int
	lingering        atomic.Int64 // connections in a lingering close, including those whose close is being cut short

	mu        sync.Mutex
	conns     map[*Conn]struct{} // connections that run
	lingerers []*Conn            // connections in a lingering close, the oldest first
}

// add counts a connection among those that run.
func (l *sharedLimits) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

// remove ends what add began, and frees the connection's queued output.
func (l *sharedLimits) remove(c *Conn) {
	c.mu.Lock()
	c.addQueued(-len(c.out))
	c.out = nil
	c.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// addQueued counts bytes of output as queued, or as not queued any more if size is negative.
func (c *Conn) addQueued(size int) {
	c.queued.Add(int64(size))
	c.net.limits.queued.Add(int64(size))
}

// enforceQueued ends the connections with the most queued output until the others keep the limit. The output of those that are ending
// already does not count: it is freed within moments.
func (l *sharedLimits) enforceQueued() {
	if l.queued.Load() <= l.maxQueued {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var total int64
	for c := range l.conns {
		if c.ctx.Err() == nil {
			total += c.queued.Load()
		}
	}
	for total > l.maxQueued {
		largest := l.largestQueue()
		if largest == nil {
			return
		}
		total -= largest.queued.Load()
		largest.cancel(errNotReading)
	}
}

// largestQueue returns the connection with the most queued output of those that are not ending, nil if none has any.
func (l *sharedLimits) largestQueue() *Conn {
	return l.largestQueueOf(func(*Conn) bool { return true })
}

// largestQueueOf is largestQueue among those connections for which eligible returns true.
func (l *sharedLimits) largestQueueOf(eligible func(*Conn) bool) (largest *Conn) {
	size := int64(0)
	for c := range l.conns {
		if queued := c.queued.Load(); queued > size && c.ctx.Err() == nil && eligible(c) {
			largest, size = c, queued
		}
	}
	return largest
}

// slowWrite is how long a write lasts of a peer that does not keep up with what it is sent. A peer that reads takes what the system's
// buffers can't hold within milliseconds.
const slowWrite = 200 * time.Millisecond

// EndSlowReader ends, of the connections whose peer does not keep up, the one with the most queued output. It is to be called while
// others wait for the memory that such output takes. It does nothing if all peers keep up.
func (n *Network) EndSlowReader() {
	l := &n.limits
	now := l.sinceStart(time.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	slow := l.largestQueueOf(func(c *Conn) bool {
		begunAt := c.writeBegunAt.Load()
		return begunAt > 0 && now-begunAt >= int64(slowWrite)
	})
	if slow != nil {
		slow.cancel(errNotReading)
	}
}

// sinceStart returns a time in nanoseconds since the network's start, at least 1.
func (l *sharedLimits) sinceStart(now time.Time) int64 { return max(int64(now.Sub(l.start)), 1) }

// waitForOutput waits until the queued output of all connections has fallen to the threshold for reading dialed connections. As reading
// also tells of a peer's end, it waits for a bounded time only.
func (l *sharedLimits) waitForOutput(c *Conn) {
	const checkInterval, maxChecks = time.Millisecond, 100
	for range maxChecks {
		if l.pauseDialedAbove == 0 || l.queued.Load() <= l.pauseDialedAbove || c.ctx.Err() != nil {
			return
		}
		time.Sleep(checkInterval)
	}
}

// beginLinger counts a connection in a lingering close. If there are too many, the oldest is closed: it had the most time.
func (l *sharedLimits) beginLinger(c *Conn) {
	l.lingering.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingerers = append(l.lingerers, c)
	if len(l.lingerers) > l.maxLingering {
		l.lingerers[0].cancel(errClosed)
		l.lingerers = slices.Delete(l.lingerers, 0, 1)
	}
}

// endLinger ends what beginLinger began.
func (l *sharedLimits) endLinger(c *Conn) {
	l.lingering.Add(-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := slices.Index(l.lingerers, c); k >= 0 {
		l.lingerers = slices.Delete(l.lingerers, k, k+1)
	}
}
