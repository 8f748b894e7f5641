package fairshare

// This file exports what teams have had for a later process, and imports it.

// Levels returns how far each team and group is ahead of its siblings, in work over weight; a negative level is owed. Those that
// are even are left out.
func (t *Tree) Levels() map[string]float64 {
	all := map[string]float64{}
	for i := range t.nodes {
		if n := &t.nodes[i]; n.parent >= 0 && n.Name != "" && n.inUse > 0 {
			if ahead := n.virtualTime - mean(&t.nodes[n.parent]); ahead != 0 {
				all[n.Name] = ahead
			}
		}
	}
	return all
}

// RestoreLevels starts teams that far ahead of their siblings. Nothing may be queued or running yet. A team is owed no more than
// an idle team saves up.
func (t *Tree) RestoreLevels(levels map[string]float64) {
	for i := range t.nodes {
		if n := &t.nodes[i]; n.parent >= 0 && n.Name != "" && n.inUse == 0 {
			n.virtualTime = levels[n.Name]
		}
	}
}

// Find returns the handle of the team with a name.
func (t *Tree) Find(name string) (team int, ok bool) {
	team, ok = t.names[name]
	return team, ok && t.Name(team) == name
}
