package warmstart

import (
	"math"
	"testing"
)

// TestRestoreDiscountsEachPart guards against discounting a journal record by the age of its snapshot or the reverse:
// here the last record is a second old and the snapshot ten minutes.
func TestRestoreDiscountsEachPart(t *testing.T) {
	settings, rates := []uint64{7}, []float64{2}
	snapshot := Snapshot{At: Timestamp{Wall: 1000, Up: 500, Boot: "a"},
		Profiles: []Profile{{Settings: 7, Work: 0.2, Seen: 100, Hinted: 10, Worked: 20, Slow: 1, Times: Times{Counts: []float64{100}, Sum: 20}}},
		Quick:    JournalRecord{At: Timestamp{Wall: 1000, Up: 500, Boot: "a"}, Known: Knowledge{Engines: []Server{{ID: 1, Ill: true, Fails: 0.9, Pause: 1}}}},
		Waits:    []WaitCorrection{{Profile: 0, Of: []Correction{{N: 100, Q50: 0.5, Q90: 1}}}, {Profile: 3}}}
	records := []JournalRecord{{At: Timestamp{Wall: 1001, Up: 501, Boot: "a"}},
		{At: Timestamp{Wall: 1600, Up: 1100, Boot: "a"}, Serial: 9, Teams: []TeamLead{{"x", 4}, {"mad", math.Inf(1)}},
			Known: Knowledge{Engines: []Server{{ID: 2, Ill: true, Fails: 0.9, Pause: 1}}, Tenants: []Tenant{{Left: -10, Rate: 2}}}}}
	r := Restore(snapshot, records, Timestamp{Wall: 1601, Up: 1101, Boot: "a"}, settings, rates)
	if len(r.Engines) != 1 || r.Engines[0].ID != 2 || !r.Engines[0].Ill || r.Serial != 9 {
		t.Errorf("servers %+v, serial %d: not those of the last record", r.Engines, r.Serial)
	}
	if math.Abs(r.Tenants[0].Left+8) > 1e-9 || math.Abs(r.Age-1) > 1e-9 || math.Abs(r.SnapshotAge-601) > 1e-9 || !r.AgesKnown {
		t.Errorf("a debt of 10 was paid off for 1 s: %+v, ages %v and %v", r.Tenants, r.Age, r.SnapshotAge)
	}
	if n := r.Profiles[0].Times.N(); math.Abs(n-20) > 0.1 {
		t.Errorf("%v processing times of a snapshot ten minutes old, not 20", n)
	}
	if x := r.Teams["x"]; x < 3.8 || x > 4 || len(r.Teams) != 1 {
		t.Errorf("teams %v", r.Teams)
	}
	if len(r.Waits) != 1 || math.Abs(r.Waits[0].Of[0].N-5) > 0.1 {
		t.Errorf("waits %+v", r.Waits)
	}
	// The wall clock went backwards since the snapshot: all knowledge of the journal record is dropped.
	r = Restore(snapshot, records, Timestamp{Wall: 900, Up: 10, Boot: "b"}, settings, rates)
	if r.AgesKnown || len(r.Engines) != 0 || !math.IsInf(r.Tenants[0].Left, 1) || len(r.Teams) != 0 {
		t.Errorf("unknown age: %+v", r)
	}
	if n := r.Profiles[0].Times.N(); n <= 0 || n > 10.1 {
		t.Errorf("%v processing times of unknown age, more than a quarter of 40 or none", n)
	}
	// The snapshot has a time in the future: a clock was set in between, so the record's age may be wrong too.
	ahead := snapshot
	ahead.At = Timestamp{Wall: 5000, Up: 9, Boot: "z"}
	if r = Restore(ahead, records, Timestamp{Wall: 1601, Up: 1101, Boot: "a"}, settings, rates); r.AgesKnown || len(r.Engines) != 0 || len(r.Teams) != 0 {
		t.Errorf("only the age of the record is known: %+v", r)
	}
	// If the settings of a profile have changed, the corrections of its waits are dropped with it.
	if r = Restore(snapshot, nil, Timestamp{Wall: 1001, Up: 501, Boot: "a"}, []uint64{8}, rates); len(r.Waits) != 0 || len(r.DropReasons) == 0 {
		t.Errorf("changed profile: %+v", r)
	}
}
