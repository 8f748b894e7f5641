package backends

import (
	"slices"

	"dunereach/internal/lineproto"
)

// This file bounds the memory of results. A server keeps the pages of a result until they are requested, so a result for which there is no
// memory stays there but for its first page, which comes unrequested.

// resultMemory is the memory that results take until their clients are sent them.
type resultMemory struct {
	reserved int        // bytes of results whose pages have been requested
	waiting  []*Attempt // attempts whose results wait for memory, the oldest first; at most one for each outstanding attempt
}

// ReservedBytes returns the memory reserved for results whose pages have been requested.
func (p *Pool) ReservedBytes() int { return p.resultMemory.reserved }

// ResultsWaiting reports whether results wait for memory.
func (p *Pool) ResultsWaiting() bool { return len(p.resultMemory.waiting) > 0 }

// fetchResult requests the remaining pages of a result, now or once there is memory for them.
func (p *Pool) fetchResult(j *Attempt) {
	if !p.ResultsWaiting() && p.owner.ResultFits(j, j.resultBytes()) {
		p.requestPages(j)
		return
	}
	j.awaitsMemory = true
	p.resultMemory.waiting = append(p.resultMemory.waiting, j)
}

// FetchWaiting requests the pages of those waiting results for which there is memory, the oldest first. A result that nobody wants any
// more ends.
func (p *Pool) FetchWaiting() {
	for _, j := range slices.Clone(p.resultMemory.waiting) {
		switch {
		case !j.awaitsMemory: // it has ended meanwhile
		case j.ResultUnwanted:
			j.conn.finishResult(j)
		case p.owner.ResultFits(j, j.resultBytes()):
			p.stopWaiting(j)
			p.requestPages(j)
		}
	}
}

// requestPages reserves memory for a result and requests its remaining pages.
func (p *Pool) requestPages(j *Attempt) {
	j.reservedBytes = j.resultBytes()
	p.resultMemory.reserved += j.reservedBytes
	p.owner.ResultReserved(j, j.reservedBytes)
	j.lastPageAt = p.now // the server's time for the next page begins now
	b := p.scratch[:0]
	for n := 1; n < len(j.Pages); n++ {
		b = lineproto.AppendMore(b, j.Ref[:], n)
	}
	j.conn.writeControl(b)
}

// releaseResult releases the memory reserved for an attempt's result, and ends its wait for memory.
func (p *Pool) releaseResult(j *Attempt) {
	if j.awaitsMemory {
		p.stopWaiting(j)
	}
	if j.reservedBytes > 0 {
		p.resultMemory.reserved -= j.reservedBytes
		p.owner.ResultReserved(j, -j.reservedBytes)
		j.reservedBytes = 0
	}
}

// stopWaiting removes an attempt from those that wait for memory.
func (p *Pool) stopWaiting(j *Attempt) {
	j.awaitsMemory = false
	if k := slices.Index(p.resultMemory.waiting, j); k >= 0 {
		p.resultMemory.waiting = slices.Delete(p.resultMemory.waiting, k, k+1)
	}
}

// resultBytes returns the largest size of an attempt's result.
func (j *Attempt) resultBytes() int { return len(j.Pages) * maxPageBytes }

// ReservedBytes returns the memory reserved for the attempt's result.
func (j *Attempt) ReservedBytes() int { return j.reservedBytes }
