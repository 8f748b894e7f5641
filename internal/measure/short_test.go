package measure

import (
	"os"
	"testing"
)

// TestMain is the writing process too that a part of state kills.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "state-writer" {
		if err := WriteState(os.Args[2]); err != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// TestShort: the short form of each measurement keeps every bound.
func TestShort(t *testing.T) {
	t.Chdir("../..") // where the example deployment is
	for _, s := range All {
		t.Run(s.Name, func(t *testing.T) {
			rows, err := s.Short()
			if err != nil {
				t.Fatal(err)
			}
			if len(rows) == 0 {
				t.Error("nothing was measured")
			}
			for _, row := range rows {
				if !row.Holds() {
					t.Errorf("%s: %.4g, wanted %s", row.Name, row.Value, row.bound())
				}
			}
		})
	}
}
