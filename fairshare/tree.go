package fairshare

import "math"

// node is a team, or what teams belong to; the last of the tree is the root.
type node struct {
	Node
	parent int32
	leaf   bool

	// As a child: its virtual time is the work charged to it over its weight.
	v         float64
	served    uint64 // when last charged: among equals the one that waited longer goes first
	place     int32  // in its parent's active ones, -1: it holds nothing
	floorLeft float64
	ceilLeft  float64

	// As a parent: the children in use, which hold or have something out, and those that hold, in order.
	sumW, sumWV float64
	mean        float64 // of their virtual times, when last any was in use
	active      []int32

	uses, held int     // held and out, and held, at or below
	work       float64 // of what is held at or below
	cut, cutAt float64 // price that was given up, 0: none
	threads    float64 // a leaf's, out
	line       []int32 // a leaf's held commands, least rank first
	pos        int     // where the walk of a pass stands, in line or active
	pass       uint64
}

// account is one command's: held, or with a send out.
type account struct {
	team    int // handle
	rank    float64
	work    float64 // expected, core seconds
	since   float64 // held since
	due     float64 // latest time to send it
	stuck   float64 // no engine would take it whatever the places, until then
	threads float64
	charge  float64
	share   float64 // done, as last told
	held    bool
	out     bool
	bends   bool // its level can be lowered
	lowered bool
	raise   bool  // as soon as may be
	bent    uint8 // times it was lowered
	place   int32 // among those that are out
}

// Tree keeps the teams' accounts. It is one owner's.
type Tree struct {
	spec     Spec
	nodes    []node
	root     int32
	teams    []int32        // leaf by handle
	names    map[string]int // handle by name; names of earlier specs stay
	tenants  map[int]int    // handle by tenant
	standard int            // handle of the default team
	metered  []int32        // nodes with a floor or a ceiling

	acct     []account
	outs     []int32
	threads  float64 // out
	bent     float64 // threads of those lowered
	capacity float64 // core seconds a second that this router's part of the pool can do
	now      float64
	ticked   float64
	pass     uint64
	charges  uint64
	turn     turn
	tokens   float64 // changes of levels that may be made
	pressed  float64 // when last a team inside its budget waited too long
	changes  []Change

	unknown int // commands whose call named a team that is none, since last asked
}

// Change of a send's level: lowered by one, or back to what it was sent with.
type Change struct {
	At      int32
	Lowered bool
}

// New is a tree with no commands.
func New(spec Spec, now float64) (*Tree, error) {
	t := &Tree{names: map[string]int{}, capacity: 1, now: now, ticked: now, pressed: math.Inf(-1), turn: turn{at: -1}}
	return t, t.Renew(spec)
}

// Renew takes another spec over. Accounts go on under the names that remain; what belongs to a team that is gone is the
// default team's from now on. A spec with a fault changes nothing.
func (t *Tree) Renew(spec Spec) error {
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
	if len(t.teams)+fresh > 4*most { // handles of earlier names stay, as commands in hand carry them
		return &Fault{-1, "default", "too many different names of teams since the start: restart to take it"}
	}
	old := t.nodes
	t.spec, t.root = spec, int32(len(spec.Nodes))
	t.nodes = make([]node, len(spec.Nodes)+1)
	t.tenants, t.metered = map[int]int{}, t.metered[:0]
	lag := map[string]float64{} // ahead of its siblings' mean, by name
	for i := range old[:max(len(old)-1, 0)] {
		if o := &old[i]; o.uses > 0 {
			lag[o.Name] = o.v - mean(&old[o.parent])
		}
	}
	for i := range t.nodes {
		t.nodes[i] = node{place: -1, parent: -1}
	}
	for i, d := range spec.Nodes {
		n := &t.nodes[i]
		n.Node, n.leaf, n.v = d, leaf[i], lag[d.Name]
		if n.parent = parent[i]; n.parent < 0 {
			n.parent = t.root
		}
		if d.Floor > 0 || d.Ceiling > 0 {
			t.metered = append(t.metered, int32(i))
		}
	}
	for h := range t.teams {
		t.teams[h] = -1
	}
	for i := range spec.Nodes {
		if !leaf[i] {
			continue
		}
		h, ok := t.names[spec.Nodes[i].Name]
		if !ok {
			h = len(t.teams)
			t.names[spec.Nodes[i].Name] = h
			t.teams = append(t.teams, -1)
		}
		t.teams[h] = int32(i)
		for _, tenant := range spec.Nodes[i].Tenants {
			t.tenants[tenant] = h
		}
	}
	if len(spec.Nodes) == 0 { // all belong to one team that stands for none
		t.root, t.nodes = 1, []node{{leaf: true, place: -1, parent: 1, Node: Node{Weight: 1}}, {place: -1, parent: -1}}
		if len(t.teams) == 0 {
			t.teams = append(t.teams, -1)
		}
		t.standard = 0
		t.teams[0] = 0
	} else {
		t.standard = t.names[spec.Default]
	}
	for h := range t.teams {
		if t.teams[h] < 0 {
			t.teams[h] = t.teams[t.standard]
		}
	}
	t.turn = turn{at: -1}
	for at := range t.acct {
		a := &t.acct[at]
		if a.out {
			t.use(t.teams[a.team], 1)
			t.nodes[t.teams[a.team]].threads += a.threads
		}
		if a.held {
			t.enter(int32(at))
		}
	}
	return nil
}

