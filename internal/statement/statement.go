// Package statement finds what the decisions need in an SQL statement: the group of tables that it reads or
// writes. The statement itself is never changed.
package statement

import "bytes"

// Group is the number behind the last underscore of the schema of the first table that a statement reads or
// writes. A schema without a number, such as "staging", does not count. None found is 0 and false.
func Group(sql []byte) (uint32, bool) {
	s := scanner{sql: sql}
	var (
		table   bool   // a table's name may stand here
		list    bool   // a comma leads to another
		queries uint64 // a bit for each open parenthesis: it holds a query, so that FROM in it names tables
		last    []byte // the token before
	)
	queries = 1
	for t := s.next(); len(t) > 0; last, t = t, s.next() {
		switch {
		case t[0] == '(':
			inner := s.peek()
			queries <<= 1
			if table || word(inner, "select") || word(inner, "with") || word(inner, "(") {
				queries |= 1
			}
			continue
		case t[0] == ')':
			queries, table, list = queries>>1, false, false
			continue
		case t[0] == ',':
			table = list
			continue
		case !name(t):
			table = false
			continue
		case t[0] == '"':
		case word(t, "from") && queries&1 == 1 && !word(last, "distinct"): // not extract(day FROM x)
			table, list = true, true
			continue
		case word(t, "join") || word(t, "into") || word(t, "update") || word(t, "table") || word(t, "using"):
			table, list = true, true
			continue
		case table && (word(t, "only") || word(t, "lateral") || word(t, "if") || word(t, "not") || word(t, "exists")):
			continue
		case word(t, "where") || word(t, "on") || word(t, "set") || word(t, "select") || word(t, "group") ||
			word(t, "order") || word(t, "values") || word(t, "having") || word(t, "limit"):
			table, list = false, false
			continue
		}
		if !table {
			continue
		}
		table = false
		schema := t
		for p := s.peek(); word(p, "."); p = s.peek() { // a database may stand before the schema
			s.next()
			next := s.next()
			if !name(next) {
				break
			}
			if !word(s.peek(), ".") {
				if n, ok := number(schema); ok {
					return n, true
				}
			}
			schema = next
		}
	}
	return 0, false
}

// number of a schema's name: the digits behind its last underscore.
func number(schema []byte) (uint32, bool) {
	schema = bytes.Trim(schema, `"`)
	digits := schema[bytes.LastIndexByte(schema, '_')+1:]
	if len(digits) == len(schema) || len(digits) == 0 || len(digits) > 9 {
		return 0, false
	}
	n := uint32(0)
	for _, c := range digits {
		if !digit(c) {
			return 0, false
		}
		n = n*10 + uint32(c-'0')
	}
	return n, true
}

// word compares a token with one in lower case.
func word(t []byte, lower string) bool {
	if len(t) != len(lower) {
		return false
	}
	for k, c := range t {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[k] {
			return false
		}
	}
	return true
}

// name tells an identifier, quoted or not, from other tokens.
func name(t []byte) bool { return len(t) > 0 && (letter(t[0]) || t[0] == '"') }

func letter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func digit(c byte) bool { return c >= '0' && c <= '9' }

func part(c byte) bool { return letter(c) || digit(c) || c == '$' }

// scanner cuts SQL into tokens: names, numbers and single signs. A string comes out as one token that starts
// with its quote or dollar; comments and white space come out not at all.
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
		escapes := from > 0 && s.sql[from-1]|0x20 == 'e' && (from < 2 || !part(s.sql[from-2])) // E'...'
		s.quoted('\'', escapes)
	case c == '"':
		s.quoted('"', false)
	case c == '$' && s.dollar():
	case letter(c) || digit(c):
		for s.at < len(s.sql) && part(s.sql[s.at]) {
			s.at++
		}
	default:
		s.at++
	}
	return s.sql[from:s.at]
}

// blank passes over white space and comments: to the line's end, and nested blocks.
func (s *scanner) blank() {
	for s.at < len(s.sql) {
		rest := s.sql[s.at:]
		switch c := rest[0]; {
		case c == ' ' || c >= '\t' && c <= '\r':
			s.at++
		case bytes.HasPrefix(rest, []byte("--")):
			if end := bytes.IndexByte(rest, '\n'); end >= 0 {
				s.at += end
			} else {
				s.at = len(s.sql)
			}
		case bytes.HasPrefix(rest, []byte("/*")):
			s.block()
		default:
			return
		}
	}
}

func (s *scanner) block() {
	for depth := 0; s.at < len(s.sql); {
		switch rest := s.sql[s.at:]; {
		case bytes.HasPrefix(rest, []byte("/*")):
			depth, s.at = depth+1, s.at+2
		case bytes.HasPrefix(rest, []byte("*/")):
			if depth, s.at = depth-1, s.at+2; depth == 0 {
				return
			}
		default:
			s.at++
		}
	}
}

// quoted passes over a quoted run. A doubled quote stands for one, and what is behind a backslash for itself
// where that escapes.
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
	s.at = len(s.sql)
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
	tag := s.sql[s.at : end+1]
	if k := bytes.Index(s.sql[end+1:], tag); k >= 0 {
		s.at = end + 1 + k + len(tag)
	} else {
		s.at = len(s.sql)
	}
	return true
}
