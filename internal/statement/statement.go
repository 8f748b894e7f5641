// Package statement finds what the decisions need in an SQL statement: the group of tables that it reads or
// writes. The statement itself is never changed.
package statement

import "strings"

// Group is the number behind the last underscore of the schema that a statement names first; the schema
// "staging" does not count. None found is 0 and false.
func Group(sql []byte) (uint32, bool) {
	s := scanner{sql: sql}
	for t := s.next(); len(t) > 0; t = s.next() {
		if !wordy(t) {
			continue
		}
		if after := s.peek(); len(after) != 1 || after[0] != '.' {
			continue
		}
		s.next()
		if table := s.next(); !wordy(table) && string(table) != "*" {
			continue
		}
		for p := s.peek(); len(p) == 1 && p[0] == '.'; p = s.peek() { // schema.table.column
			s.next()
			s.next()
		}
		if n, ok := number(t); ok {
			return n, true
		}
	}
	return 0, false
}

// number of a schema's name: the digits behind its last underscore.
func number(word []byte) (uint32, bool) {
	name := string(word)
	if name[0] == '"' {
		name = name[1 : len(name)-1]
	}
	_, digits, ok := cutLast(name)
	if !ok || len(digits) == 0 || len(digits) > 9 || strings.EqualFold(name, "staging") {
		return 0, false
	}
	n := uint32(0)
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint32(c-'0')
	}
	return n, true
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '_')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// wordy tells an identifier, quoted or not, from other tokens.
func wordy(t []byte) bool { return len(t) > 0 && (letter(t[0]) || t[0] == '"' && len(t) > 2) }

func letter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func digit(c byte) bool { return c >= '0' && c <= '9' }

// scanner cuts SQL into tokens: identifiers, numbers and single signs. Strings come out as one token that
// starts with its quote; comments and white space come out not at all.
type scanner struct {
	sql []byte
	at  int
}

func (s *scanner) peek() []byte {
	was := s.at
	t := s.next()
	s.at = was
	return t
}

// next is empty at the end.
func (s *scanner) next() []byte {
	s.blank()
	from := s.at
	if from >= len(s.sql) {
		return nil
	}
	switch c := s.sql[from]; {
	case c == '\'':
		s.quoted('\'', from > 0 && (s.sql[from-1] == 'E' || s.sql[from-1] == 'e') && (from < 2 || !part(s.sql[from-2])))
	case c == '"':
		s.quoted('"', false)
	case c == '$' && s.dollar():
		return s.sql[from : from+1] // a string: its inside is passed over
	case letter(c) || digit(c):
		for s.at < len(s.sql) && part(s.sql[s.at]) {
			s.at++
		}
	default:
		s.at++
	}
	return s.sql[from:s.at]
}

func part(c byte) bool { return letter(c) || digit(c) || c == '$' }

// blank passes over white space and comments: to the line's end, and nested blocks.
func (s *scanner) blank() {
	for s.at < len(s.sql) {
		rest := s.sql[s.at:]
		switch c := rest[0]; {
		case c == ' ' || c >= '\t' && c <= '\r':
			s.at++
		case len(rest) > 1 && c == '-' && rest[1] == '-':
			for s.at < len(s.sql) && s.sql[s.at] != '\n' {
				s.at++
			}
		case len(rest) > 1 && c == '/' && rest[1] == '*':
			s.block()
		default:
			return
		}
	}
}

func (s *scanner) block() {
	depth := 0
	for s.at < len(s.sql) {
		switch rest := s.sql[s.at:]; {
		case len(rest) > 1 && rest[0] == '/' && rest[1] == '*':
			depth, s.at = depth+1, s.at+2
		case len(rest) > 1 && rest[0] == '*' && rest[1] == '/':
			depth, s.at = depth-1, s.at+2
			if depth == 0 {
				return
			}
		default:
			s.at++
		}
	}
}

// quoted passes over a quoted run; a doubled quote stands for one, and so does one behind a backslash in E”.
func (s *scanner) quoted(q byte, escapes bool) {
	for s.at++; s.at < len(s.sql); s.at++ {
		switch c := s.sql[s.at]; {
		case escapes && c == '\\':
			s.at++
		case c == q && s.at+1 < len(s.sql) && s.sql[s.at+1] == q:
			s.at++
		case c == q:
			s.at++
			return
		}
	}
	s.at = min(s.at, len(s.sql))
}

// dollar passes over $tag$ ... $tag$, if that is what stands here.
func (s *scanner) dollar() bool {
	end := s.at + 1
	for end < len(s.sql) && (letter(s.sql[end]) || digit(s.sql[end]) && end > s.at+1) {
		end++
	}
	if end >= len(s.sql) || s.sql[end] != '$' {
		return false
	}
	tag := string(s.sql[s.at : end+1])
	if k := strings.Index(string(s.sql[end+1:]), tag); k >= 0 {
		s.at = end + 1 + k + len(tag)
	} else {
		s.at = len(s.sql)
	}
	return true
}
