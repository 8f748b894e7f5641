package admission

// This file walks the chain and decides nothing; the stages and their order stand in brain.go.

const pass, keep, ended = true, false, false // a stage passes a command on, keeps it or ends it

type stage struct {
	forward func(*Brain, int32) bool
	back    func(*Brain, int32, *Outcome) bool
}

// forward passes a command on from a stage, until one keeps or ends it.
func (b *Brain) forward(i int32, from int) {
	for s := from; s < len(chain) && chain[s].forward(b, i); s++ {
	}
}

// dispatchQueued sends on held commands that find a place now.
func (b *Brain) dispatchQueued() {
	const orderStage = 2 // the stage below admit
	if t := b.settings.Teams; t != nil {
		for t.StartWalk(b.now); ; {
			i := t.Next()
			if i < 0 {
				return
			}
			if b.forward(i, orderStage); b.requests.states[i].queued {
				t.Skip(i)
			}
		}
	}
	for k := 0; k < len(b.requests.queued); {
		i := b.requests.queued[k]
		b.forward(i, orderStage)
		if k < len(b.requests.queued) && b.requests.queued[k] == i {
			k++
		}
	}
}
