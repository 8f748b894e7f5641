package hollow

import (
	"dunereach/internal/coordserver"
)

// Action is the kind of a command to a worker process.
type Action string

// The actions, with the command fields that each uses. Every command is answered by one report.
const (
	Configure      Action = "configure" // Setup: must be the first command, and sent only once
	Start          Action = "start"     // Routers: start these as new incarnations
	Crash          Action = "crash"     // Routers: end these without closing their sessions, as SIGKILL would
	Stop           Action = "stop"      // Routers: close the sessions of these and end them, as SIGTERM would
	SetDemand      Action = "load"      // Demand: the demand of all routers from now on
	Cut            Action = "cut"       // Region, Addresses: links that drop all data from now on
	Heal           Action = "heal"      // restore all links
	ResetConfirmed Action = "mark"      // only confirmations from now on count for Report.Confirmed
	CollectReports Action = "look"      // only report
)

// Setup configures the routers of one process.
type Setup struct {
	Coordinators []string          `json:"coordinators"` // published addresses
	Route        map[string]string `json:"route"`        // published to listening addresses
	Routers      int               `json:"routers"`      // number of routers in the fleet's settings, over all processes
	Zones        []Zone            `json:"zones"`
	Databases    int               `json:"databases"` // number of databases in each router's list
}

// Zone is a zone's name with its region.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Demand is the demand that a router's data path would report to its control part.
type Demand struct {
	ColdDatabases int  `json:"cold"`       // number of databases that are warming up, each needed by every router
	Generation    int  `json:"generation"` // distinguishes restarts of these databases: each generation has its own tasks
	SendEvidence  bool `json:"reports"`    // send evidence about zones to the plan's owner once a second
}

// Command is one command to a worker process.
type Command struct {
	Action    Action   `json:"action"`
	Setup     *Setup   `json:"setup,omitempty"`
	Routers   []int    `json:"routers,omitempty"` // router numbers, starting at 1
	Demand    *Demand  `json:"demand,omitempty"`
	Region    string   `json:"region,omitempty"`
	Addresses []string `json:"addresses,omitempty"`
}

// Report is the state of the routers of one worker process, or the sum over several.
type Report struct {
	Error     string  `json:"error,omitempty"`
	Live      int     `json:"live"`      // running routers
	Open      int     `json:"open"`      // of these, with a session
	Confirmed int     `json:"confirmed"` // of these, with a session confirmed since the last ResetConfirmed
	Last      float64 `json:"last"`      // boot clock time at which the last of the confirmed routers was first confirmed
	Held      int     `json:"held"`      // tasks that the routers consider themselves owners of
	Shares    int     `json:"shares"`    // pairs of a cold database and a router that has a usable share of it now
	Listed    int     `json:"listed"`    // database entries, summed over the lists of all routers

	Requests int64                              `json:"requests"`
	Bytes    int64                              `json:"bytes"` // bytes on connections in both directions, including headers
	ByPath   map[string]coordserver.PathTraffic `json:"by_path"`

	Grants, Relinquished, Late, Refused, Lost int
	Acts                                      []Act `json:"acts,omitempty"` // acts since the last report
	Unseen                                    int   `json:"unseen"`         // acts dropped because the buffer was full
}

// Add adds the report of another process.
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
