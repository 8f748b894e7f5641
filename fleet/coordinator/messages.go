package coordinator

import (
	"dunereach/fleet/lease"
	"dunereach/fleet/registry"
)

// This file defines the messages between sessions and coordinators. They are sent as JSON (internal/coordserver).

// Heartbeat renews a session's lease and lists the tasks that the session requests. Its answer, a Snapshot, is held until
// something changes.
type Heartbeat struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone,omitempty"`
	Region      string `json:"region,omitempty"`
	Session     uint64 `json:"session,omitempty"` // as assigned by the coordinators, 0: open a session
	// Number of the last snapshot received. The first answer has no session: returning its number opens one.
	LastSnapshot   uint64          `json:"got,omitempty"`
	CandidateKinds []string        `json:"stands,omitempty"`  // kinds of task that the session can own
	RequestedTasks []RequestedTask `json:"wants,omitempty"`   // the tasks that it requests
	HighestFence   uint64          `json:"highest,omitempty"` // the highest fence that it has ever seen
}

// RequestedTask is the name of a task, "kind/thing", and the zone that it belongs to.
type RequestedTask struct {
	Task string `json:"work"`
	Zone string `json:"zone,omitempty"`
}

// Snapshot is the state that a session receives in answer to a heartbeat.
type Snapshot struct {
	Number   uint64      `json:"number"`
	Session  uint64      `json:"session"`
	Lease    float64     `json:"lease"`
	Drift    float64     `json:"drift"`
	Owned    []OwnedTask `json:"mine,omitempty"`
	Tasks    []TaskState `json:"works,omitempty"`
	Messages []Message   `json:"mail,omitempty"`
	Sessions int         `json:"sessions"`
	Fence    uint64      `json:"fence"` // the highest fence ever given
}

// OwnedTask is a task that the session owns.
type OwnedTask struct {
	lease.Claim
	ReleaseRequested bool `json:"asked,omitempty"` // an operator asks the session to release it
}

// TaskState is the state of a task that the session requests.
type TaskState struct {
	Task            string  `json:"work"`
	Fence           uint64  `json:"fence"`
	Owner           string  `json:"owner,omitempty"`
	Annotation      []byte  `json:"note,omitempty"` // the annotation that an owner stored
	AnnotationFence uint64  `json:"by,omitempty"`   // the fence under which it was stored
	AnnotationAge   float64 `json:"age,omitempty"`  // seconds since then at least; 1e9 where the coordinator doesn't know
}

// Message goes from one session to others through the coordinators, which forward it without storing it. Messages may be lost.
type Message struct {
	Task        string `json:"work"`
	Fence       uint64 `json:"fence,omitempty"` // set on an owner's messages
	From        string `json:"from,omitempty"`  // set by the coordinator
	Incarnation uint64 `json:"incarnation,omitempty"`
	To          string `json:"to,omitempty"` // a name; "*": all sessions that request the task; "": its owner
	Body        []byte `json:"body"`
}

// MessageBatch is a batch of messages from one session.
type MessageBatch struct {
	Session     uint64    `json:"session"`
	Incarnation uint64    `json:"incarnation"`
	Messages    []Message `json:"letters"`
}

// PostResult is the answer to a batch of messages. It lists the tasks whose messages were rejected because the sender is not
// the owner, with their current fences.
type PostResult struct {
	Stale []lease.TaskFence `json:"old,omitempty"`
}

// Action is a change of the registry that a session requests.
type Action struct {
	Kind    string `json:"kind"` // "release", "note" or "close"
	Session uint64 `json:"session"`
	Task    string `json:"work,omitempty"`
	Fence   uint64 `json:"fence,omitempty"`
	Body    []byte `json:"body,omitempty"`
}

// Order is an operator's order.
type Order struct {
	Kind string `json:"kind"` // "release" of a task, "say" to store the body under a task's name, "join" or "leave" of a coordinator
	Body []byte `json:"body,omitempty"`
	Task string `json:"work,omitempty"`
	// Fence of the owner that a release is meant for: once that owner has released the task, the order is done and asks
	// nobody else. 0 means the owner at the time when the order is committed; such an order is not safe to repeat.
	Fence uint64 `json:"fence,omitempty"`
	// Replaces is the fence of the annotation that a "say" was made from, 0: there was none. If another one was agreed on meanwhile the
	// order changes nothing, so it is safe to repeat. nil: it replaces any.
	Replaces *uint64 `json:"replaces,omitempty"`
	// Identity of a "join", random: a copy that comes late does nothing. 0: unknown; such an order is not safe to repeat.
	Identity uint64 `json:"identity,omitempty"`
	Name     string `json:"name,omitempty"`
	Addr     string `json:"addr,omitempty"`
	Zone     string `json:"zone,omitempty"`
}

// Status is the status of one coordinator.
type Status struct {
	ID        uint64  `json:"id"`
	Name      string  `json:"name"`
	Registry  string  `json:"record"`
	State     string  `json:"state"`
	Leader    uint64  `json:"leader"`
	Term      uint64  `json:"term"`
	Commit    uint64  `json:"commit"`
	Applied   uint64  `json:"applied"`
	HasJoined bool    `json:"begun"`   // it has taken part in the group
	Started   []int   `json:"started"` // IDs of the coordinators that have taken part, by the registry
	LeaderFor float64 `json:"led"`     // seconds for which it has been the leader
}

// Bounds on the messages of one session.
const (
	MaxRequestedTasks = 128
	MaxMessages       = registry.MaxRouters // per batch: an owner's grants to all routers, or a relinquishment for each cold database
	MaxMessageBytes   = 8192                // bytes of a message
	MaxCandidateKinds = 16
)

// maxInbox is how many messages may wait for one session; newer ones push out older ones. All routers answer an owner's round
// at once, and one router may own several tasks.
const maxInbox = 4 * registry.MaxRouters
