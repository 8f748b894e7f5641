// Package lineproto reads and writes the servers' line protocol: lines of words that end in CR LF, some followed by a
// body of a given length and CR LF. It does no I/O.
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
	maxLine = 1024     // far more than an ID, a verb and some fields
	maxBody = 16 << 10 // a page has at most 6,000 bytes
)

// Message is one message of a server. Its bytes are valid only during the call that passes it.
type Message struct{ ID, Verb, Fields, Body []byte }

// ErrMalformed is returned for a line that does not follow the protocol.
var ErrMalformed = errors.New("malformed line")

// Parser splits a stream of bytes into messages. It buffers only the bytes of an unfinished one.
type Parser struct{ unfinished []byte }

// Handler receives messages.
type Handler interface {
	// HandleMessage processes a message. It returns false for a message that cannot be valid; nothing more is read
	// then.
	HandleMessage(a Message) bool
}

// Feed calls the handler with each message that is complete now.
func (p *Parser) Feed(b []byte, to Handler) error {
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
		if !to.HandleMessage(a) {
			return ErrMalformed
		}
		b = b[n:]
	}
	p.unfinished = append(p.unfinished[:0], b...)
	return nil
}

// HasPartial reports whether an unfinished message is buffered.
func (p *Parser) HasPartial() bool { return len(p.unfinished) > 0 }

// parseAnswer parses the message at the start of b. n is 0 if it is incomplete.
func parseAnswer(b []byte) (a Message, n int, err error) {
	end := bytes.Index(b[:min(len(b), maxLine)], []byte("\r\n"))
	if end < 0 {
		if len(b) >= maxLine {
			err = ErrMalformed
		}
		return a, 0, err
	}
	var words [4][]byte
	rest := b[:end]
	for k := range words {
		word, after, more := bytes.Cut(rest, []byte(" "))
		if len(word) == 0 || more != (k < 3) {
			return a, 0, ErrMalformed
		}
		words[k], rest = word, after
	}
	size, ok := ParseNumber(words[3])
	if !ok || size > maxBody || !allOf(words[0], isTagChar) || !allOf(words[1], isLetter) || !validFields(words[2]) {
		return a, 0, ErrMalformed
	}
	from := end + 2
	n = from + size + 2
	if len(b) < n {
		return a, 0, nil
	}
	if b[n-2] != '\r' || b[n-1] != '\n' {
		return a, 0, ErrMalformed
	}
	return Message{words[0], words[1], words[2], b[from : n-2]}, n, nil
}

// An ID or tag consists of letters, digits and some punctuation, a verb of letters. Any other byte is noise, and
// nothing after it can be trusted.
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

// validFields reports whether a list has names and values, or is "-" for none.
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

// ParseNumber parses a decimal count. ok is false if b is not one.
func ParseNumber(b []byte) (n int, ok bool) {
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

// The functions below append one message each.

// AppendFetch appends a request to run a query. A priority of 1 is the default and is left out; token is the key of a
// request that is idempotent by key, or empty.
func AppendFetch(b, id []byte, kind string, wait, priority int, token, statement []byte) []byte {
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

// ValidFieldValue reports whether a text can be the value of a field: some characters would end the field, the word
// or the line.
func ValidFieldValue(value string) bool {
	ends := func(r rune) bool {
		return r == ',' || r == utf8.RuneError || unicode.IsSpace(r) || unicode.IsControl(r)
	}
	return value != "" && strings.IndexFunc(value, ends) < 0
}

// AppendAbort appends a message that aborts a query none of whose result has come.
func AppendAbort(b, id []byte) []byte {
	return append(append(append(b, "abort "...), id...), "\r\n"...)
}

// AppendDone appends a message that releases the pages of a result kept by the server.
func AppendDone(b, id []byte) []byte { return append(append(append(b, "done "...), id...), "\r\n"...) }

// AppendRenice appends a message that changes a query's priority to n.
func AppendRenice(b, id []byte, n int) []byte { return appendNumbered(b, "renice ", id, n) }

// AppendMore appends a message that requests page n of a result.
func AppendMore(b, id []byte, n int) []byte { return appendNumbered(b, "more ", id, n) }

func appendNumbered(b []byte, verb string, id []byte, n int) []byte {
	b = append(append(append(b, verb...), id...), ' ')
	return append(strconv.AppendInt(b, int64(n), 10), "\r\n"...)
}
