package measure

import (
	"os"
	"testing"
)

// TestMain also runs as the writer process that the state measurement starts and kills.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "state-writer" {
		if err := WriteState(os.Args[2]); err != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// TestShort checks that the short form of each measurement is within all bounds.
func TestShort(t *testing.T) {
	t.Chdir("../..") // contains the example deployment
	for _, s := range Subsystems {
		t.Run(s.Name, func(t *testing.T) {
			rows, err := s.Short()
			if err != nil {
				t.Fatal(err)
			}
			if len(rows) == 0 {
				t.Error("nothing was measured")
			}
			for _, row := range rows {
				if !row.WithinBounds() {
					t.Errorf("%s: %.4g, wanted %s", row.Name, row.Value, row.bound())
				}
			}
		})
	}
}
