package fairshare

// This file gives what teams have had to a process that comes after this one, and takes it.

// Levels is how far each team and what teams belong to is ahead of what it shares a parent with, in work over weight: below zero it
// is owed. Who is even is left out.
func (t *Tree) Levels() map[string]float64 {
	all := map[string]float64{}
	for i := range t.nodes {
		if n := &t.nodes[i]; n.parent >= 0 && n.Name != "" && n.uses > 0 {
			if ahead := n.v - mean(&t.nodes[n.parent]); ahead != 0 {
				all[n.Name] = ahead
			}
		}
	}
	return all
}

// Owe has teams begin that far ahead of the others. Nothing may be held or out yet. Who is owed gets no more than an idle team saves
// up anyway.
func (t *Tree) Owe(levels map[string]float64) {
	for i := range t.nodes {
		if n := &t.nodes[i]; n.parent >= 0 && n.Name != "" && n.uses == 0 {
			n.v = levels[n.Name]
		}
	}
}

// Find the handle of a team by its name.
func (t *Tree) Find(name string) (team int, ok bool) {
	team, ok = t.names[name]
	return team, ok && t.Name(team) == name
}
