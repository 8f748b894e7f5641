package router

import (
	"context"

	"dunereach/admission"
	"dunereach/waittime"
	"dunereach/warmstart"

	"golang.org/x/sync/errgroup"
)

// This file gathers what the router has learned, for a process that comes after it, and hands it what an earlier one knew. It decides
// nothing: package memory says what of it is believed.

// State keeps what is learned (internal/state has one). All of it is called by the owner's goroutine or before that begins, and waits for
// no disk, but for Recall, which waits for a bounded time.
type State interface {
	Recall(r *Router)                               // before the start
	Run(ctx context.Context, group *errgroup.Group) // its goroutines end with the context, after a last snapshot
	Tick(now float64, r *Router)                    // some ten times a second
	End(r *Router)                                  // nothing more will be learned
}

// Quick is what changes fast, and Slow the rest.
func (r *Router) Quick() (record warmstart.Record) {
	record.Known = r.controller.Knows()
	record.Known.Profiles = nil
	if r.teams != nil {
		for name, level := range r.teams.Levels() {
			record.Teams = append(record.Teams, warmstart.Team{Name: name, Ahead: level})
		}
	}
	record.Serial = r.listSerial
	return record
}

// Slow gives what is saved seldom, since it changes slowly: the profiles and the distributions of their waits.
func (r *Router) Slow() (profiles []warmstart.Profile, all []warmstart.Wait) {
	profiles = r.controller.Knows().Profiles
	estimator := r.set.Brain.Waits
	if estimator == nil {
		return profiles, nil
	}
	for _, l := range estimator.Learned() {
		w := warmstart.Wait{Profile: l.Profile}
		if l.Team >= 0 {
			if r.teams == nil {
				continue // it would stand for all teams
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

// Prints of profiles and tenants as they are.
func (r *Router) Prints() (settings []uint64, rates []float64) {
	return admission.Fingerprints(r.set.Brain.Profiles), r.set.Brain.Rates()
}

// Recall has the router start with what is believed.
func (r *Router) Recall(restored warmstart.Restored) {
	r.set.Brain.Memory = &restored.Beliefs
	if r.teams != nil {
		r.teams.RestoreLevels(restored.Teams)
	}
	estimator := r.set.Brain.Waits
	if estimator == nil {
		return
	}
	var all []waittime.Learned
	for _, w := range restored.Waits {
		l := waittime.Learned{Team: -1, Profile: w.Profile}
		if w.Team != "" {
			team, ok := 0, false
			if r.teams != nil {
				team, ok = r.teams.Find(w.Team)
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
