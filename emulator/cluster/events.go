package cluster

// This file implements the queue of future events, ordered by time.

import (
	"container/heap"

	"dunereach/admission"
)

type eventKind uint8

const (
	wakeEvent eventKind = iota
	arrivalEvent
	shadowEvent
	outcomeEvent
	timeoutEvent
	pollEvent
	listAnswerEvent
	faultStartEvent
	faultEndEvent
)

type event struct {
	at          float64
	seq         uint64
	kind        eventKind
	router      int
	incarnation int // incarnation of the router that the event is for; events for an ended incarnation are dropped
	token       uint64
	attempt     int
	request     Request
	end         admission.End
	answer      []byte
	fault       Fault
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (sim *Simulation) push(e event) {
	sim.seq++
	e.seq = sim.seq
	heap.Push(&sim.queue, e)
}
