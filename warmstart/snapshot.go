package warmstart

import "math"

// This file defines the pieces in which knowledge is stored, and joins them again, each discounted by its own age.

// Snapshot is what changes slowly, with the latest record at that time.
type Snapshot struct {
	At       Timestamp `cbor:"1,keyasint"`
	Profiles []Profile `cbor:"2,keyasint"`
	Quick    Record    `cbor:"3,keyasint"`
	Waits    []Wait    `cbor:"4,keyasint,omitempty"`
}

// Record is what changes fast and costs most to lose. The journal holds such records; the last one counts.
type Record struct {
	At     Timestamp `cbor:"1,keyasint"`
	Known  Knowledge `cbor:"2,keyasint"` // without profiles
	Teams  []Team    `cbor:"3,keyasint,omitempty"`
	Serial uint32    `cbor:"4,keyasint,omitempty"` // of the list of servers
	Up     float64   `cbor:"5,keyasint,omitempty"` // seconds for which the process had run
}

// Team is how far a team was ahead of its siblings, in work over weight.
type Team struct {
	Name  string  `cbor:"1,keyasint"`
	Ahead float64 `cbor:"2,keyasint"`
}

// Wait is a correction of predicted waits, of a team (empty: over all) and a profile, by kind of time.
type Wait struct {
	Team    string       `cbor:"1,keyasint,omitempty"`
	Profile int          `cbor:"2,keyasint"`
	Of      []Correction `cbor:"3,keyasint"`
}

// Correction is a running pair of quantiles with the number of observations behind it.
type Correction struct {
	N   float64 `cbor:"1,keyasint"`
	Q50 float64 `cbor:"2,keyasint"`
	Q90 float64 `cbor:"3,keyasint"`
	Dev float64 `cbor:"4,keyasint"`
}

// Restored is what a new process starts with.
type Restored struct {
	Beliefs
	Teams  map[string]float64 // level by name, discounted
	Waits  []Wait
	Serial uint32
	Age    float64 // of the newest piece, in seconds
	Old    float64 // of the snapshot, in seconds
	Sure   bool    // whether the ages are known
}

// Half-lives and bounds of what is stored for other packages.
const (
	teamHalfLife            = 30.0  // seconds: others are served meanwhile, and a team that is ahead waits for about as long
	waitCorrectionHalfLife  = 600.0 // seconds: what predictions leave out depends on the load
	maxWaitCorrectionWeight = 10.0  // most that an earlier correction weighs, in observations
	maxTeamLead             = 1e6   // core seconds over weight
	maxTeams                = 20000 // as many as the operators' file may have
	maxWaitCorrections      = 5120  // the cells of package waittime, and those over all teams
)

// Restore joins a snapshot and the journal's records since, each discounted by its own age. Of a record from before its snapshot,
// or from another boot that gives no age, knowledge that lives for seconds is dropped.
func Restore(snapshot Snapshot, records []Record, now Timestamp, fingerprints []uint64, refillRates []float64) (r Restored) {
	latest := snapshot.Quick
	if n := len(records); n > 0 {
		latest = records[n-1] // each is complete
	}
	snapshotAge, snapshotAgeKnown := now.Age(snapshot.At)
	fromSnapshot := Believe(Knowledge{Profiles: snapshot.Profiles}, snapshotAge, snapshotAgeKnown, fingerprints, refillRates)
	age, ageKnown := now.Age(latest.At)
	ageKnown = ageKnown && snapshotAgeKnown // an age known of the journal alone means that a clock was set in between
	latest.Known.Profiles = nil
	r.Beliefs = Believe(latest.Known, age, ageKnown, fingerprints, refillRates)
	r.Profiles, r.Why = fromSnapshot.Profiles, append(fromSnapshot.Why, r.Why...)
	r.Serial, r.Age, r.Old, r.Sure = latest.Serial, age, snapshotAge, ageKnown
	r.Teams = map[string]float64{}
	if factor := weight(age, teamHalfLife, ageKnown); factor > 0 && len(latest.Teams) <= maxTeams {
		for _, t := range latest.Teams {
			if inRange(math.Abs(t.Ahead), 0, maxTeamLead) {
				r.Teams[t.Name] = t.Ahead * factor
			}
		}
	}
	if factor := weight(snapshotAge, waitCorrectionHalfLife, snapshotAgeKnown); factor > 0 && len(snapshot.Waits) <= maxWaitCorrections {
		for _, w := range snapshot.Waits {
			if w.Profile < 0 || w.Profile >= len(fingerprints) || w.Profile >= len(snapshot.Profiles) || snapshot.Profiles[w.Profile].Settings != fingerprints[w.Profile] || len(w.Of) > 8 {
				continue
			}
			wait := Wait{Team: w.Team, Profile: w.Profile}
			for _, c := range w.Of {
				if !inRange(c.N, 0, 1e12) || !inRange(math.Abs(c.Q50), 0, 20) || !inRange(math.Abs(c.Q90), 0, 20) || !inRange(c.Dev, 0, 20) {
					c = Correction{}
				}
				c.N = min(c.N, maxWaitCorrectionWeight) * factor
				wait.Of = append(wait.Of, c)
			}
			r.Waits = append(r.Waits, wait)
		}
	}
	return r
}
