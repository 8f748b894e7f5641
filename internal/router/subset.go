package router

import (
	"fmt"
	"slices"

	"dunereach/admission"
	"dunereach/fleet/subset"
	"dunereach/internal/config"
	"dunereach/internal/settings"
	"dunereach/internal/subsets"

	"go.uber.org/zap"
)

// subsetView limits what the module and the connections see of the list of databases to this router's subset. It is the owner's
// goroutine's, and nothing without a section subset in the operators' file.
type subsetView struct {
	setup *subsets.Setup
	own   subsets.Chooser
	set   *settings.Settings
	names func(engine uint32) string
	log   *zap.Logger

	list     []admission.Entry // the whole, as last told
	ranking  *subset.Ranking   // of the list
	odd      int               // entries of it with a weight that can't be used or a name that stands twice
	servable []bool            // by profile: a database of the list may run it
	planned  float64
	width    subset.Width
	spread   float64 // of this router's times of calm, from 0 to 1
	reviewAt float64
	leaving  subset.Leaving

	held    []admission.Entry // what the module sees
	linked  []admission.Entry // what has connections: the same and what is leaving
	holds   map[uint32]bool
	partial bool // held is not the whole list
}

// newSubsetView gives nil where the operators' file names no subset.
func newSubsetView(cfg *config.Config, names func(uint32) string, log *zap.Logger) (*subsetView, error) {
	if cfg.Operator.Subset == nil {
		return nil, nil
	}
	v := &subsetView{setup: subsets.New(cfg), set: &cfg.Settings, names: names, log: log, holds: map[uint32]bool{}}
	v.own = v.setup.Self(cfg)
	if err := v.own.Options.Check(); err != nil {
		return nil, fmt.Errorf("subset: %v", err)
	}
	v.spread = subset.Spread(cfg.Name)
	if v.own.Router.Place < 0 {
		log.Warn("the subset goes by the router's name: databases are held unevenly until it has a place")
	}
	return v, nil
}

// take is told of the whole list and chooses from it. A pool that is no larger than the subset is handed on as it is.
func (v *subsetView) take(now float64, list []admission.Entry) {
	before := len(v.list)
	if len(list) > 0 && 2*len(list) <= before {
		v.log.Warn("the list of databases has halved: the subset is taken from the rest", zap.Int("were", before), zap.Int("are", len(list)))
	}
	ranking, err := v.rank(list)
	if err != nil { // the options were checked at the start
		v.log.Error("subset: the last one stays", zap.Error(err))
		return
	}
	v.list, v.ranking = list, ranking
	v.markServable()
	v.choose(now)
}

// rank orders the list, anew with even sizes where the pool has changed by much.
func (v *subsetView) rank(list []admission.Entry) (*subset.Ranking, error) {
	databases := v.setup.Databases(list, v.names)
	pool := subset.NewPool(databases)
	odd := len(pool.Repeated())
	for _, d := range databases {
		if !subset.UsableWeight(d.Weight) {
			odd++
		}
	}
	if odd != v.odd && odd > 0 {
		v.log.Warn("databases with a weight that can't be used count as 1, those listed twice once", zap.Int("databases", odd))
	}
	v.odd = odd
	v.own.Router.Planned = v.planned
	ranking, err := pool.Rank(&v.own.Options, v.own.Router)
	if err != nil {
		return nil, err
	}
	planned := subset.Plan(v.planned, ranking.Effective())
	if planned == v.planned {
		return ranking, nil
	}
	v.planned, v.own.Router.Planned = planned, planned
	return pool.Rank(&v.own.Options, v.own.Router)
}

// markServable notes which profiles some database of the list may run.
func (v *subsetView) markServable() {
	profiles := v.set.Brain.Profiles
	v.servable = make([]bool, len(profiles))
	for k := range profiles {
		v.servable[k] = slices.ContainsFunc(v.list, func(e admission.Entry) bool { return runs(&profiles[k], &e) })
	}
}

// choose takes the subset of the width and says where databases enter or leave.
func (v *subsetView) choose(now float64) {
	choice := v.ranking.Take(v.width.Factor())
	if choice.Whole {
		v.partial, v.held, v.linked = false, v.list, v.list
		v.holds = make(map[uint32]bool, len(v.list))
		for _, e := range v.list {
			v.holds[e.Engine] = true
		}
		v.leaving.Remove(func(string) bool { return true })
		return
	}
	v.partial = true
	holds := make(map[uint32]bool, len(choice.Members))
	for _, m := range choice.Members {
		holds[v.list[m.Index].Engine] = true
	}
	var left []string
	for _, e := range v.list {
		if !v.holds[e.Engine] || holds[e.Engine] {
			continue
		}
		// A cold one stays until it is warm: on a return its allowance would begin anew.
		if e.ReadyAt > 0 && now < e.ReadyAt+v.set.Brain.WarmUp {
			holds[e.Engine] = true
			continue
		}
		left = append(left, v.names(e.Engine))
	}
	v.holds = holds
	v.leaving.Add(now, v.own.Router.Name, left)
	v.build()
	v.log.Info("subset of the databases", zap.Int("held", len(v.held)), zap.Int("of", len(v.list)), zap.Int("width", v.width.Factor()),
		zap.Int("grown", choice.Grown), zap.Int("leaving", v.leaving.Len()))
}

