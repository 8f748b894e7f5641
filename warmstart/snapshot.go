package warmstart

import "math"

// This file defines the parts in which knowledge is stored, a snapshot and journal records, and combines them on a
// restart. Each part is discounted by its own age.

// Snapshot holds the knowledge that changes slowly, and the latest journal record at the time of the snapshot.
type Snapshot struct {
	At       Timestamp        `cbor:"1,keyasint"`
	Profiles []Profile        `cbor:"2,keyasint"`
	Quick    JournalRecord    `cbor:"3,keyasint"` // latest journal record
	Waits    []WaitCorrection `cbor:"4,keyasint,omitempty"`
}

// JournalRecord holds the knowledge that changes fast and is most costly to lose. The journal is a sequence of such
// records. Each is complete, so that only the last one is used.
type JournalRecord struct {
	At     Timestamp  `cbor:"1,keyasint"`
	Known  Knowledge  `cbor:"2,keyasint"` // without profiles
	Teams  []TeamLead `cbor:"3,keyasint,omitempty"`
	Serial uint32     `cbor:"4,keyasint,omitempty"` // serial number of the server list
	Up     float64    `cbor:"5,keyasint,omitempty"` // seconds since the start of the process
}

// TeamLead is the lead of a team's virtual time over that of its siblings.
type TeamLead struct {
	Name  string  `cbor:"1,keyasint"`
	Ahead float64 `cbor:"2,keyasint"` // core seconds over weight
}

// WaitCorrection holds the corrections of the wait times that package waittime predicts for a team and a profile.
type WaitCorrection struct {
	Team    string       `cbor:"1,keyasint,omitempty"` // empty: over all teams
	Profile int          `cbor:"2,keyasint"`
	Of      []Correction `cbor:"3,keyasint"` // by kind of time
}

// Correction is the state of two running quantiles of the logarithm of actual over predicted time.
type Correction struct {
	N   float64 `cbor:"1,keyasint"` // observations
	Q50 float64 `cbor:"2,keyasint"`
	Q90 float64 `cbor:"3,keyasint"`
	Dev float64 `cbor:"4,keyasint"` // mean deviation
}

// Restored is the state with which a new process starts.
type Restored struct {
	DiscountedKnowledge
	Teams       map[string]float64 // lead by name of the team, discounted
	Waits       []WaitCorrection
	Serial      uint32  // serial number of the server list
	Age         float64 // age of the latest record, in seconds
	SnapshotAge float64 // age of the snapshot, in seconds
	AgesKnown   bool    // both ages are known
}

// Half-lives and bounds of the knowledge that is stored for other packages.
const (
	teamHalfLife            = 30.0  // seconds: a team that is ahead waits for about this long while others are served
	waitCorrectionHalfLife  = 600.0 // seconds: the error of the predictions depends on the load
	maxWaitCorrectionWeight = 10.0  // weight of a restored correction, in observations
	maxTeamLead             = 1e6   // core seconds over weight
	maxTeams                = 20000 // the most that the operators' configuration file may have
	maxWaitCorrections      = 5120  // 4096 cells of package waittime, and 1024 over all teams, one for each profile
)

// Restore combines a snapshot and the journal records written since. Each part is discounted by its own age. If the age
// of either is unknown, because a clock went backwards or was set far ahead, the fast-changing knowledge of the last
// record is dropped.
func Restore(snapshot Snapshot, records []JournalRecord, now Timestamp, fingerprints []uint64, refillRates []float64) (r Restored) {
	latest := snapshot.Quick
	if n := len(records); n > 0 {
		latest = records[n-1] // each record is complete
	}
	snapshotAge, snapshotAgeKnown := now.Age(snapshot.At)
	fromSnapshot := Discount(Knowledge{Profiles: snapshot.Profiles}, snapshotAge, snapshotAgeKnown, fingerprints, refillRates)
	age, ageKnown := now.Age(latest.At)
	ageKnown = ageKnown && snapshotAgeKnown // if only the record's age is known, a clock was set in between
	latest.Known.Profiles = nil
	r.DiscountedKnowledge = Discount(latest.Known, age, ageKnown, fingerprints, refillRates)
	r.Profiles, r.DropReasons = fromSnapshot.Profiles, append(fromSnapshot.DropReasons, r.DropReasons...)
	r.Serial, r.Age, r.SnapshotAge, r.AgesKnown = latest.Serial, age, snapshotAge, ageKnown
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
			wait := WaitCorrection{Team: w.Team, Profile: w.Profile}
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
