package fairshare

import "math"

// node is the state of a team or a group of teams. The last node of the tree is the root.
type node struct {
	Node
	parent int32
	isLeaf bool

	// State of the node as a child. Its virtual time is the work charged to it divided by its weight.
	virtualTime      float64
	lastChargeNumber uint64  // sequence number of the last charge; of equal children, the one charged least recently goes first
	activeIndex      int32   // index in the parent's active list; -1: nothing is queued
	floorLeft        float64 // core seconds that are left of the floor; negative: debt
	ceilingLeft      float64 // core seconds that are left of the ceiling; negative: debt

	// State of the node as a parent. The sums are over its children in use, which have queued or running requests.
	sumWeight, sumWeightedVirtualTime float64
	idleMean                          float64 // weighted mean of the virtual times when a child was last in use
	active                            []int32 // children with queued requests, in scheduling order

	inUse, queued         int     // requests of the subtree: queued or running, and only queued
	queuedWork            float64 // expected work of the queued requests of the subtree
	giveUpPrice, giveUpAt float64 // price at which a queued request was given up, and when; price 0: none
	threads               float64 // leaves only: threads of running attempts
	queue                 []int32 // leaves only: slots of the queued requests, lowest rank first
	walkPosition          int     // position of the current walk in queue or active
	walkNumber            uint64  // number of the walk that walkPosition belongs to
}

// entry is a request that is queued or has a running attempt.
type entry struct {
	team             int     // handle
	rank             float64 // order within the team, lowest first
	work             float64 // expected core seconds
	queuedAt         float64
	latestStart      float64 // latest time to start an attempt
	unplaceableUntil float64 // until this time no server would take the request, however many threads are free
	threads          float64
	chargedWork      float64 // core seconds charged to the team so far
	progress         float64 // completed fraction, as last reported
	queued           bool
	running          bool
	adjustable       bool // the priority of the attempt can be lowered
	lowered          bool // the priority of the attempt is lowered
	restoreAtTick    bool // the next tick restores the priority
	timesLowered     uint8
	runningIndex     int32 // index in Tree.running
}

// Tree holds the accounts and queues of all teams. It is not safe for concurrent use.
type Tree struct {
	spec         Spec
	nodes        []node
	root         int32
	leafByTeam   []int32        // leaf node by team handle
	teamByName   map[string]int // handle by name; names from earlier specs stay
	teamByTenant map[int]int    // handle by tenant
	defaultTeam  int            // handle of the default team
	limitedNodes []int32        // nodes with a floor or a ceiling

	entries        []entry // by slot
	running        []int32 // slots with a running attempt
	threads        float64 // threads of all running attempts
	loweredThreads float64 // threads of the attempts with a lowered priority
	capacity       float64 // core seconds per second of this router's share of the pool
	now            float64
	lastTick       float64
	walkNumber     uint64 // number of the current walk
	chargeCount    uint64 // charges so far
	headState      headState
	tokens         float64          // token bucket for priority changes
	lastPressureAt float64          // when a request of a team within its share last waited too long
	changes        []PriorityChange // result of the last Tick

	unknownTeams int // requests that named an unknown team since the last TakeUnknownTeamCount
}

// PriorityChange lowers the priority of a running attempt by one level, or restores its original priority.
type PriorityChange struct {
	Slot    int32
	Lowered bool
}

// New returns a tree without requests, or a *SpecError.
func New(spec Spec, now float64) (*Tree, error) {
	t := &Tree{teamByName: map[string]int{}, capacity: 1, now: now, lastTick: now, lastPressureAt: math.Inf(-1), headState: headState{slot: -1}}
	return t, t.Reconfigure(spec)
}

// Reconfigure replaces the spec. Teams whose names remain keep their accounts. Requests of a removed team belong to the
// default team from then on. An invalid spec changes nothing and is returned as a *SpecError.
func (t *Tree) Reconfigure(spec Spec) error {
	parent, isLeaf, err := spec.check()
	if err != nil {
		return err
	}
	newNames := 0
	for i := range spec.Nodes {
		if _, ok := t.teamByName[spec.Nodes[i].Name]; !ok && isLeaf[i] {
			newNames++
		}
	}
	if len(t.leafByTeam)+newNames > 4*maxTeams { // handles of earlier names stay, as open requests refer to them
		return &SpecError{-1, "default", "too many different names of teams since the start: restart to take it"}
	}
	oldNodes := t.nodes
	t.spec, t.root = spec, int32(len(spec.Nodes))
	t.nodes = make([]node, len(spec.Nodes)+1)
	t.teamByTenant, t.limitedNodes = map[int]int{}, t.limitedNodes[:0]
	leads := virtualTimeLeads(oldNodes)
	for i := range t.nodes {
		t.nodes[i] = node{activeIndex: -1, parent: -1}
	}
	for i, config := range spec.Nodes {
		n := &t.nodes[i]
		n.Node, n.isLeaf, n.virtualTime = config, isLeaf[i], leads[config.Name]
		if n.parent = parent[i]; n.parent < 0 {
			n.parent = t.root
		}
		if config.Floor > 0 || config.Ceiling > 0 {
			t.limitedNodes = append(t.limitedNodes, int32(i))
		}
	}
	t.assignHandles(isLeaf)
	t.headState = headState{slot: -1}
	for slot := range t.entries {
		e := &t.entries[slot]
		if e.running {
			t.addInUse(t.leafByTeam[e.team], 1)
			t.nodes[t.leafByTeam[e.team]].threads += e.threads
		}
		if e.queued {
			t.insert(int32(slot))
		}
	}
	return nil
}

