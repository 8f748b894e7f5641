package fairshare

// This file exports the teams' accounts for a later process and imports them.

// VirtualTimeLeads returns, by name, how far the virtual time of each team and group in use is ahead of the mean of its
// siblings. A team with a negative lead is owed work. Leads of 0 are omitted.
func (t *Tree) VirtualTimeLeads() map[string]float64 {
	leads := map[string]float64{}
	for i := range t.nodes {
		if n := &t.nodes[i]; n.parent >= 0 && n.Name != "" && n.inUse > 0 {
			if lead := n.virtualTime - meanVirtualTime(&t.nodes[n.parent]); lead != 0 {
				leads[n.Name] = lead
			}
		}
	}
	return leads
}

// RestoreVirtualTimeLeads makes teams start with the given leads. It must be called before anything is queued or
// running. A team is owed no more than the credit that it could save up while idle.
func (t *Tree) RestoreVirtualTimeLeads(leads map[string]float64) {
	for i := range t.nodes {
		if n := &t.nodes[i]; n.parent >= 0 && n.Name != "" && n.inUse == 0 {
			n.virtualTime = leads[n.Name]
		}
	}
}

// TeamByName returns the handle of the team with a name.
func (t *Tree) TeamByName(name string) (team int, ok bool) {
	team, ok = t.teamByName[name]
	return team, ok && t.Name(team) == name
}
