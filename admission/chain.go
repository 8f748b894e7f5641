package admission

// This file runs the chain of stages and decides nothing; the stages and their order are in controller.go.

const pass, keep, ended = true, false, false // whether a stage passes a request on, keeps it or ends it

// stage is one step of the chain: forward handles a request, and back the outcome of an attempt.
type stage struct {
	forward func(*Controller, int32) bool
	back    func(*Controller, int32, *Outcome) bool
}

// forward passes a request on from a stage until one keeps or ends it.
func (b *Controller) forward(i int32, from int) {
	for s := from; s < len(chain) && chain[s].forward(b, i); s++ {
	}
}

// dispatchQueued starts attempts of queued requests that find a slot now.
func (b *Controller) dispatchQueued() {
	const orderStage = 2 // index of the stage after admit
	if t := b.config.Teams; t != nil {
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
