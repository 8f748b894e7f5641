package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"dunereach/internal/fake"
)

// TestOddNames: a class name is passed to servers unchanged, unless it has bytes that would end the field, the word or the line of
// the protocol. Requests of such a class fail, are never sent to a server, and do not affect others.
func TestOddNames(t *testing.T) {
	for name, usable := range map[string]bool{
		"look.up:v2_A": true, "größe": true, `a/b;c"d\e`: true, "a=b": true, "-": true, "%20": true,
		"a b": false, "a,ms=1": false, "a\r\nabort": false, "a\tb": false, "a\u00a0b": false, "a\x00b": false,
	} {
		t.Run(fmt.Sprintf("%q", name), func(t *testing.T) {
			w := prepareCluster(t, 1, 1024)
			quoted, _ := json.Marshal(name)
			text := strings.Replace(w.text, `"Name":"lookup"`, `"Name":`+string(quoted), 1)
			if err := os.WriteFile(w.configPath, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			w.start()
			c := fake.NewClient(t, w.addr)
			if usable {
				if s := w.completeRequest(c, name); !strings.HasPrefix(s.Words[2], "kind="+name+",ms=") {
					t.Errorf("the server received %q", s.Words)
				}
			} else {
				seq := w.request(c, name, 30000, "SELECT 1")
				w.expectAnswer(c, fmt.Sprintf(`2/%d call{ 2={ 1=[ ] } }`, seq))
				w.waitForLog("class name can't be told to servers")
			}
			w.completeRequest(c, "order")
		})
	}
}
