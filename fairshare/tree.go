package fairshare

import "math"

// node is a team or a group; the last of the tree is the root.
type node struct {
	Node
	parent int32
	leaf   bool

	// As a child: its virtual time is the work charged to it over its weight.
	virtualTime float64
	lastCharge  uint64 // number of the last charge: among equals the one charged least recently goes first
	activeIndex int32  // in its parent's active ones; -1: nothing is queued
	floorLeft   float64
	ceilLeft    float64

	// As a parent: sums over the children in use, which have something queued or running, and those with something queued, in order.
	sumWeight, sumWeightedTime float64
	idleMean                   float64 // mean of the virtual times when a child was last in use
	active                     []int32

	inUse, queued         int     // requests queued or running, and queued, at or below
	queuedWork            float64 // of what is queued at or below
	giveUpPrice, giveUpAt float64 // price at which a queued request was given up; 0: none
	threads               float64 // a leaf's, running
	queue                 []int32 // a leaf's queued requests, lowest rank first
	walkPosition          int     // position of the present walk in queue or active
	walk                  uint64
}

// entry is a request that is queued or has an attempt running.
type entry struct {
	team             int // handle
	rank             float64
	work             float64 // expected, core seconds
	queuedAt         float64 // time
	latestStart      float64 // latest time to start an attempt
	unplaceableUntil float64 // until then no server would take it, however many threads are free
	threads          float64
	charged          float64
	progress         float64 // fraction done, as last reported
	queued           bool
	running          bool
	adjustable       bool // its priority can be lowered
	lowered          bool
	restore          bool // its priority at the next tick
	timesLowered     uint8
	runningIndex     int32 // in running
}

// Tree keeps the teams' accounts and queues. It is not safe for concurrent use.
type Tree struct {
	spec        Spec
	nodes       []node
	root        int32
	teams       []int32        // leaf by handle
	names       map[string]int // handle by name; names of earlier specs stay
	tenants     map[int]int    // handle by tenant
	defaultTeam int            // handle of the default team
	limited     []int32        // nodes with a floor or a ceiling

	entries        []entry
	running        []int32
	threads        float64 // out
	loweredThreads float64 // threads of the lowered attempts
	capacity       float64 // core seconds per second of this router's share of the pool
	now            float64
	lastTick       float64
	walk           uint64
	chargeCount    uint64
	turn           turn
	tokens         float64 // changes of priorities that may be made
	lastPressure   float64 // time when a team within its share last waited too long
	changes        []PriorityChange

	unknown int // requests that named an unknown team, since TakeUnknown
}

// PriorityChange is a change of a running attempt's priority: lowered by one level, or back to its first.
type PriorityChange struct {
	At      int32
	Lowered bool
}

// New returns a tree with no requests, or a *SpecError.
func New(spec Spec, now float64) (*Tree, error) {
	t := &Tree{names: map[string]int{}, capacity: 1, now: now, lastTick: now, lastPressure: math.Inf(-1), turn: turn{at: -1}}
	return t, t.Reconfigure(spec)
}

// Reconfigure replaces the spec. Accounts continue under the names that remain; requests of a team that is gone belong to the default
// team from now on. A spec with a fault changes nothing and is returned as a *SpecError.
func (t *Tree) Reconfigure(spec Spec) error {
	parent, leaf, err := spec.check()
	if err != nil {
		return err
	}
	fresh := 0
	for i := range spec.Nodes {
		if _, ok := t.names[spec.Nodes[i].Name]; !ok && leaf[i] {
			fresh++
		}
	}
	if len(t.teams)+fresh > 4*maxTeams { // handles of earlier names stay, as open requests carry them
		return &SpecError{-1, "default", "too many different names of teams since the start: restart to take it"}
	}
	old := t.nodes
	t.spec, t.root = spec, int32(len(spec.Nodes))
	t.nodes = make([]node, len(spec.Nodes)+1)
	t.tenants, t.limited = map[int]int{}, t.limited[:0]
	lag := lags(old)
	for i := range t.nodes {
		t.nodes[i] = node{activeIndex: -1, parent: -1}
	}
	for i, d := range spec.Nodes {
		n := &t.nodes[i]
		n.Node, n.leaf, n.virtualTime = d, leaf[i], lag[d.Name]
		if n.parent = parent[i]; n.parent < 0 {
			n.parent = t.root
		}
		if d.Floor > 0 || d.Ceiling > 0 {
			t.limited = append(t.limited, int32(i))
		}
	}
	t.assignHandles(leaf)
	t.turn = turn{at: -1}
	for at := range t.entries {
		a := &t.entries[at]
		if a.running {
			t.addInUse(t.teams[a.team], 1)
			t.nodes[t.teams[a.team]].threads += a.threads
		}
		if a.queued {
			t.insert(int32(at))
		}
	}
	return nil
}

