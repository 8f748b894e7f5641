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

// subsetView limits the list of databases that the controller and the connections see to this router's subset. Only the owner's goroutine
// uses it. It exists only if the operator's file has a subset section.
type subsetView struct {
	setup      *subsets.CommonConfig
	chooser    subsets.Chooser
	set        *settings.Settings
	serverName func(id uint32) string
	log        *zap.Logger

	list          []admission.Entry // the whole list, as last received
	ranking       *subset.Ranking   // of the whole list
	unusable      int               // entries of the list with an unusable weight or a repeated name
	servable      []bool            // by profile: whether some database of the list may run it
	plannedWeight float64           // effective weight, see subset.Plan
	width         subset.WidthController
	spread        float64 // from 0 to 1, varies the calm time before narrowing between routers
	nextReview    float64
	leaving       subset.DepartureQueue

	held        []admission.Entry // the controller's list
	connected   []admission.Entry // the list of the connections: held, and the databases that are leaving
	heldServers map[uint32]bool
	partial     bool // held is not the whole list
}

// newSubsetView returns nil if the operator's file configures no subset.
func newSubsetView(cfg *config.Config, serverName func(uint32) string, log *zap.Logger) (*subsetView, error) {
	if cfg.Operator.Subset == nil {
		return nil, nil
	}
	v := &subsetView{setup: subsets.New(cfg), set: &cfg.Settings, serverName: serverName, log: log, heldServers: map[uint32]bool{}}
	v.chooser = v.setup.OwnRouter(cfg)
	if err := v.chooser.Options.Check(); err != nil {
		return nil, fmt.Errorf("subset: %v", err)
	}
	v.spread = subset.Jitter(cfg.Name)
	if v.chooser.Router.Number < 0 {
		log.Warn("the subset is chosen by the router's name: databases are held unevenly until the router has a place")
	}
	return v, nil
}

// setList takes the whole list and chooses the subset. If the pool is no larger than the subset, the list is passed on as it is.
func (v *subsetView) setList(now float64, list []admission.Entry) {
	before := len(v.list)
	if len(list) > 0 && 2*len(list) <= before {
		v.log.Warn("the list of databases has halved: the subset is taken from the rest", zap.Int("were", before), zap.Int("are", len(list)))
	}
	ranking, err := v.rank(list)
	if err != nil { // the options were checked at the start
		v.log.Error("subset: ranking failed; the previous subset stays", zap.Error(err))
		return
	}
	v.list, v.ranking = list, ranking
	v.markServable()
	v.choose(now)
}

// rank ranks the databases of the list. If the pool's weight has changed much, it plans for the new weight and ranks again.
func (v *subsetView) rank(list []admission.Entry) (*subset.Ranking, error) {
	databases := v.setup.Databases(list, v.serverName)
	pool := subset.NewPool(databases)
	unusable := len(pool.Duplicates())
	for _, d := range databases {
		if !subset.ValidWeight(d.Weight) {
			unusable++
		}
	}
	if unusable != v.unusable && unusable > 0 {
		v.log.Warn("databases with an unusable weight count as 1, those listed twice count once", zap.Int("databases", unusable))
	}
	v.unusable = unusable
	v.chooser.Router.PlannedWeight = v.plannedWeight
	ranking, err := pool.Rank(&v.chooser.Options, v.chooser.Router)
	if err != nil {
		return nil, err
	}
	plannedWeight := subset.NextPlannedWeight(v.plannedWeight, ranking.EffectiveWeight())
	if plannedWeight == v.plannedWeight {
		return ranking, nil
	}
	v.plannedWeight, v.chooser.Router.PlannedWeight = plannedWeight, plannedWeight
	return pool.Rank(&v.chooser.Options, v.chooser.Router)
}

// markServable records which profiles some database of the list may run.
func (v *subsetView) markServable() {
	profiles := v.set.Admission.Profiles
	v.servable = make([]bool, len(profiles))
	for k := range profiles {
		v.servable[k] = slices.ContainsFunc(v.list, func(e admission.Entry) bool { return allows(&profiles[k], &e) })
	}
}

// choose takes the subset for the current width and logs the change.
func (v *subsetView) choose(now float64) {
	choice := v.ranking.Select(v.width.Factor())
	if choice.WholePool {
		v.partial, v.held, v.connected = false, v.list, v.list
		v.heldServers = make(map[uint32]bool, len(v.list))
		for _, e := range v.list {
			v.heldServers[e.Server] = true
		}
		v.leaving.Remove(func(string) bool { return true })
		return
	}
	v.partial = true
	heldServers := make(map[uint32]bool, len(choice.Members))
	for _, m := range choice.Members {
		heldServers[v.list[m.Index].Server] = true
	}
	var removed []string
	for _, e := range v.list {
		if !v.heldServers[e.Server] || heldServers[e.Server] {
			continue
		}
		// A cold database stays until it is warm: if it left and came back, its allowance would begin anew.
		if e.ReadyAt > 0 && now < e.ReadyAt+v.set.Admission.WarmUp {
			heldServers[e.Server] = true
			continue
		}
		removed = append(removed, v.serverName(e.Server))
	}
	v.heldServers = heldServers
	v.leaving.Add(now, v.chooser.Router.Name, removed)
	v.build()
	v.log.Info("subset of the databases", zap.Int("held", len(v.held)), zap.Int("of", len(v.list)), zap.Int("width", v.width.Factor()),
		zap.Int("grown", choice.Excess), zap.Int("leaving", v.leaving.Len()))
}

