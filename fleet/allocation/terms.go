// Package allocation moves shares of a quota, such as a cold server's budget or a tenant's quota, between the members of a fleet by
// need. Without any messages each member has an equal share. A member can relinquish its equal share for a limited time. The owner of
// the quota then grants the relinquished shares, also for a limited time, to the members that need them.
//
// The sum of the shares in use never exceeds the quota, whichever process stops, restarts or receives messages late, because each side
// counts every duration from a time on its own clock that is certainly early enough. The owner counts a relinquishment from the time at
// which it opened the round that the relinquishment answers. A member counts a grant from the time at which it sent the
// relinquishment that the grant answers.
//
// The package does no I/O and reads no clock. Times and durations are in seconds; shares are fractions of the quota.
package allocation

import (
	"errors"
	"fmt"
	"math"

	"dunereach/fleet/registry"
)

// Terms are the parameters of one kind of quota, the same for its owner and all members.
type Terms struct {
	Members            int     // number of equal shares
	RelinquishDuration float64 // seconds for which a member relinquishes its equal share, from when it sends the relinquishment
	GrantLifetime      float64 // seconds for which a grant may be used, from when the relinquishment that it answers was sent
	SettleTime         float64 // seconds for which past use still counts: the time window of the quota's limit
	Drift              float64 // fraction by which a clock may run fast or slow
}

// StandardTerms returns terms under which a grant lasts for three rounds of half a second, so that two rounds may be lost. A
// relinquishment lasts for the round trip of a round's messages, a grant, and the time window of the limit.
func StandardTerms(members int, settle, drift float64) Terms {
	const lifetime, roundTrip = 1.5, 1.5
	t := Terms{Members: max(members, 1), GrantLifetime: lifetime, SettleTime: settle, Drift: drift}
	t.RelinquishDuration = (roundTrip + lifetime + t.longest(settle)) * (1 + drift) / (1 - drift)
	return t
}

// Check returns an error if the terms are invalid.
func (t Terms) Check() error {
	switch {
	case t.Members < 1 || t.Members > MaxMembers:
		return fmt.Errorf("%d members: the number must be from 1 to %d", t.Members, MaxMembers)
	case !(t.Drift >= 0 && t.Drift < 0.5):
		return fmt.Errorf("clock drift %v is not from 0 to below 0.5", t.Drift)
	case !(t.GrantLifetime > 0) || !(t.SettleTime >= 0) || !(t.shortest(t.RelinquishDuration) > t.GrantLifetime+t.longest(t.SettleTime)) || math.IsInf(t.RelinquishDuration, 0):
		return errors.New("a relinquishment must last longer than a grant and the time window of the limit")
	}
	return nil
}

// shortest and longest return the shortest and the longest time that a duration on one clock can take on another clock.
func (t Terms) shortest(l float64) float64 { return l * (1 - t.Drift) / (1 + t.Drift) }
func (t Terms) longest(l float64) float64  { return l * (1 + t.Drift) / (1 - t.Drift) }

// LongestRelinquishment returns the longest time that a relinquishment can last on any clock.
func (t Terms) LongestRelinquishment() float64 { return t.longest(t.RelinquishDuration) }

// Limits of the state that an owner keeps of one quota.
const (
	// MaxMembers is the largest number of members that share a quota.
	MaxMembers = registry.MaxRouters
	// maxIncarnations is the largest number of member incarnations that an owner tracks. A restarted member counts twice until the
	// relinquishment of its old process expires.
	maxIncarnations = registry.MaxSessions
)

// Relinquishment is a member's message to the owner of a quota: the member does not use its equal share for a limited time.
type Relinquishment struct {
	Fence     uint64  `json:"fence"` // of the owner that receives the message
	Round     uint64  `json:"round"` // round of that owner that the message answers
	Tag       uint64  `json:"tag"`   // the grant that answers the message returns it
	Need      float64 `json:"need"`  // share that the member can use
	MinUseful float64 `json:"least"` // smallest share that is useful to the member
	Members   int     `json:"members"`
	Duration  float64 `json:"lays"` // seconds for which the equal share is relinquished
}

// Grant is an owner's message to a member: the share that the member may use.
type Grant struct {
	Fence    uint64  `json:"fence"`
	Round    uint64  `json:"round"` // the member's next relinquishment answers it
	Tag      uint64  `json:"tag"`   // of the relinquishment that the grant answers; 0: the message only announces the round
	Share    float64 `json:"part"`
	Lifetime float64 `json:"life"`
}
