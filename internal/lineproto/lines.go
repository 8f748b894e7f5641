// Package lineproto reads and writes the servers' line protocol: lines of words that end in CR LF, some followed by a body of a
// given length and CR LF. It does no I/O.
package lineproto

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	maxLine = 1024     // an id, a word and some fields are far under it
	maxBody = 16 << 10 // a page has 6,000 bytes at most
)

// Answer is one message of a server. Its bytes are valid during the call that passes it only.
type Answer struct{ ID, Word, Fields, Body []byte }

// ErrGarbled is returned for a line that does not follow the protocol.
var ErrGarbled = errors.New("line can't be read")

// Parser splits a stream of bytes into answers. It buffers only the bytes of an unfinished one.
type Parser struct{ unfinished []byte }

// Reader takes answers.
type Reader interface {
	// Answer takes one; its false means that it can't be right, and nothing more is read.
	Answer(a Answer) bool
}

// Feed calls the reader with each answer that is complete now.
func (p *Parser) Feed(b []byte, to Reader) error {
	if len(p.unfinished) > 0 {
		p.unfinished = append(p.unfinished, b...)
		b = p.unfinished
	}
	for len(b) > 0 {
		a, n, err := parseAnswer(b)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		if !to.Answer(a) {
			return ErrGarbled
		}
		b = b[n:]
	}
	p.unfinished = append(p.unfinished[:0], b...)
	return nil
}

// Half reports whether an unfinished answer is buffered.
func (p *Parser) Half() bool { return len(p.unfinished) > 0 }

// parseAnswer reads one answer off the front; n is 0 where it is not whole.
func parseAnswer(b []byte) (a Answer, n int, err error) {
	end := bytes.Index(b[:min(len(b), maxLine)], []byte("\r\n"))
	if end < 0 {
		if len(b) >= maxLine {
			err = ErrGarbled
		}
		return a, 0, err
	}
	var words [4][]byte
	rest := b[:end]
	for k := range words {
		word, after, more := bytes.Cut(rest, []byte(" "))
		if len(word) == 0 || more != (k < 3) {
			return a, 0, ErrGarbled
		}
		words[k], rest = word, after
	}
	size, ok := Number(words[3])
	if !ok || size > maxBody || !allOf(words[0], isTagChar) || !allOf(words[1], isLetter) || !validFields(words[2]) {
		return a, 0, ErrGarbled
	}
	from := end + 2
	n = from + size + 2
	if len(b) < n {
		return a, 0, nil
	}
	if b[n-2] != '\r' || b[n-1] != '\n' {
		return a, 0, ErrGarbled
	}
	return Answer{words[0], words[1], words[2], b[from : n-2]}, n, nil
}

// An id or tag is of letters, digits and some signs, a word of letters; what else comes is noise, and what is behind
// it can't be trusted.
func isLetter(c byte) bool { return c|0x20 >= 'a' && c|0x20 <= 'z' }

func isTagChar(c byte) bool {
	return isLetter(c) || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.' || c == ':'
}

func allOf(word []byte, is func(byte) bool) bool {
	for _, c := range word {
		if !is(c) {
			return false
		}
	}
	return true
}

// validFields is a list of names and values, or "-" for none.
func validFields(list []byte) bool {
	if string(list) == "-" {
		return true
	}
	for more := true; more; {
		var f []byte
		f, list, more = bytes.Cut(list, []byte(","))
		name, value, ok := bytes.Cut(f, []byte("="))
		if !ok || len(name) == 0 || !allOf(name, isTagChar) || !allOf(value, isValueChar) {
			return false
		}
	}
	return true
}

func isValueChar(c byte) bool { return c > ' ' && c < 0x7f && c != '=' }

// Field returns the value of a field by its name, or nil.
func Field(fields []byte, name string) []byte {
	for len(fields) > 0 {
		var f []byte
		f, fields, _ = bytes.Cut(fields, []byte(","))
		if len(f) > len(name) && f[len(name)] == '=' && string(f[:len(name)]) == name {
			return f[len(name)+1:]
		}
	}
	return nil
}

// Number parses a decimal count; ok is false where it is none.
func Number(b []byte) (n int, ok bool) {
	if len(b) == 0 || len(b) > 9 {
		return 0, false
	}
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// The writers append one message each.

// Fetch appends a request to run a query. A priority of 1 is the default and is left out; token is the key of a request that is
// idempotent by key, or empty.
func Fetch(b, id []byte, kind string, wait, priority int, token, statement []byte) []byte {
	b = append(append(append(b, "fetch "...), id...), " kind="...)
	b = strconv.AppendInt(append(append(b, kind...), ",ms="...), int64(wait), 10)
	if priority != 1 {
		b = strconv.AppendInt(append(b, ",order="...), int64(priority), 10)
	}
	if len(token) > 0 {
		b = append(append(b, ",token="...), token...)
	}
	b = strconv.AppendInt(append(b, ' '), int64(len(statement)), 10)
	return append(append(append(b, "\r\n"...), statement...), "\r\n"...)
}

// Usable tells whether a text can stand as the value of a field: it would end the field, the word or the line otherwise.
func Usable(value string) bool {
	ends := func(r rune) bool {
		return r == ',' || r == utf8.RuneError || unicode.IsSpace(r) || unicode.IsControl(r)
	}
	return value != "" && strings.IndexFunc(value, ends) < 0
}

// Abort appends a message that aborts a query of whose result nothing has come.
func Abort(b, id []byte) []byte { return append(append(append(b, "abort "...), id...), "\r\n"...) }

// Done appends a message that releases the pages of a result that the server keeps.
func Done(b, id []byte) []byte { return append(append(append(b, "done "...), id...), "\r\n"...) }

// Renice appends a message that changes a query's priority to n.
func Renice(b, id []byte, n int) []byte { return appendNumbered(b, "renice ", id, n) }

// More appends a message that asks for page n of a result.
func More(b, id []byte, n int) []byte { return appendNumbered(b, "more ", id, n) }

func appendNumbered(b []byte, verb string, id []byte, n int) []byte {
	b = append(append(append(b, verb...), id...), ' ')
	return append(strconv.AppendInt(b, int64(n), 10), "\r\n"...)
}