// lags returns by name how far each node in use is ahead of its siblings' mean.
func lags(nodes []node) map[string]float64 {
	lag := map[string]float64{}
	for i := range nodes[:max(len(nodes)-1, 0)] {
		if o := &nodes[i]; o.inUse > 0 {
			lag[o.Name] = o.virtualTime - mean(&nodes[o.parent])
		}
	}
	return lag
}

// assignHandles points the handles to the leaves of the spec, and those of teams that are gone to the default team.
func (t *Tree) assignHandles(leaf []bool) {
	for h := range t.teams {
		t.teams[h] = -1
	}
	for i := range t.spec.Nodes {
		if !leaf[i] {
			continue
		}
		h, ok := t.names[t.spec.Nodes[i].Name]
		if !ok {
			h = len(t.teams)
			t.names[t.spec.Nodes[i].Name] = h
			t.teams = append(t.teams, -1)
		}
		t.teams[h] = int32(i)
		for _, tenant := range t.spec.Nodes[i].Tenants {
			t.tenants[tenant] = h
		}
	}
	if len(t.spec.Nodes) == 0 { // all belong to one team that stands for none
		t.root, t.nodes = 1, []node{{leaf: true, activeIndex: -1, parent: 1, Node: Node{Weight: 1}}, {activeIndex: -1, parent: -1}}
		if len(t.teams) == 0 {
			t.teams = append(t.teams, -1)
		}
		t.defaultTeam = 0
		t.teams[0] = 0
	} else {
		t.defaultTeam = t.names[t.spec.Default]
	}
	for h := range t.teams {
		if t.teams[h] < 0 {
			t.teams[h] = t.teams[t.defaultTeam]
		}
	}
}

// TeamOf returns the handle of a request's team: the one that it names, if the spec allows that, else its tenant's, else the default.
// Handles stay valid when the spec changes.
func (t *Tree) TeamOf(tenant int, named []byte) int {
	if t.spec.ByCall && len(named) > 0 {
		if h, ok := t.names[string(named)]; ok && t.nodes[t.teams[h]].Name == string(named) {
			return h
		}
		t.unknown++
		return t.defaultTeam
	}
	if h, ok := t.tenants[tenant]; ok {
		return h
	}
	return t.defaultTeam
}

// TakeUnknown returns and resets the number of requests that named an unknown team.
func (t *Tree) TakeUnknown() (n int) {
	n, t.unknown = t.unknown, 0
	return n
}

// Name returns the name of a team.
func (t *Tree) Name(team int) string { return t.nodes[t.leaf(team)].Name }

// Teams returns the number of handles.
func (t *Tree) Teams() int { return len(t.teams) }

// leaf returns the node of a team; that of the default team where the handle is unknown.
func (t *Tree) leaf(team int) int32 {
	if team < 0 || team >= len(t.teams) {
		team = t.defaultTeam
	}
	return t.teams[team]
}

// account returns the entry in a slot, which the caller numbers from 0.
func (t *Tree) account(at int32) *entry {
	for int(at) >= len(t.entries) {
		t.entries = append(t.entries, entry{})
	}
	return &t.entries[at]
}

// ---- virtual time

// mean returns the weighted mean of the virtual times of the children in use: the parent's virtual time.
func mean(p *node) float64 {
	if p.sumWeight > 0 {
		return p.sumWeightedTime / p.sumWeight
	}
	return p.idleMean
}