// build puts together what the module and the connections see.
func (v *subsetView) build() {
	listed := make(map[string]bool, v.leaving.Len())
	v.held, v.linked = make([]admission.Entry, 0, len(v.holds)), make([]admission.Entry, 0, len(v.holds)+v.leaving.Len())
	for _, e := range v.list {
		name := v.names(e.Engine)
		switch {
		case v.holds[e.Engine]:
			v.held, v.linked = append(v.held, e), append(v.linked, e)
		case v.leaving.Len() > 0 && v.leaving.Has(name):
			listed[name] = true
			v.linked = append(v.linked, e)
		}
	}
	v.leaving.Remove(func(name string) bool { return !listed[name] })
}

// part is what of the pool's cores is held, of all and by zone.
func (v *subsetView) part() admission.Held {
	if !v.partial {
		return admission.Held{}
	}
	zones := len(v.set.Zones)
	held, all := make([]float64, zones+1), make([]float64, zones+1)
	add := func(sums []float64, list []admission.Entry) {
		for _, e := range list {
			cores := 1.0
			if e.Kind >= 0 && e.Kind < len(v.set.Brain.KindCores) && v.set.Brain.KindCores[e.Kind] > 0 {
				cores = v.set.Brain.KindCores[e.Kind]
			}
			sums[zones] += cores
			if e.Zone >= 0 && e.Zone < zones {
				sums[e.Zone] += cores
			}
		}
	}
	add(held, v.held)
	add(all, v.list)
	for k := range held {
		if all[k] > 0 {
			held[k] /= all[k]
		}
	}
	return admission.Held{Part: held[zones], Zones: held[:zones]}
}

// reviewEvery is the time between two looks at whether the subset does, in seconds.
const reviewEvery = 0.5

// review tells whether the subset has changed, by need or calm, or databases have left it for good.
func (v *subsetView) review(now float64, mind *admission.Brain) (changed bool) {
	if !v.partial && v.width.Factor() == 1 || now < v.reviewAt {
		return false
	}
	v.reviewAt = now + reviewEvery
	if v.width.Factor() > 1 || v.partial {
		seen := v.summary(now, mind, v.width.Factor())
		narrower := seen
		if v.width.Factor() > 1 {
			narrower = v.summary(now, mind, v.width.Factor()/2)
		}
		if v.width.Step(now, &seen, &narrower, v.own.Options.Widest, v.spread) {
			v.choose(now)
			changed = true
		}
	}
	if due := v.leaving.Due(now); len(due) > 0 {
		v.build()
		changed = true
	}
	return changed
}

// summary is how the databases of a width are.
func (v *subsetView) summary(now float64, mind *admission.Brain, width int) (s subset.Summary) {
	profiles := v.set.Brain.Profiles
	classes := make([]subset.Room, len(profiles))
	for _, m := range v.ranking.Take(width).Members {
		e := &v.list[m.Index]
		usable := mind.Condition(now, e.Engine) == admission.Usable
		s.Held++
		if usable {
			s.Usable++
		}
		for k := range profiles {
			if !runs(&profiles[k], e) {
				continue
			}
			if classes[k].Allowed++; usable {
				classes[k].Usable++
			}
		}
	}
	for k, servable := range v.servable {
		if servable { // what no database of the list may run, a larger subset would not mend
			s.Classes = append(s.Classes, classes[k])
		}
	}
	return s
}

// runs tells whether a database is among those that a profile allows.
func runs(p *admission.Profile, e *admission.Entry) bool {
	return (p.Zones == nil || slices.Contains(p.Zones, e.Zone)) && (p.Kinds == nil || slices.Contains(p.Kinds, e.Kind))
}

// members hands the list on, or this router's subset of it.
func (s *service) members(scope admission.Scope) {
	s.serial = s.list.Rev()
	if s.subset == nil {
		s.Members(s.clock.now(), scope, s.list.List(), func() { s.pool.Members(s.list.List(), s.list.Addr) })
		return
	}
	s.subset.take(s.clock.now(), s.list.List())
	s.hold(scope)
}

// hold hands on what the subset has become.
func (s *service) hold(scope admission.Scope) {
	s.mind.Hold(s.subset.part())
	s.Members(s.clock.now(), scope, s.subset.held, func() { s.pool.Members(s.subset.linked, s.list.Addr) })
}

// reviewSubset is called some ten times a second.
func (s *service) reviewSubset() {
	if s.subset != nil && s.subset.review(s.clock.now(), s.mind) {
		s.hold(admission.Full)
	}
}

// readyServers counts the ready servers that this router may send to: those of its subset, or of the whole list without one.
func (s *service) readyServers() int {
	if s.subset == nil {
		return s.list.Ready()
	}
	return s.subset.ready()
}

// ready counts the ready servers that are held.
func (v *subsetView) ready() (n int) {
	for _, e := range v.held {
		if e.State == admission.Ready {
			n++
		}
	}
	return n
}
