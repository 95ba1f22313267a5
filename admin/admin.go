// Package admin defines the responses of the administration API and a client for it.
package admin

import (
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Status is the response of /admin/v1/status.
type Status struct {
	Process  units.ProcessName                        `json:"process"`
	Place    units.PlaceName                          `json:"place"`
	Revision units.Revision                           `json:"revision"`
	Refused  int64                                    `json:"refused"` // number of rejected configuration revisions
	Ready    bool                                     `json:"ready"`
	Stopping bool                                     `json:"stopping"`
	InFlight int64                                    `json:"inFlight"`
	Rank     int                                      `json:"rank"`    // index among the live processes of the availability zone
	Members  int                                      `json:"members"` // number of live processes in the availability zone
	Holds    map[units.ServiceName]units.FencingToken `json:"holds"`   // fencing tokens of the leases that the process holds
	Links    []Link                                   `json:"links"`
}

// Link describes an open link to a peer.
type Link struct {
	Process  units.ProcessName `json:"process"`
	Place    units.PlaceName   `json:"place"`
	Revision units.Revision    `json:"revision"` // configuration revision in force at the peer
}

// Config is the response of /admin/v1/config.
type Config struct {
	Revision units.Revision `json:"revision"`
	Files    []File         `json:"files"`
}

// File is one file of the configuration in force.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Engine is one entry of the response of /admin/v1/engines.
type Engine struct {
	Name      units.EngineName  `json:"name"`
	Service   units.ServiceName `json:"service"`
	Address   string            `json:"address"`
	Role      engine.Role       `json:"role"`
	InFlight  int64             `json:"inFlight"` // requests of this process
	Blocked   string            `json:"blocked"`  // reasons for not sending new work, empty if there are none
	Reported  bool              `json:"reported"`
	ReportAge string            `json:"reportAge,omitempty"`
	Report    engine.Report     `json:"report"`
}
