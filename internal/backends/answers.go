package backends

import (
	"bytes"
	"strconv"
	"unicode/utf8"

	"dunereach/admission"
	"dunereach/internal/lineproto"
)

// This file handles the servers' messages and the pages of results.

// HandleMessage processes one message of a server. It returns false for a message that cannot be valid, which ends
// the connection. A valid message that belongs to no outstanding attempt, such as a duplicate, is ignored.
func (c *conn) HandleMessage(a lineproto.Message) bool {
	c.partialSince = 0
	var ref Ref
	if len(a.ID) != len(ref) {
		return true // not an ID of this router
	}
	copy(ref[:], a.ID)
	j := c.outstanding[ref]
	if j == nil {
		return true // late: the attempt was abandoned
	}
	switch string(a.Verb) {
	case "update":
		if kind, value, ok := parseProgress(a.Fields); ok {
			c.pool.owner.AttemptProgressed(j, kind, value)
		}
		return true
	case "served":
		return c.handleServed(j, a)
	case "rows":
		n, ok := lineproto.ParseNumber(lineproto.Field(a.Fields, "pos"))
		if !ok || n < 1 || n >= len(j.Pages) || !validRows(a.Body) {
			return false
		}
		if j.Pages[n] != nil {
			return true
		}
		j.storePage(c.pool, n, a.Body)
		if j.pagesReceived == len(j.Pages) {
			c.finishResult(j)
		}
		return true
	}
	end, ok := endOfMessage(a.Verb)
	if ok {
		c.addSpentID(j)
		j.finish(c.pool, end)
	}
	return ok
}

// handleServed stores the first page and requests all others at once, which takes one round trip for all of them.
func (c *conn) handleServed(j *Attempt, a lineproto.Message) bool {
	const maxPages = 64 // pages: a result has at most 48,000 bytes, a page some thousand
	count, ok := lineproto.ParseNumber(lineproto.Field(a.Fields, "count"))
	work, ok1 := parseOptionalFloat(lineproto.Field(a.Fields, "ticks"))
	memory, ok2 := parseOptionalFloat(lineproto.Field(a.Fields, "footprint"))
	if !ok || !ok1 || !ok2 || count < 1 || count > maxPages || !validRows(a.Body) {
		return false
	}
	if j.pagesReceived > 0 {
		return true
	}
	j.Work, j.Memory = work/1000, memory
	for range count {
		j.Pages = append(j.Pages, nil)
	}
	j.storePage(c.pool, 0, a.Body)
	switch {
	case count == 1:
		j.finish(c.pool, admission.Completed)
	case j.ResultUnwanted:
		c.finishResult(j)
	default:
		c.pool.fetchResult(j)
	}
	return true
}

// finishResult completes an attempt while the server still keeps its pages, and tells the server to release them.
func (c *conn) finishResult(j *Attempt) {
	c.writeControl(lineproto.AppendDone(c.pool.scratch[:0], j.Ref[:]))
	j.finish(c.pool, admission.Completed)
}

// storePage copies the bytes of one page.
func (j *Attempt) storePage(p *Pool, n int, body []byte) {
	var buf []byte
	if k := len(p.sparePages); k > 0 {
		buf, p.sparePages = p.sparePages[k-1], p.sparePages[:k-1]
	} else {
		buf = make([]byte, 0, maxPageBytes)
	}
	j.Pages[n] = append(buf[:0], body...)
	j.pagesReceived, j.lastPageAt = j.pagesReceived+1, p.now
}

func (p *Pool) freePages(j *Attempt) {
	const maxSparePages = 128 // 0.8 MB of page buffers are kept for reuse
	for _, b := range j.Pages {
		if b != nil && len(p.sparePages) < maxSparePages {
			p.sparePages = append(p.sparePages, b)
		}
	}
	clear(j.Pages)
	j.Pages = j.Pages[:0]
}

// maxPageBytes is the longest page of a result, in bytes.
const maxPageBytes = 6000

// validRows reports whether a page follows the protocol: complete rows of valid text with three columns, at most
// 6,000 bytes.
func validRows(body []byte) bool {
	const columns = 3
	if len(body) > maxPageBytes || !utf8.Valid(body) {
		return false
	}
	for len(body) > 0 {
		row, rest, complete := bytes.Cut(body, []byte("\n"))
		if !complete || bytes.Count(row, []byte("\t")) != columns-1 {
			return false
		}
		body = rest
	}
	return true
}

func parseProgress(fields []byte) (admission.ProgressKind, float64, bool) {
	value, ok := parseOptionalFloat(lineproto.Field(fields, "reading"))
	if !ok {
		return 0, 0, false
	}
	switch string(lineproto.Field(fields, "res")) {
	case "p":
		return admission.ShareDone, value, true
	case "s":
		return admission.Spilling, value, true
	case "w":
		return admission.Waiting, value, true
	}
	return 0, 0, false
}

// parseOptionalFloat parses a non-negative number. An absent field is 0.
func parseOptionalFloat(b []byte) (v float64, ok bool) {
	if len(b) == 0 {
		return 0, true
	}
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil && v >= 0 && v < 1e12
}
