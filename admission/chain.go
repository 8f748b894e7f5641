package admission

// This file walks the chain and decides nothing; the stages and their order stand in brain.go.

const pass, keep, ended = true, false, false // a stage passes a command on, keeps it or ends it

type stage struct {
	down func(*Brain, int32) bool
	up   func(*Brain, int32, *Outcome) bool
}

// down passes a command on from a stage, until one keeps or ends it.
func (b *Brain) down(i int32, from int) {
	for s := from; s < len(chain) && chain[s].down(b, i); s++ {
	}
}

// flush sends on held commands that find a place now.
func (b *Brain) flush() {
	const order = 2 // the stage below admit
	if t := b.set.Teams; t != nil {
		for t.StartWalk(b.now); ; {
			i := t.Next()
			if i < 0 {
				return
			}
			if b.down(i, order); b.cmds.rec[i].held {
				t.Skip(i)
			}
		}
	}
	for k := 0; k < len(b.cmds.held); {
		i := b.cmds.held[k]
		b.down(i, order)
		if k < len(b.cmds.held) && b.cmds.held[k] == i {
			k++
		}
	}
}
