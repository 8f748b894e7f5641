// Package statement extracts the group of the tables that an SQL statement reads or writes, which admission decisions
// need. It never changes the statement.
package statement

import "bytes"

// TableGroup returns the number after the last underscore in the schema of the first table that a statement reads or
// writes. A schema without a number, such as "staging", is skipped. Without any group it returns 0 and false.
func TableGroup(sql []byte) (uint32, bool) {
	s := scanner{sql: sql}
	var (
		expectTable bool   // a table's name may come next
		inTableList bool   // a comma is followed by another table
		queryLevels uint64 // one bit for each open parenthesis: set if it encloses a query, in which FROM precedes tables
		previous    []byte // the token before
	)
	queryLevels = 1
	for t := s.next(); len(t) > 0; previous, t = t, s.next() {
		switch {
		case t[0] == '(':
			inner := s.peek()
			queryLevels <<= 1
			if expectTable || isWord(inner, "select") || isWord(inner, "with") || isWord(inner, "(") {
				queryLevels |= 1
			}
			continue
		case t[0] == ')':
			queryLevels, expectTable, inTableList = queryLevels>>1, false, false
			continue
		case t[0] == ',':
			expectTable = inTableList
			continue
		case !isName(t):
			expectTable = false
			continue
		case t[0] == '"':
		case isWord(t, "from") && queryLevels&1 == 1 && !isWord(previous, "distinct"): // not extract(day FROM x)
			expectTable, inTableList = true, true
			continue
		case isWord(t, "join") || isWord(t, "into") || isWord(t, "update") || isWord(t, "table") || isWord(t, "using"):
			expectTable, inTableList = true, true
			continue
		case expectTable && (isWord(t, "only") || isWord(t, "lateral") || isWord(t, "if") || isWord(t, "not") || isWord(t, "exists")):
			continue
		case isWord(t, "where") || isWord(t, "on") || isWord(t, "set") || isWord(t, "select") || isWord(t, "group") ||
			isWord(t, "order") || isWord(t, "values") || isWord(t, "having") || isWord(t, "limit"):
			expectTable, inTableList = false, false
			continue
		}
		if !expectTable {
			continue
		}
		expectTable = false
		schema := t
		for p := s.peek(); isWord(p, "."); p = s.peek() { // a database may precede the schema
			s.next()
			next := s.next()
			if !isName(next) {
				break
			}
			if !isWord(s.peek(), ".") {
				if n, ok := schemaNumber(schema); ok {
					return n, true
				}
			}
			schema = next
		}
	}
	return 0, false
}

// schemaNumber returns the digits after the last underscore of a schema's name.
func schemaNumber(schema []byte) (uint32, bool) {
	schema = bytes.Trim(schema, `"`)
	digits := schema[bytes.LastIndexByte(schema, '_')+1:]
	if len(digits) == len(schema) || len(digits) == 0 || len(digits) > 9 {
		return 0, false
	}
	n := uint32(0)
	for _, c := range digits {
		if !isDigit(c) {
			return 0, false
		}
		n = n*10 + uint32(c-'0')
	}
	return n, true
}

// isWord compares a token with a lower-case word, ignoring the token's case.
func isWord(t []byte, lower string) bool {
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

// isName reports whether a token is an identifier, quoted or not.
func isName(t []byte) bool { return len(t) > 0 && (isNameStart(t[0]) || t[0] == '"') }

func isNameStart(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isNamePart(c byte) bool { return isNameStart(c) || isDigit(c) || c == '$' }

// scanner splits SQL into tokens: names, numbers and single characters. A string is one token that starts with its
// quote or dollar sign. Comments and white space are skipped.
type scanner struct {
	sql []byte
	pos int
}

func (s *scanner) peek() []byte {
	saved := s.pos
	t := s.next()
	s.pos = saved
	return t
}

// next returns the next token, which is empty at the end.
func (s *scanner) next() []byte {
	s.skipBlank()
	from := s.pos
	if from >= len(s.sql) {
		return nil
	}
	switch c := s.sql[from]; {
	case c == '\'':
		backslashEscapes := from > 0 && s.sql[from-1]|0x20 == 'e' && (from < 2 || !isNamePart(s.sql[from-2])) // E'...'
		s.skipQuoted('\'', backslashEscapes)
	case c == '"':
		s.skipQuoted('"', false)
	case c == '$' && s.skipDollarQuoted():
	case isNameStart(c) || isDigit(c):
		for s.pos < len(s.sql) && isNamePart(s.sql[s.pos]) {
			s.pos++
		}
	default:
		s.pos++
	}
	return s.sql[from:s.pos]
}

// skipBlank skips white space, line comments and nested block comments.
func (s *scanner) skipBlank() {
	for s.pos < len(s.sql) {
		rest := s.sql[s.pos:]
		switch c := rest[0]; {
		case c == ' ' || c >= '\t' && c <= '\r':
			s.pos++
		case bytes.HasPrefix(rest, []byte("--")):
			if end := bytes.IndexByte(rest, '\n'); end >= 0 {
				s.pos += end
			} else {
				s.pos = len(s.sql)
			}
		case bytes.HasPrefix(rest, []byte("/*")):
			s.skipBlockComment()
		default:
			return
		}
	}
}

func (s *scanner) skipBlockComment() {
	for depth := 0; s.pos < len(s.sql); {
		switch rest := s.sql[s.pos:]; {
		case bytes.HasPrefix(rest, []byte("/*")):
			depth, s.pos = depth+1, s.pos+2
		case bytes.HasPrefix(rest, []byte("*/")):
			if depth, s.pos = depth-1, s.pos+2; depth == 0 {
				return
			}
		default:
			s.pos++
		}
	}
}

// skipQuoted skips a quoted text. A doubled quote stands for one quote. With backslashEscapes, the character after a
// backslash stands for itself.
func (s *scanner) skipQuoted(q byte, backslashEscapes bool) {
	for s.pos++; s.pos < len(s.sql); s.pos++ {
		switch c := s.sql[s.pos]; {
		case backslashEscapes && c == '\\':
			s.pos++
		case c == q && s.pos+1 < len(s.sql) && s.sql[s.pos+1] == q:
			s.pos++
		case c == q:
			s.pos++
			return
		}
	}
	s.pos = len(s.sql)
}

// skipDollarQuoted skips a dollar-quoted string, $tag$ ... $tag$, and reports whether there is one.
func (s *scanner) skipDollarQuoted() bool {
	end := s.pos + 1
	for end < len(s.sql) && (isNameStart(s.sql[end]) || isDigit(s.sql[end]) && end > s.pos+1) {
		end++
	}
	if end >= len(s.sql) || s.sql[end] != '$' {
		return false
	}
	tag := s.sql[s.pos : end+1]
	if k := bytes.Index(s.sql[end+1:], tag); k >= 0 {
		s.pos = end + 1 + k + len(tag)
	} else {
		s.pos = len(s.sql)
	}
	return true
}
