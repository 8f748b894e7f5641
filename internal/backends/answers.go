package backends

import (
	"bytes"
	"strconv"
	"unicode/utf8"

	"dunereach/admission"
	"dunereach/internal/lineproto"
)

// This file takes servers' answers and the pages of results.

// Answer takes an engine's word. What can't be right ends the connection; what is right but belongs to nothing that is
// out, such as a second copy, does no harm.
func (c *conn) Answer(a lineproto.Answer) bool {
	c.halfAt = 0
	var ref Ref
	if len(a.ID) != len(ref) {
		return true // under no id of ours
	}
	copy(ref[:], a.ID)
	j := c.out[ref]
	if j == nil {
		return true // late, for a send given up
	}
	switch string(a.Word) {
	case "update":
		if kind, value, ok := note(a.Fields); ok {
			c.pool.owner.Noted(j, kind, value)
		}
		return true
	case "served":
		return c.served(j, a)
	case "rows":
		n, ok := lineproto.Number(lineproto.Field(a.Fields, "pos"))
		if !ok || n < 1 || n >= len(j.Pages) || !wholeRows(a.Body) {
			return false
		}
		if j.Pages[n] != nil {
			return true
		}
		j.page(c.pool, n, a.Body)
		if j.got == len(j.Pages) {
			c.done(j)
		}
		return true
	}
	end, ok := byWord(a.Word)
	if ok {
		c.spend(j)
		j.finish(c.pool, end)
	}
	return ok
}

// served takes the first page and asks for the others, all at once: one round trip for the lot.
func (c *conn) served(j *Job, a lineproto.Answer) bool {
	const most = 64 // pages: a result has 48,000 bytes at most, a page some thousand
	count, ok := lineproto.Number(lineproto.Field(a.Fields, "count"))
	work, ok1 := figure(lineproto.Field(a.Fields, "ticks"))
	memory, ok2 := figure(lineproto.Field(a.Fields, "footprint"))
	if !ok || !ok1 || !ok2 || count < 1 || count > most || !wholeRows(a.Body) {
		return false
	}
	if j.got > 0 {
		return true
	}
	j.Work, j.Memory = work/1000, memory
	for range count {
		j.Pages = append(j.Pages, nil)
	}
	j.page(c.pool, 0, a.Body)
	switch {
	case count == 1:
		j.finish(c.pool, admission.Answered)
	case j.Unwanted:
		c.done(j)
	default:
		b := c.pool.scratch[:0]
		for n := 1; n < count; n++ {
			b = lineproto.More(b, j.Ref[:], n)
		}
		c.say(b)
	}
	return true
}

// done ends a send whose engine still keeps pages.
func (c *conn) done(j *Job) {
	c.say(lineproto.Done(c.pool.scratch[:0], j.Ref[:]))
	j.finish(c.pool, admission.Answered)
}

// page keeps one page's bytes.
func (j *Job) page(p *Pool, n int, body []byte) {
	var buf []byte
	if k := len(p.spare); k > 0 {
		buf, p.spare = p.spare[k-1], p.spare[:k-1]
	} else {
		buf = make([]byte, 0, 6000)
	}
	j.Pages[n] = append(buf[:0], body...)
	j.got, j.gotAt = j.got+1, p.now
}

func (p *Pool) freePages(j *Job) {
	const most = 512 // 3 MB of pages wait for reuse
	for _, b := range j.Pages {
		if b != nil && len(p.spare) < most {
			p.spare = append(p.spare, b)
		}
	}
	clear(j.Pages)
	j.Pages = j.Pages[:0]
}

// wholeRows tells whether a page is what the protocol promises: text of whole rows with three columns, 6,000 bytes at most.
func wholeRows(body []byte) bool {
	const most, columns = 6000, 3
	if len(body) > most || !utf8.Valid(body) {
		return false
	}
	for len(body) > 0 {
		row, rest, whole := bytes.Cut(body, []byte("\n"))
		if !whole || bytes.Count(row, []byte("\t")) != columns-1 {
			return false
		}
		body = rest
	}
	return true
}

func note(fields []byte) (admission.NoteKind, float64, bool) {
	value, ok := figure(lineproto.Field(fields, "reading"))
	if !ok {
		return 0, 0, false
	}
	switch string(lineproto.Field(fields, "res")) {
	case "p":
		return admission.Progressed, value, true
	case "s":
		return admission.Spilling, value, true
	case "w":
		return admission.Waiting, value, true
	}
	return 0, 0, false
}

// figure reads one that may be absent.
func figure(b []byte) (v float64, ok bool) {
	if len(b) == 0 {
		return 0, true
	}
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil && v >= 0 && v < 1e12
}
