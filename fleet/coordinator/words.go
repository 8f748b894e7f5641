package coordinator

import (
	"dunereach/fleet/lease"
	"dunereach/fleet/registry"
)

// What sessions and keepers say to each other. They travel as JSON (internal/coordserver); here they are plain values.

// Beat is a session's word that it lives, and what it wants. The answer, a View, is held until there is news.
type Beat struct {
	Name        string   `json:"name"`
	Incarnation uint64   `json:"incarnation"`
	Zone        string   `json:"zone,omitempty"`
	Region      string   `json:"region,omitempty"`
	Session     uint64   `json:"session,omitempty"` // as told, 0: open one
	Got         uint64   `json:"got,omitempty"`     // number of the last view that came; the first one brings no session, but asks for this
	Stands      []string `json:"stands,omitempty"`  // kinds of work that it would own
	Wants       []Want   `json:"wants,omitempty"`   // works that it has use for
	Highest     uint64   `json:"highest,omitempty"` // fence that it has ever seen
}

// Want is a work, "kind/what", and its place.
type Want struct {
	Work string `json:"work"`
	Zone string `json:"zone,omitempty"`
}

// View is what a session is told.
type View struct {
	Number   uint64   `json:"number"`
	Session  uint64   `json:"session"`
	Lease    float64  `json:"lease"`
	Drift    float64  `json:"drift"`
	Mine     []Mine   `json:"mine,omitempty"`
	Works    []Seen   `json:"works,omitempty"`
	Mail     []Letter `json:"mail,omitempty"`
	Sessions int      `json:"sessions"`
	Fence    uint64   `json:"fence"` // the highest ever given
}

// Mine is a work that the session owns.
type Mine struct {
	lease.Claim
	Asked bool `json:"asked,omitempty"` // an operator asks it to let go
}

// Seen is a work that it wants.
type Seen struct {
	Work  string  `json:"work"`
	Fence uint64  `json:"fence"`
	Owner string  `json:"owner,omitempty"`
	Note  []byte  `json:"note,omitempty"` // what an owner put down
	By    uint64  `json:"by,omitempty"`   // under this fence
	Age   float64 `json:"age,omitempty"`  // seconds at least since then; where the keeper can't know, very many
}

// Letter goes from one session to others by way of the keepers, who hand it on and keep nothing of it. Letters get lost.
type Letter struct {
	Work        string `json:"work"`
	Fence       uint64 `json:"fence,omitempty"` // of an owner's
	From        string `json:"from,omitempty"`  // set by the keeper
	Incarnation uint64 `json:"incarnation,omitempty"`
	To          string `json:"to,omitempty"` // a name; "*": all that want the work; "": its owner
	Body        []byte `json:"body"`
}

// Mail is letters of one session.
type Mail struct {
	Session     uint64   `json:"session"`
	Incarnation uint64   `json:"incarnation"`
	Letters     []Letter `json:"letters"`
}

// Posted tells what became of mail: works whose letters were refused as the sender is not the owner, with the fence of now.
type Posted struct {
	Old []lease.FenceMark `json:"old,omitempty"`
}

// Act is something that a session wants agreed.
type Act struct {
	Kind    string `json:"kind"` // "release", "note" or "close"
	Session uint64 `json:"session"`
	Work    string `json:"work,omitempty"`
	Fence   uint64 `json:"fence,omitempty"`
	Body    []byte `json:"body,omitempty"`
}

// Order is an operator's.
type Order struct {
	Kind string `json:"kind"` // "release" a work, "say" something as one, "join" or "leave" of a keeper
	Body []byte `json:"body,omitempty"`
	Work string `json:"work,omitempty"`
	// Fence of the owner that a release is meant for: once that owner has let go, the order is done and asks nobody else. 0: whoever
	// owns the work when the order is agreed; such an order is not safe to repeat.
	Fence uint64 `json:"fence,omitempty"`
	Name  string `json:"name,omitempty"`
	Addr  string `json:"addr,omitempty"`
	Zone  string `json:"zone,omitempty"`
}

// Status of one keeper.
type Status struct {
	ID      uint64  `json:"id"`
	Name    string  `json:"name"`
	Record  string  `json:"record"`
	State   string  `json:"state"`
	Leader  uint64  `json:"leader"`
	Term    uint64  `json:"term"`
	Commit  uint64  `json:"commit"`
	Applied uint64  `json:"applied"`
	Begun   bool    `json:"begun"`   // it has taken part
	Started []int   `json:"started"` // numbers of keepers that the record has seen take part
	Led     float64 `json:"led"`     // seconds that it leads
}

// Bounds on what one session may say.
const (
	MostWants   = 128
	MostLetters = registry.MostRouters // at once: an owner's grants to all routers, or a pledge for each cold database
	MostBody    = 8192                 // bytes of a letter
	MostStands  = 16
)

// mostBox is how many letters wait for one session; newer ones push out older. All routers answer an owner's round at once, and
// one router may own some tasks.
const mostBox = 4 * registry.MostRouters
