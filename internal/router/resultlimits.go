package router

import (
	"math"

	"dunereach/internal/backends"
	"dunereach/internal/transport"
)

// This file bounds the memory of results on their way from servers to clients. The pages of a result are requested once there is memory for
// all of them, so that results that come together wait at their servers, and no client that reads pays for them.

// outputQueue is the output that is queued in all connections. transport.Network implements it.
type outputQueue interface {
	Queued() int64  // bytes that are queued or being written
	EndSlowReader() // ends the connection with the most queued output of those whose peer does not keep up
}

var _ outputQueue = (*transport.Network)(nil)

// resultCheckInterval is how often results that wait for memory are looked at, in seconds.
const resultCheckInterval = 0.002

// resultLimits is the memory for results and its use.
type resultLimits struct {
	queue   outputQueue
	budget  int // bytes; the requests of clients that read nothing may exceed it by what they have queued
	checkAt float64
}

// LimitResults bounds the memory that results take, reserved and queued, to the given number of bytes.
func (r *Router) LimitResults(bytes int64, queue outputQueue) {
	r.results.budget, r.results.queue = int(min(bytes, math.MaxInt)), queue
}

// ResultFits reports whether there is memory for a result. A connection may hold no more than it leaves to others: so clients that don't read
// leave some. A result that is larger than that fits when there is no other.
func (r *Router) ResultFits(j *backends.Attempt, size int) bool {
	client := r.requests[j.ID].client
	if r.results.queue == nil || client == nil {
		return true
	}
	held, reserved, queued := client.ResultBytes(), r.pool.ReservedBytes(), int(r.results.queue.Queued())
	if held+size <= r.results.budget-reserved-queued-size {
		return true
	}
	return held == 0 && reserved == 0 && queued < size
}

// ResultReserved counts memory that is reserved for a result for its client, until that has left.
func (r *Router) ResultReserved(j *backends.Attempt, bytes int) {
	if client := r.requests[j.ID].client; client != nil {
		client.AddResultBytes(bytes)
	}
}

// fetchWaitingResults looks at the results that wait for memory. While there are any, it ends connections whose clients don't read and
// hold the memory. It returns the time of its next call if that is before next, else next.
func (r *Router) fetchWaitingResults(next float64) float64 {
	if !r.pool.ResultsWaiting() {
		return next
	}
	if r.now >= r.results.checkAt {
		r.results.checkAt = r.now + resultCheckInterval
		r.pool.FetchWaiting()
		r.pool.ReportEnds()
		if r.pool.ResultsWaiting() {
			r.results.queue.EndSlowReader()
		}
	}
	return min(next, r.results.checkAt)
}