// Of gives the team of a command: the one its call names, where that may be, else its tenant's, else the default. The
// handle stays good when the spec changes.
func (t *Tree) Of(tenant int, named []byte) int {
	if t.spec.ByCall && len(named) > 0 {
		if h, ok := t.names[string(named)]; ok && t.nodes[t.teams[h]].Name == string(named) {
			return h
		}
		t.unknown++
		return t.standard
	}
	if h, ok := t.tenants[tenant]; ok {
		return h
	}
	return t.standard
}

// Unknown is how many calls named a team that is none since this was last asked.
func (t *Tree) Unknown() (n int) {
	n, t.unknown = t.unknown, 0
	return n
}

// Name of a team.
func (t *Tree) Name(team int) string { return t.nodes[t.leaf(team)].Name }

// Teams is how many handles there are.
func (t *Tree) Teams() int { return len(t.teams) }

func (t *Tree) leaf(team int) int32 {
	if team < 0 || team >= len(t.teams) {
		team = t.standard
	}
	return t.teams[team]
}

func (t *Tree) account(at int32) *account {
	for int(at) >= len(t.acct) {
		t.acct = append(t.acct, account{})
	}
	return &t.acct[at]
}

// ---- virtual time

func mean(p *node) float64 {
	if p.sumW > 0 {
		return p.sumWV / p.sumW
	}
	return p.mean
}

// part of the pool that a node's children have between them, by the weights in use.
func (t *Tree) part(i int32) float64 {
	f := 1.0
	for ; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		w := t.nodes[n.parent].sumW
		if n.uses == 0 {
			w += n.Weight
		}
		f *= n.Weight / w
	}
	return f
}

// second is what the virtual time of a node's children moves on by in a second of full use.
func (t *Tree) second(i int32) float64 {
	p := &t.nodes[i]
	return t.capacity * t.part(i) / max(p.sumW, 1e-6)
}

// slack is how far a child may be ahead after idling, and past the mean before it counts as over.
func (t *Tree) slack(i int32) float64 {
	const standard = 2.0 // seconds of its part: a few of a small team's largest commands, or it could never pay for one
	n := &t.nodes[i]
	if n.Burst > 0 {
		return n.Burst / n.Weight
	}
	return standard * t.second(n.parent)
}

// use counts a command at a leaf as in use, or no longer.
func (t *Tree) use(leaf int32, by int) {
	for i := leaf; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		p := &t.nodes[n.parent]
		if n.uses == 0 { // it idled: it keeps a debt, and a credit up to its burst
			n.v = max(n.v, mean(p)-t.slack(i))
			p.sumW += n.Weight
			p.sumWV += n.Weight * n.v
		}
		if n.uses += by; n.uses == 0 {
			p.mean = mean(p)
			if p.sumW -= n.Weight; p.uses == 1 { // the last one
				p.sumW, p.sumWV = 0, 0
			} else {
				p.sumWV -= n.Weight * n.v
			}
		}
	}
	t.nodes[t.root].uses += by
}

const longestDebt = 10.0 // seconds of full use: the longest that a runaway's team is kept back

// charge adds work to a leaf in use and all above it. Debt and credit are bounded against the mean, so that neither one
// odd command nor one that no engine will take weighs for long; but what was expected of a send is always paid whole, or
// a small team with large commands would have more than its part.
func (t *Tree) charge(leaf int32, work float64, expected bool) {
	t.charges++
	for i := leaf; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		p := &t.nodes[n.parent]
		if n.served = t.charges; n.Floor > 0 {
			n.floorLeft -= work
		}
		if n.Ceiling > 0 {
			n.ceilLeft -= work
		}
		was, most := n.v, longestDebt*t.second(n.parent)
		end := mean(p) + most
		if expected {
			end += work / n.Weight
		}
		n.v = min(max(was+work/n.Weight, mean(p)-most), max(end, was))
		if n.uses > 0 {
			p.sumWV += n.Weight * (n.v - was)
		}
		t.move(i)
	}
}

// first: a child under its floor before others, then the least virtual time.
func (t *Tree) first(a, b int32) bool {
	x, y := &t.nodes[a], &t.nodes[b]
	if f, g := x.Floor > 0 && x.floorLeft > 0, y.Floor > 0 && y.floorLeft > 0; f != g {
		return f
	}
	if x.v != y.v {
		return x.v < y.v
	}
	return x.served < y.served || x.served == y.served && a < b
}

// move puts a child that holds where it belongs now.
func (t *Tree) move(i int32) {
	n := &t.nodes[i]
	if n.place < 0 {
		return
	}
	all, k := t.nodes[n.parent].active, n.place
	for ; k+1 < int32(len(all)) && t.first(all[k+1], i); k++ {
		all[k] = all[k+1]
		t.nodes[all[k]].place = k
	}
	for ; k > 0 && t.first(i, all[k-1]); k-- {
		all[k] = all[k-1]
		t.nodes[all[k]].place = k
	}
	all[k], n.place = i, k
}