// share returns a node's share of the pool by the weights in use.
func (t *Tree) share(i int32) float64 {
	f := 1.0
	for ; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		w := t.nodes[n.parent].sumWeight
		if n.inUse == 0 {
			w += n.Weight
		}
		f *= n.Weight / w
	}
	return f
}

// fullUsePerSecond returns by how much the virtual time of a node's children advances in a second of full use.
func (t *Tree) fullUsePerSecond(i int32) float64 {
	p := &t.nodes[i]
	return t.capacity * t.share(i) / max(p.sumWeight, 1e-6)
}

// slack returns how far a child may be ahead after idling, and past the mean before it counts as over its share.
func (t *Tree) slack(i int32) float64 {
	const standard = 2.0 // seconds of its share: a small team could never pay for its largest requests with less
	n := &t.nodes[i]
	if n.Burst > 0 {
		return n.Burst / n.Weight
	}
	return standard * t.fullUsePerSecond(n.parent)
}

// addInUse adds to the requests of a leaf that are queued or running.
func (t *Tree) addInUse(leaf int32, by int) {
	for i := leaf; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		p := &t.nodes[n.parent]
		if n.inUse == 0 { // it was idle: it keeps a debt, and a credit up to its burst
			n.virtualTime = max(n.virtualTime, mean(p)-t.slack(i))
			p.sumWeight += n.Weight
			p.sumWeightedTime += n.Weight * n.virtualTime
		}
		if n.inUse += by; n.inUse == 0 {
			p.idleMean = mean(p)
			if p.sumWeight -= n.Weight; p.inUse == 1 { // the last one
				p.sumWeight, p.sumWeightedTime = 0, 0
			} else {
				p.sumWeightedTime -= n.Weight * n.virtualTime
			}
		}
	}
	t.nodes[t.root].inUse += by
}

// longestDebt bounds debt and credit, in seconds of full use: the longest that a team is held back after a runaway request.
const longestDebt = 10.0

// charge adds work to a leaf in use and all above it. Debt and credit are bounded against the mean, so that neither one odd request
// nor one that no server takes weighs for long; but the expected work of an attempt is always charged in full, or a small team with
// large requests would get more than its share.
func (t *Tree) charge(leaf int32, work float64, expected bool) {
	t.chargeCount++
	for i := leaf; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		p := &t.nodes[n.parent]
		if n.lastCharge = t.chargeCount; n.Floor > 0 {
			n.floorLeft -= work
		}
		if n.Ceiling > 0 {
			n.ceilLeft -= work
		}
		was, most := n.virtualTime, longestDebt*t.fullUsePerSecond(n.parent)
		end := mean(p) + most
		if expected {
			end += work / n.Weight
		}
		n.virtualTime = min(max(was+work/n.Weight, mean(p)-most), max(end, was))
		if n.inUse > 0 {
			p.sumWeightedTime += n.Weight * (n.virtualTime - was)
		}
		t.reorder(i)
	}
}

// precedes reports whether child a goes before child b: one under its floor first, then the least virtual time.
func (t *Tree) precedes(a, b int32) bool {
	x, y := &t.nodes[a], &t.nodes[b]
	if f, g := x.Floor > 0 && x.floorLeft > 0, y.Floor > 0 && y.floorLeft > 0; f != g {
		return f
	}
	if x.virtualTime != y.virtualTime {
		return x.virtualTime < y.virtualTime
	}
	return x.lastCharge < y.lastCharge || x.lastCharge == y.lastCharge && a < b
}

// reorder moves an active child to its place in the order.
func (t *Tree) reorder(i int32) {
	n := &t.nodes[i]
	if n.activeIndex < 0 {
		return
	}
	all, k := t.nodes[n.parent].active, n.activeIndex
	for ; k+1 < int32(len(all)) && t.precedes(all[k+1], i); k++ {
		all[k] = all[k+1]
		t.nodes[all[k]].activeIndex = k
	}
	for ; k > 0 && t.precedes(i, all[k-1]); k-- {
		all[k] = all[k-1]
		t.nodes[all[k]].activeIndex = k
	}
	all[k], n.activeIndex = i, k
}