// virtualTimeLeads returns, by name, how far the virtual time of each node in use is ahead of the mean of its siblings.
func virtualTimeLeads(nodes []node) map[string]float64 {
	leads := map[string]float64{}
	for i := range nodes[:max(len(nodes)-1, 0)] {
		if n := &nodes[i]; n.inUse > 0 {
			leads[n.Name] = n.virtualTime - meanVirtualTime(&nodes[n.parent])
		}
	}
	return leads
}

// assignHandles maps handles to the leaves of the spec, and handles of removed teams to the leaf of the default team.
func (t *Tree) assignHandles(isLeaf []bool) {
	for h := range t.leafByTeam {
		t.leafByTeam[h] = -1
	}
	for i := range t.spec.Nodes {
		if !isLeaf[i] {
			continue
		}
		h, ok := t.teamByName[t.spec.Nodes[i].Name]
		if !ok {
			h = len(t.leafByTeam)
			t.teamByName[t.spec.Nodes[i].Name] = h
			t.leafByTeam = append(t.leafByTeam, -1)
		}
		t.leafByTeam[h] = int32(i)
		for _, tenant := range t.spec.Nodes[i].Tenants {
			t.teamByTenant[tenant] = h
		}
	}
	if len(t.spec.Nodes) == 0 { // without configured teams, all requests belong to one unnamed team
		t.root, t.nodes = 1, []node{{isLeaf: true, activeIndex: -1, parent: 1, Node: Node{Weight: 1}}, {activeIndex: -1, parent: -1}}
		if len(t.leafByTeam) == 0 {
			t.leafByTeam = append(t.leafByTeam, -1)
		}
		t.defaultTeam = 0
		t.leafByTeam[0] = 0
	} else {
		t.defaultTeam = t.teamByName[t.spec.Default]
	}
	for h := range t.leafByTeam {
		if t.leafByTeam[h] < 0 {
			t.leafByTeam[h] = t.leafByTeam[t.defaultTeam]
		}
	}
}

// TeamOf returns the handle of a request's team: the team that the request names, if the spec allows it; otherwise the
// team of its tenant; otherwise the default team. Handles stay valid when the spec changes.
func (t *Tree) TeamOf(tenant int, named []byte) int {
	if t.spec.RequestMayNameTeam && len(named) > 0 {
		if h, ok := t.teamByName[string(named)]; ok && t.nodes[t.leafByTeam[h]].Name == string(named) {
			return h
		}
		t.unknownTeams++
		return t.defaultTeam
	}
	if h, ok := t.teamByTenant[tenant]; ok {
		return h
	}
	return t.defaultTeam
}

// TakeUnknownTeamCount returns and resets the number of requests that named an unknown team.
func (t *Tree) TakeUnknownTeamCount() (n int) {
	n, t.unknownTeams = t.unknownTeams, 0
	return n
}

// Name returns the name of a team.
func (t *Tree) Name(team int) string { return t.nodes[t.leaf(team)].Name }

// TeamCount returns the number of team handles.
func (t *Tree) TeamCount() int { return len(t.leafByTeam) }

// leaf returns the node of a team. An unknown handle maps to the default team.
func (t *Tree) leaf(team int) int32 {
	if team < 0 || team >= len(t.leafByTeam) {
		team = t.defaultTeam
	}
	return t.leafByTeam[team]
}

// entryOf returns the entry of a slot. The caller numbers slots from 0.
func (t *Tree) entryOf(slot int32) *entry {
	for int(slot) >= len(t.entries) {
		t.entries = append(t.entries, entry{})
	}
	return &t.entries[slot]
}

// Virtual time.

// meanVirtualTime returns the virtual time of a parent: the weighted mean of the virtual times of its children in use.
func meanVirtualTime(p *node) float64 {
	if p.sumWeight > 0 {
		return p.sumWeightedVirtualTime / p.sumWeight
	}
	return p.idleMean
}

