package lineproto

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

type reader struct{ strings.Builder }

func (r *reader) HandleMessage(a Message) bool {
	fmt.Fprintf(r, "%s %s %s %q\n", a.ID, a.Verb, a.Fields, a.Body)
	return string(a.Verb) != "stop"
}

// feed parses a text in pieces of the given size and returns the messages and the error.
func feed(text string, size int) string {
	var p Parser
	var r reader
	for at := 0; at < len(text); at += size {
		if err := p.Feed([]byte(text[at:min(at+size, len(text))]), &r); err != nil {
			return r.String() + err.Error()
		}
	}
	return r.String()
}

func TestAnswers(t *testing.T) {
	const bad = "malformed line"
	for text, want := range map[string]string{
		"7 served count=2,ticks=3.5 4\r\na\r\n\r\r\n8 overload - 0\r\n\r\n": "7 served count=2,ticks=3.5 \"a\\r\\n\\r\"\n8 overload - \"\"\n",
		"7 served - 4\r\nab":                     "",
		"7 served - 1\r\nabc":                    bad,
		"7 served 4\r\n":                         bad,
		"7 served - 4 5\r\n":                     bad,
		"7 served - -4\r\n":                      bad,
		"7 served - 4294967296\r\n":              bad,
		"7  served - 0\r\n":                      bad,
		"\r\n":                                   bad,
		"7 stop - 0\r\n\r\n8 served - 0\r\n\r\n": "7 stop - \"\"\n" + bad,
		strings.Repeat("a", maxLine):             bad,
		"7 rows pos=1 9999999\r\n":               bad,
		"7 se#ved - 0\r\n":                       bad,
		"7\x00 served - 0\r\n":                   bad,
		"7 served count 0\r\n":                   bad,
		"7 served count=2,=3 0\r\n":              bad,
		"7 served count=2, 0\r\n":                bad,
	} {
		for _, size := range []int{1, 3, len(text)} {
			if diff := cmp.Diff(want, feed(text, size)); diff != "" {
				t.Errorf("%.40q in pieces of %d (-want +got):\n%s", text, size, diff)
			}
		}
	}
	if f := []byte("count=2,res=p,count2=3"); string(Field(f, "res")) != "p" || Field(f, "coun") != nil || string(Field(f, "count2")) != "3" {
		t.Errorf("fields of %s", f)
	}
}

// FuzzFeed: the same messages are read from a text in one piece and byte by byte.
func FuzzFeed(f *testing.F) {
	f.Add("7 served count=2 4\r\nabcd\r\n8 stop - 0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		if len(text) == 0 {
			return
		}
		if diff := cmp.Diff(feed(text, 1), feed(text, len(text))); diff != "" {
			t.Error(diff)
		}
	})
}
