// Package expect checks routing expectations that operators write beside the configuration. It simulates the router
// module that runs in production against model servers on virtual time, without opening a socket.
package expect

import "encoding/json"

// File is a file of expectations and the setup that they share.
type File struct {
	Schema       string        `json:"$schema,omitempty" jsonschema:"description=Where the schema lies; editors use it."`
	Given        Given         `json:"given,omitzero" jsonschema:"description=What all expectations of the file are given; each may say otherwise."`
	Expectations []Expectation `json:"expectations" jsonschema:"maxItems=1000"`
}

// Expectation is a scenario and the conditions that must hold in it.
type Expectation struct {
	Name        string   `json:"name" jsonschema:"minLength=1,maxLength=100,description=Unique over all files."`
	Description string   `json:"says" jsonschema:"minLength=1,description=A sentence for people: what holds."`
	Given       Given    `json:"given,omitzero"`
	Happens     []Event  `json:"happens,omitempty" jsonschema:"maxItems=200,description=In order of time."`
	Seeds       []uint64 `json:"seeds,omitempty" jsonschema:"maxItems=100,description=Chance is tried with each of these. Absent: 1 and 2 and 3."`
	Holds       []Hold   `json:"holds" jsonschema:"minItems=1,maxItems=50"`
	MayIdle     bool     `json:"may_idle,omitempty" jsonschema:"description=It may pass without ever being put to the test."`
}

// Given is the system that an expectation is checked on.
type Given struct {
	Seconds  float64         `json:"seconds,omitempty" jsonschema:"minimum=0,maximum=600,description=How long it is played. Absent: 30."`
	Routers  int             `json:"routers,omitempty" jsonschema:"minimum=0,maximum=32,description=Absent: as the settings say."`
	Engines  []Engines       `json:"engines,omitempty" jsonschema:"maxItems=1000,description=Absent: those that the configuration knows at the start."`
	Traffic  []Traffic       `json:"traffic,omitempty" jsonschema:"maxItems=100"`
	Settings json.RawMessage `json:"settings,omitempty" jsonschema:"type=object,description=Changes of the settings under test as a JSON merge patch (RFC 7396)."`
	Operator json.RawMessage `json:"operator,omitempty" jsonschema:"type=object,description=Changes of the operators' file under test as a JSON merge patch (RFC 7396)."`
}

// Engines is one server or several alike.
type Engines struct {
	Name     string  `json:"name" jsonschema:"minLength=1,maxLength=60,description=With a count above 1: name-1 and so on."`
	Count    int     `json:"count,omitempty" jsonschema:"minimum=0,maximum=1000,description=Absent: 1."`
	Kind     string  `json:"kind,omitempty" jsonschema:"description=One of the settings' kinds. Absent: the first."`
	Zone     string  `json:"zone,omitempty" jsonschema:"description=One of the settings' zones. Absent: the first."`
	Cell     int     `json:"cell,omitempty"`
	Pace     float64 `json:"pace,omitempty" jsonschema:"minimum=0,maximum=100,description=Speed of its cores. Absent: 1."`
	Sessions int     `json:"sessions,omitempty" jsonschema:"minimum=0,description=Queries at once. Absent: any."`
	Memory   float64 `json:"memory,omitempty" jsonschema:"minimum=0,description=MB. Absent: any."`
	Absent   bool    `json:"absent,omitempty" jsonschema:"description=It comes later by 'back'."`
}

