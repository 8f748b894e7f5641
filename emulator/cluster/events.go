package cluster

// This file has the queue of what is yet to happen, by its time.

import (
	"container/heap"

	"dunereach/admission"
)

type what uint8

const (
	wake what = iota
	arrive
	look
	outcome
	limit
	poll
	news
	happen
	calm
)

type event struct {
	at     float64
	seq    uint64
	what   what
	router int
	life   int // of the router that it was for: one that ended hears nothing more
	token  uint64
	number int
	try    Try
	end    admission.End
	text   []byte
	h      Happening
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

func (t *Town) push(e event) {
	t.seq++
	e.seq = t.seq
	heap.Push(&t.todo, e)
}