// build assembles the lists for the controller and for the connections.
func (v *subsetView) build() {
	stillListed := make(map[string]bool, v.leaving.Len())
	v.held, v.connected = make([]admission.Entry, 0, len(v.heldServers)), make([]admission.Entry, 0, len(v.heldServers)+v.leaving.Len())
	for _, e := range v.list {
		name := v.serverName(e.Server)
		switch {
		case v.heldServers[e.Server]:
			v.held, v.connected = append(v.held, e), append(v.connected, e)
		case v.leaving.Len() > 0 && v.leaving.Contains(name):
			stillListed[name] = true
			v.connected = append(v.connected, e)
		}
	}
	v.leaving.Remove(func(name string) bool { return !stillListed[name] })
}

// heldShare is the share of the pool's cores that is held, in total and by zone.
func (v *subsetView) heldShare() admission.Coverage {
	if !v.partial {
		return admission.Coverage{}
	}
	zones := len(v.set.Zones)
	held, all := make([]float64, zones+1), make([]float64, zones+1)
	add := func(sums []float64, list []admission.Entry) {
		for _, e := range list {
			cores := 1.0
			if e.Kind >= 0 && e.Kind < len(v.set.Admission.KindCores) && v.set.Admission.KindCores[e.Kind] > 0 {
				cores = v.set.Admission.KindCores[e.Kind]
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
	return admission.Coverage{Part: held[zones], Zones: held[:zones]}
}

// reviewInterval is the time between two checks of whether the subset is wide enough, in seconds.
const reviewInterval = 0.5

// review widens or narrows the subset as needed, and drops connections to databases that have left. It reports whether a list changed.
func (v *subsetView) review(now float64, controller *admission.Controller) (changed bool) {
	if !v.partial && v.width.Factor() == 1 || now < v.nextReview {
		return false
	}
	v.nextReview = now + reviewInterval
	if v.width.Factor() > 1 || v.partial {
		current := v.summary(now, controller, v.width.Factor())
		narrower := current
		if v.width.Factor() > 1 {
			narrower = v.summary(now, controller, v.width.Factor()/2)
		}
		if v.width.Update(now, &current, &narrower, v.chooser.Options.MaxWidth, v.spread) {
			v.choose(now)
			changed = true
		}
	}
	if due := v.leaving.TakeDue(now); len(due) > 0 {
		v.build()
		changed = true
	}
	return changed
}

// summary summarises the condition of the databases in the subset of a width.
func (v *subsetView) summary(now float64, controller *admission.Controller, width int) (s subset.Summary) {
	profiles := v.set.Admission.Profiles
	rooms := make([]subset.ClassCapacity, len(profiles))
	for _, m := range v.ranking.Select(width).Members {
		e := &v.list[m.Index]
		usable := controller.Condition(now, e.Server) == admission.Usable
		s.Held++
		if usable {
			s.Usable++
		}
		for k := range profiles {
			if !allows(&profiles[k], e) {
				continue
			}
			if rooms[k].Allowed++; usable {
				rooms[k].Usable++
			}
		}
	}
	for k, servable := range v.servable {
		if servable { // a larger subset would not help a profile that no database of the list may run
			s.Classes = append(s.Classes, rooms[k])
		}
	}
	return s
}

// allows reports whether a profile may run on a database.
func allows(p *admission.Profile, e *admission.Entry) bool {
	return (p.Zones == nil || slices.Contains(p.Zones, e.Zone)) && (p.Kinds == nil || slices.Contains(p.Kinds, e.Kind))
}

// publishList passes the list, or this router's subset of it, to the controller and the connections.
func (s *service) publishList(scope admission.Scope) {
	s.listSerial = s.list.Revision()
	if s.subset == nil {
		s.Members(s.clock.now(), scope, s.list.List(), func() { s.pool.UpdateServers(s.list.List(), s.list.Addr) })
		return
	}
	s.subset.setList(s.clock.now(), s.list.List())
	s.publishSubset(scope)
}

// publishSubset passes the current subset to the controller and the connections.
func (s *service) publishSubset(scope admission.Scope) {
	s.controller.SetCoverage(s.subset.heldShare())
	s.Members(s.clock.now(), scope, s.subset.held, func() { s.pool.UpdateServers(s.subset.connected, s.list.Addr) })
}

// reviewSubset is called about ten times a second.
func (s *service) reviewSubset() {
	if s.subset != nil && s.subset.review(s.clock.now(), s.controller) {
		s.publishSubset(admission.Full)
	}
}

// readyServers counts the ready servers that this router may send to: those of its subset, or of the whole list without one.
func (s *service) readyServers() int {
	if s.subset == nil {
		return s.list.Ready()
	}
	return s.subset.readyHeld()
}

// readyHeld counts the ready servers in the subset.
func (v *subsetView) readyHeld() (n int) {
	for _, e := range v.held {
		if e.State == admission.Ready {
			n++
		}
	}
	return n
}
