package hollow

import (
	"dunereach/internal/coordserver"
)

// Action names what a worker process is asked to do.
type Action string

// Actions. Each command gets one report.
const (
	Configure Action = "configure" // Setup: the first command, once
	Start     Action = "start"     // Routers: new processes of these, of a new incarnation
	Crash     Action = "crash"     // Routers: they end without a word, as by SIGKILL
	Stop      Action = "stop"      // Routers: they end their sessions, as by SIGTERM
	Load      Action = "load"      // Demand: what all routers have use for from now on
	Cut       Action = "cut"       // Region, Addresses: links that carry nothing from now on
	Heal      Action = "heal"      // all links
	Mark      Action = "mark"      // from now on confirmations count for Report.Confirmed
	Look      Action = "look"      // nothing but the report
)

// Setup of the routers of one process.
type Setup struct {
	Coordinators []string          `json:"coordinators"` // published addresses
	Route        map[string]string `json:"route"`        // published to listening addresses
	Routers      int               `json:"routers"`      // that the fleet's settings name, in all processes
	Zones        []Zone            `json:"zones"`
	Databases    int               `json:"databases"` // in the list that each router holds
}

// Zone and the region that it is in.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Demand is what the data path would tell the control part.
type Demand struct {
	Cold       int  `json:"cold"`       // databases that warm up, each of use to every router
	Generation int  `json:"generation"` // of their starts: tasks of another one are others
	Reports    bool `json:"reports"`    // evidence on zones goes to the plan's owner once a second
}

// Command to a worker process.
type Command struct {
	Action    Action   `json:"action"`
	Setup     *Setup   `json:"setup,omitempty"`
	Routers   []int    `json:"routers,omitempty"` // numbers, from 1
	Demand    *Demand  `json:"demand,omitempty"`
	Region    string   `json:"region,omitempty"`
	Addresses []string `json:"addresses,omitempty"`
}

// Report of a worker process, or of several together.
type Report struct {
	Error     string  `json:"error,omitempty"`
	Live      int     `json:"live"`      // routers that run
	Open      int     `json:"open"`      // with a session
	Confirmed int     `json:"confirmed"` // whose session was confirmed since the mark
	Last      float64 `json:"last"`      // boot clock, when the last of these was first confirmed
	Held      int     `json:"held"`      // tasks that their owners believe in
	Shares    int     `json:"shares"`    // cold databases by routers that may use a granted part now
	Listed    int     `json:"listed"`    // databases in the lists of all routers

	Requests int64                              `json:"requests"`
	Bytes    int64                              `json:"bytes"` // on connections, both ways, with headers
	ByPath   map[string]coordserver.PathTraffic `json:"by_path"`

	Grants, Relinquished, Late, Refused, Lost int
	Acts                                      []Act `json:"acts,omitempty"` // since the last report
	Unseen                                    int   `json:"unseen"`         // acts that found no room
}

// Add another process's report.
func (r *Report) Add(o Report) {
	if r.Error == "" {
		r.Error = o.Error
	}
	r.Live, r.Open, r.Confirmed = r.Live+o.Live, r.Open+o.Open, r.Confirmed+o.Confirmed
	r.Last = max(r.Last, o.Last)
	r.Held, r.Shares, r.Listed = r.Held+o.Held, r.Shares+o.Shares, r.Listed+o.Listed
	r.Requests, r.Bytes = r.Requests+o.Requests, r.Bytes+o.Bytes
	r.addPaths(o.ByPath)
	r.Grants, r.Relinquished, r.Late = r.Grants+o.Grants, r.Relinquished+o.Relinquished, r.Late+o.Late
	r.Refused, r.Lost, r.Unseen = r.Refused+o.Refused, r.Lost+o.Lost, r.Unseen+o.Unseen
	r.Acts = append(r.Acts, o.Acts...)
}

func (r *Report) addPaths(paths map[string]coordserver.PathTraffic) {
	if r.ByPath == nil {
		r.ByPath = map[string]coordserver.PathTraffic{}
	}
	for path, traffic := range paths {
		sum := r.ByPath[path]
		sum.Requests += traffic.Requests
		sum.Bytes += traffic.Bytes
		r.ByPath[path] = sum
	}
}
