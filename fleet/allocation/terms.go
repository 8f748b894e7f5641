// Package allocation moves shares of a quota between the members of a fleet by need: a cold server's budget, a tenant's quota. By
// itself every member has the equal share. A member that relinquishes does without its equal share for a time; the quota's owner
// grants what was relinquished to those that need it, for a time.
//
// The sum of what may be used never exceeds the quota, whichever process stops, restarts or receives late: each side counts every
// duration from a time on its own clock that is surely early enough. The owner counts a relinquishment from when it opened the round
// that it answers, a member counts a grant from when it sent the relinquishment that the grant answers.
//
// The package does no I/O and has no clock. Times and durations are seconds, shares are fractions of the quota.
package allocation

import (
	"errors"
	"fmt"
	"math"

	"dunereach/fleet/registry"
)

// Terms are the terms of one kind of quota.
type Terms struct {
	Members       int     // of equal shares
	RelinquishFor float64 // seconds for which a member relinquishes its equal share, from when it says so
	GrantLifetime float64 // seconds for which a grant may be used, from the relinquishment that it answers
	Settle        float64 // seconds for which use still counts: the window of the quota's limit
	Drift         float64 // fraction by which a clock may run fast or slow
}

// Standard returns terms under which a grant outlives three rounds of half a second, so that two may be lost, and a relinquishment
// outlives a round's way there and back, a grant, and the window.
func Standard(members int, settle, drift float64) Terms {
	const lifetime, roundTrip = 1.5, 1.5
	t := Terms{Members: max(members, 1), GrantLifetime: lifetime, Settle: settle, Drift: drift}
	t.RelinquishFor = (roundTrip + lifetime + t.longest(settle)) * (1 + drift) / (1 - drift)
	return t
}

// Check returns what is wrong with terms, or nil.
func (t Terms) Check() error {
	switch {
	case t.Members < 1 || t.Members > MaxMembers:
		return fmt.Errorf("%d members: 1 to %d can be", t.Members, MaxMembers)
	case !(t.Drift >= 0 && t.Drift < 0.5):
		return fmt.Errorf("a drift of %v", t.Drift)
	case !(t.GrantLifetime > 0) || !(t.Settle >= 0) || !(t.shortest(t.RelinquishFor) > t.GrantLifetime+t.longest(t.Settle)) || math.IsInf(t.RelinquishFor, 0):
		return errors.New("a pledge has to outlive a deal and the window")
	}
	return nil
}

// shortest and longest return how long a duration on one clock may last on another.
func (t Terms) shortest(l float64) float64 { return l * (1 - t.Drift) / (1 + t.Drift) }
func (t Terms) longest(l float64) float64  { return l * (1 + t.Drift) / (1 - t.Drift) }

// Longest returns for how long a relinquishment may hold on any clock.
func (t Terms) Longest() float64 { return t.longest(t.RelinquishFor) }

// Bounds of one owner's account.
const (
	// MaxMembers is how many members a quota can have.
	MaxMembers = registry.MostRouters
	// maxIncarnations is how many processes of members are kept account of. A member that restarts is there twice until what its old
	// process relinquished is over.
	maxIncarnations = registry.MostSessions
)

// Relinquishment is a member's message to the owner of a quota: it does without its equal share for a time.
type Relinquishment struct {
	Fence    uint64  `json:"fence"` // of the owner that it is sent to
	Round    uint64  `json:"round"` // of that owner, which it answers
	Tag      uint64  `json:"tag"`   // returned with the grant
	Need     float64 `json:"need"`  // share that it has use for
	Least    float64 `json:"least"` // least share that is of use to it
	Members  int     `json:"members"`
	Duration float64 `json:"lays"` // seconds for which the equal share is relinquished
}

// Grant is an owner's message to a member: the share that it may use.
type Grant struct {
	Fence    uint64  `json:"fence"`
	Round    uint64  `json:"round"` // to be answered by the next relinquishment
	Tag      uint64  `json:"tag"`   // of the relinquishment that it answers; 0: only the round is announced
	Share    float64 `json:"part"`
	Lifetime float64 `json:"life"`
}
