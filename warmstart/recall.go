package warmstart

import "math"

// This file says in what pieces knowledge is kept, and joins them again, each believed by its own age.

// Kept is what a snapshot holds: what changes slowly, and the quick part as it was then.
type Kept struct {
	At       Moment    `cbor:"1,keyasint"`
	Profiles []Profile `cbor:"2,keyasint"`
	Quick    Quick     `cbor:"3,keyasint"`
	Waits    []Wait    `cbor:"4,keyasint,omitempty"`
}

// Quick is what changes fast and costs most to forget. A record of the journal is one: the last counts.
type Quick struct {
	At     Moment  `cbor:"1,keyasint"`
	Known  Known   `cbor:"2,keyasint"` // its profiles are left out
	Teams  []Team  `cbor:"3,keyasint,omitempty"`
	Serial uint32  `cbor:"4,keyasint,omitempty"` // of the list of engines
	Up     float64 `cbor:"5,keyasint,omitempty"` // seconds that the process had run
}

// Team is how far a team was ahead of those that it shares with, in work over weight.
type Team struct {
	Name  string  `cbor:"1,keyasint"`
	Ahead float64 `cbor:"2,keyasint"`
}

// Wait is a correction of told waits, of a team ("": over all) and a profile, by kind of time.
type Wait struct {
	Team    string       `cbor:"1,keyasint,omitempty"`
	Profile int          `cbor:"2,keyasint"`
	Of      []Correction `cbor:"3,keyasint"`
}

// Correction is a running pair of quantiles with how many observations stand behind it.
type Correction struct {
	N   float64 `cbor:"1,keyasint"`
	Q50 float64 `cbor:"2,keyasint"`
	Q90 float64 `cbor:"3,keyasint"`
	Dev float64 `cbor:"4,keyasint"`
}

// Recalled is what a new process starts with.
type Recalled struct {
	Beliefs
	Teams  map[string]float64 // ahead, by now
	Waits  []Wait
	Serial uint32
	Age    float64 // seconds of the newest piece
	Old    float64 // and of the snapshot
	Sure   bool    // that the age is known
}

const (
	teamHalves = 30.0  // seconds: others are served meanwhile, and who is ahead stands back for about as long
	waitHalves = 600.0 // what told waits leave out is the load's, and moves with it
	mostWait   = 10.0  // observations that a correction from before weighs at most
	mostAhead  = 1e6   // core seconds over weight
	mostTeams  = 20000 // as many as the operators' file has room for
	mostWaits  = 5120  // the cells of a book, and those over all teams
)

// Recall joins a snapshot and the journal's records since, and believes each piece by its own age. A record from before its snapshot, or
// of another start of the machine's clock that gives no age, is passed over for the part that lives for seconds.
func Recall(k Kept, records []Quick, now Moment, settings []uint64, rates []float64) (r Recalled) {
	quick := k.Quick
	if n := len(records); n > 0 {
		quick = records[n-1] // each is whole
	}
	old, sure := now.Age(k.At)
	slow := Believe(Known{Profiles: k.Profiles}, old, sure, settings, rates)
	age, known := now.Age(quick.At)
	known = known && sure // an age that only the journal knows is a clock that moved between
	quick.Known.Profiles = nil
	r.Beliefs = Believe(quick.Known, age, known, settings, rates)
	r.Profiles, r.Why = slow.Profiles, append(slow.Why, r.Why...)
	r.Serial, r.Age, r.Old, r.Sure = quick.Serial, age, old, known
	r.Teams = map[string]float64{}
	if p := part(age, teamHalves, known); p > 0 && len(quick.Teams) <= mostTeams {
		for _, t := range quick.Teams {
			if good(math.Abs(t.Ahead), 0, mostAhead) {
				r.Teams[t.Name] = t.Ahead * p
			}
		}
	}
	if p := part(old, waitHalves, sure); p > 0 && len(k.Waits) <= mostWaits {
		for _, w := range k.Waits {
			if w.Profile < 0 || w.Profile >= len(settings) || w.Profile >= len(k.Profiles) || k.Profiles[w.Profile].Settings != settings[w.Profile] || len(w.Of) > 8 {
				continue
			}
			all := Wait{Team: w.Team, Profile: w.Profile}
			for _, c := range w.Of {
				if !good(c.N, 0, 1e12) || !good(math.Abs(c.Q50), 0, 20) || !good(math.Abs(c.Q90), 0, 20) || !good(c.Dev, 0, 20) {
					c = Correction{}
				}
				c.N = min(c.N, mostWait) * p
				all.Of = append(all.Of, c)
			}
			r.Waits = append(r.Waits, all)
		}
	}
	return r
}