// share returns a node's fraction of the pool according to the weights of the nodes in use.
func (t *Tree) share(i int32) float64 {
	fraction := 1.0
	for ; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		sum := t.nodes[n.parent].sumWeight
		if n.inUse == 0 {
			sum += n.Weight
		}
		fraction *= n.Weight / sum
	}
	return fraction
}

// virtualTimePerSecond returns by how much the virtual times of a node's children advance per second while they use all
// of its share.
func (t *Tree) virtualTimePerSecond(i int32) float64 {
	p := &t.nodes[i]
	return t.capacity * t.share(i) / max(p.sumWeight, 1e-6)
}

// burstAllowance returns, in virtual time, how much credit a child keeps while it idles, and how far it may exceed the
// mean before it counts as over its share.
func (t *Tree) burstAllowance(i int32) float64 {
	const defaultSeconds = 2.0 // seconds of the node's share; with less, a small team could never pay for its largest requests
	n := &t.nodes[i]
	if n.Burst > 0 {
		return n.Burst / n.Weight
	}
	return defaultSeconds * t.virtualTimePerSecond(n.parent)
}

// addInUse adds count to the queued or running requests of a leaf and of all its ancestors.
func (t *Tree) addInUse(leaf int32, count int) {
	for i := leaf; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		p := &t.nodes[n.parent]
		if n.inUse == 0 { // was idle: it keeps its debt, and its credit up to the burst allowance
			n.virtualTime = max(n.virtualTime, meanVirtualTime(p)-t.burstAllowance(i))
			p.sumWeight += n.Weight
			p.sumWeightedVirtualTime += n.Weight * n.virtualTime
		}
		if n.inUse += count; n.inUse == 0 {
			p.idleMean = meanVirtualTime(p)
			if p.sumWeight -= n.Weight; p.inUse == 1 { // the last child in use
				p.sumWeight, p.sumWeightedVirtualTime = 0, 0
			} else {
				p.sumWeightedVirtualTime -= n.Weight * n.virtualTime
			}
		}
	}
	t.nodes[t.root].inUse += count
}

// maxDebtSeconds bounds debt and credit, in seconds of full use. A team is held back for at most this long after a
// runaway request.
const maxDebtSeconds = 10.0

// charge adds work to a leaf and all its ancestors. Debt and credit are bounded relative to the mean, so that one
// unusual request, or a request that no server takes, has no lasting effect. The expected work of an attempt is always
// charged in full; otherwise a small team with large requests would get more than its share.
func (t *Tree) charge(leaf int32, work float64, expected bool) {
	t.chargeCount++
	for i := leaf; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		p := &t.nodes[n.parent]
		if n.lastChargeNumber = t.chargeCount; n.Floor > 0 {
			n.floorLeft -= work
		}
		if n.Ceiling > 0 {
			n.ceilingLeft -= work
		}
		before, bound := n.virtualTime, maxDebtSeconds*t.virtualTimePerSecond(n.parent)
		upper := meanVirtualTime(p) + bound
		if expected {
			upper += work / n.Weight
		}
		n.virtualTime = min(max(before+work/n.Weight, meanVirtualTime(p)-bound), max(upper, before))
		if n.inUse > 0 {
			p.sumWeightedVirtualTime += n.Weight * (n.virtualTime - before)
		}
		t.reorder(i)
	}
}

// precedes reports whether child a is scheduled before child b: children below their floor first, then by virtual time.
func (t *Tree) precedes(a, b int32) bool {
	x, y := &t.nodes[a], &t.nodes[b]
	if xBelowFloor, yBelowFloor := x.Floor > 0 && x.floorLeft > 0, y.Floor > 0 && y.floorLeft > 0; xBelowFloor != yBelowFloor {
		return xBelowFloor
	}
	if x.virtualTime != y.virtualTime {
		return x.virtualTime < y.virtualTime
	}
	return x.lastChargeNumber < y.lastChargeNumber || x.lastChargeNumber == y.lastChargeNumber && a < b
}

// reorder moves an active child to its position in the scheduling order.
func (t *Tree) reorder(i int32) {
	n := &t.nodes[i]
	if n.activeIndex < 0 {
		return
	}
	siblings, k := t.nodes[n.parent].active, n.activeIndex
	for ; k+1 < int32(len(siblings)) && t.precedes(siblings[k+1], i); k++ {
		siblings[k] = siblings[k+1]
		t.nodes[siblings[k]].activeIndex = k
	}
	for ; k > 0 && t.precedes(i, siblings[k-1]); k-- {
		siblings[k] = siblings[k-1]
		t.nodes[siblings[k]].activeIndex = k
	}
	siblings[k], n.activeIndex = i, k
}
