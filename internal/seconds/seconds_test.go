package seconds

import (
	"encoding/json"
	"testing"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]float64{"2": 2, "0.5": 0.5, "2s": 2, "500ms": 0.5, "1m30s": 90, "0": 0} {
		if got, err := Parse(text); got != want || err != nil {
			t.Errorf("%s: %v %v", text, got, err)
		}
	}
	for _, text := range []string{"", "two", "2 s", "-1", "-2s", "NaN", "Inf", "1e999"} {
		if got, err := Parse(text); err == nil {
			t.Errorf("%q is accepted as %v", text, got)
		}
	}
}

// TestFlag: an invalid text leaves the value unchanged.
func TestFlag(t *testing.T) {
	f := Flag(4)
	if err := f.Set("soon"); err == nil || f != 4 {
		t.Errorf("%v after %v", f, err)
	}
	if err := f.Set("1500ms"); err != nil || f != 1.5 || f.String() != "1.5s" {
		t.Errorf("%v %v", f.String(), err)
	}
}

// TestDuration: both forms in JSON are accepted, invalid ones are not.
func TestLength(t *testing.T) {
	for text, want := range map[string]Duration{`2`: 2, `"2s"`: 2, `"0.5"`: 0.5, `"1m"`: 60} {
		var l Duration
		if err := json.Unmarshal([]byte(text), &l); err != nil || l != want {
			t.Errorf("%s: %v %v", text, l, err)
		}
	}
	for _, text := range []string{`"soon"`, `true`, `[2]`, `"-1s"`} {
		var l Duration
		if err := json.Unmarshal([]byte(text), &l); err == nil {
			t.Errorf("%s is accepted as %v", text, l)
		}
	}
}