// Traffic is a stream of requests of one kind.
type Traffic struct {
	Name     string  `json:"name" jsonschema:"minLength=1"`
	Profile  string  `json:"profile" jsonschema:"minLength=1"`
	Tenant   string  `json:"tenant,omitempty" jsonschema:"description=Absent: the first."`
	Team     string  `json:"team,omitempty" jsonschema:"description=Absent: as the operators' file has it for the tenant."`
	Rate     float64 `json:"rate" jsonschema:"minimum=0,maximum=100000,description=Commands a second by chance (Poisson)."`
	Work     float64 `json:"work" jsonschema:"exclusiveMinimum=0,maximum=100000,description=Core seconds of one in the mean."`
	Spread   float64 `json:"spread,omitempty" jsonschema:"minimum=0,maximum=20,description=Of the work as a share of the mean (log-normal)."`
	Memory   float64 `json:"memory,omitempty" jsonschema:"minimum=0"`
	Deadline float64 `json:"deadline,omitempty" jsonschema:"minimum=0,maximum=3600,description=Seconds that clients wait. Absent: the profile's."`
	Scatter  float64 `json:"scatter,omitempty" jsonschema:"minimum=0,maximum=20,description=Of estimates."`
	Bias     float64 `json:"bias,omitempty" jsonschema:"minimum=0,maximum=1000,description=Of estimates as a factor. Absent: 1."`
	Blind    bool    `json:"blind,omitempty" jsonschema:"description=Clients send no estimates."`
	Keys     int     `json:"keys,omitempty" jsonschema:"minimum=0,description=Distinct order keys. Absent: none."`
	Tries    int     `json:"tries,omitempty" jsonschema:"minimum=0,maximum=1000,description=Of a client in all. Absent: 1."`
	Ignores  float64 `json:"ignores,omitempty" jsonschema:"minimum=0,maximum=1,description=Share of clients that come again at once whatever they are told."`
}

// Event is a fault or a change at a given time.
type Event struct {
	At      float64  `json:"at" jsonschema:"minimum=0"`
	For     float64  `json:"for,omitempty" jsonschema:"minimum=0,description=It is over then. Engines that drained or were gone start anew. Absent: it stays."`
	What    string   `json:"what" jsonschema:"enum=drain,enum=gone,enum=back,enum=pace,enum=silent,enum=errors,enum=lose,enum=list_late,enum=list_lost,enum=list_old,enum=list_damaged,enum=burst,enum=restart,enum=reload"`
	Engines []string `json:"engines,omitempty" jsonschema:"description=By name or all of a zone or kind: zone:NAME or kind:NAME or all."`
	Any     int      `json:"any,omitempty" jsonschema:"minimum=0,description=So many of them by chance."`
	Routers []int    `json:"routers,omitempty" jsonschema:"description=Whose list is late or who restarts from 0. Absent: all."`
	Traffic string   `json:"traffic,omitempty"`
	Value   float64  `json:"value,omitempty" jsonschema:"minimum=0,maximum=100000,description=A factor or a share or seconds by what happens."`
}

// Hold is one condition. Exactly one of its fields is set.
type Hold struct {
	Never   *Rule   `json:"never,omitempty" jsonschema:"description=At no such moment is it so."`
	Always  *Rule   `json:"always,omitempty" jsonschema:"description=At every such moment it is so."`
	Within  *Within `json:"within,omitempty" jsonschema:"description=After such a moment comes another of the same command in time."`
	AtLeast *Share  `json:"at_least,omitempty" jsonschema:"description=At this share of such moments it is so."`
}

// Rule is a selection of events and the condition that is checked at each.
type Rule struct {
	On   string `json:"on" jsonschema:"enum=take,enum=send,enum=end,enum=answer,enum=priority,enum=list"`
	When string `json:"when,omitempty" jsonschema:"description=Which of them (CEL). Absent: all."`
	That string `json:"that" jsonschema:"minLength=1,description=What is asked (CEL)."`
}

// Share is a rule that must hold for a share of the events.
type Share struct {
	Rule
	Share float64 `json:"share" jsonschema:"minimum=0,maximum=1"`
}

// Within requires that one event of a request is followed by another in time.
type Within struct {
	On      string  `json:"on" jsonschema:"enum=take,enum=send,enum=end,enum=answer,enum=priority"`
	When    string  `json:"when,omitempty"`
	Then    string  `json:"then" jsonschema:"enum=send,enum=end,enum=answer,enum=priority"`
	That    string  `json:"that,omitempty"`
	Seconds float64 `json:"seconds" jsonschema:"minimum=0"`
	Share   float64 `json:"share,omitempty" jsonschema:"minimum=0,maximum=1,description=Of those that must. Absent: all."`
}
