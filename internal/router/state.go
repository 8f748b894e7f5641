package router

import (
	"context"

	"dunereach/admission"
	"dunereach/waittime"
	"dunereach/warmstart"

	"golang.org/x/sync/errgroup"
)

// This file exports what the router has learned, for the process that runs after it, and restores what an earlier process saved. Package
// warmstart decides how much of the saved state is trusted.

// State saves the learned state (internal/state implements it). Its methods are called by the owner's goroutine, or before that starts.
// They don't wait for the disk, except Recall, which waits for a bounded time.
type State interface {
	Recall(r *Router)                               // restores saved state before the start
	Run(ctx context.Context, group *errgroup.Group) // starts goroutines that end with the context, after a last snapshot
	Tick(now float64, r *Router)                    // called about ten times a second
	End(r *Router)                                  // called last: nothing more will be learned
}

// FastState returns the learned state that changes fast. SlowState returns the rest.
func (r *Router) FastState() (record warmstart.JournalRecord) {
	record.Known = r.controller.Learned()
	record.Known.Profiles = nil
	if r.teams != nil {
		for name, level := range r.teams.VirtualTimeLeads() {
			record.Teams = append(record.Teams, warmstart.TeamLead{Name: name, Ahead: level})
		}
	}
	record.Serial = r.listSerial
	return record
}

// SlowState returns the learned state that changes slowly and is saved rarely: the profiles and the distributions of their waits.
func (r *Router) SlowState() (profiles []warmstart.Profile, all []warmstart.WaitCorrection) {
	profiles = r.controller.Learned().Profiles
	estimator := r.set.Admission.Waits
	if estimator == nil {
		return profiles, nil
	}
	for _, l := range estimator.Learned() {
		w := warmstart.WaitCorrection{Profile: l.Profile}
		if l.Team >= 0 {
			if r.teams == nil {
				continue // without its team's name it would apply to all teams
			}
			w.Team = r.teams.Name(l.Team)
		}
		for _, c := range l.Corrections {
			w.Of = append(w.Of, warmstart.Correction{N: c.N, Q50: c.Q50, Q90: c.Q90, Dev: c.Dev})
		}
		all = append(all, w)
	}
	return profiles, all
}

// ConfigFingerprints returns the fingerprints of the current profile settings and the tenants' rates.
func (r *Router) ConfigFingerprints() (settings []uint64, rates []float64) {
	return admission.Fingerprints(r.set.Admission.Profiles), r.set.Admission.TenantRates()
}

// RestoreState sets the state that the router starts with.
func (r *Router) RestoreState(restored warmstart.Restored) {
	r.set.Admission.Memory = &restored.DiscountedKnowledge
	if r.teams != nil {
		r.teams.RestoreVirtualTimeLeads(restored.Teams)
	}
	estimator := r.set.Admission.Waits
	if estimator == nil {
		return
	}
	var all []waittime.Learned
	for _, w := range restored.Waits {
		l := waittime.Learned{Team: -1, Profile: w.Profile}
		if w.Team != "" {
			team, ok := 0, false
			if r.teams != nil {
				team, ok = r.teams.TeamByName(w.Team)
			}
			if !ok {
				continue
			}
			l.Team = team
		}
		for n, c := range w.Of {
			if n < len(l.Corrections) {
				l.Corrections[n] = waittime.Correction{N: c.N, Q50: c.Q50, Q90: c.Q90, Dev: c.Dev}
			}
		}
		all = append(all, l)
	}
	estimator.Restore(all)
}
