// Package admin holds the answers of the administration API and its client.
package admin

import (
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Status is the answer of /admin/v1/status.
type Status struct {
	Process  units.ProcessName                 `json:"process"`
	Place    units.PlaceName                   `json:"place"`
	Revision units.Revision                    `json:"revision"`
	Refused  int64                             `json:"refused"` // revisions that were refused
	Ready    bool                              `json:"ready"`
	Stopping bool                              `json:"stopping"`
	InFlight int64                             `json:"inFlight"`
	Rank     int                               `json:"rank"`    // among the live processes of the availability zone
	Members  int                               `json:"members"` // their number
	Holds    map[units.ServiceName]units.Fence `json:"holds"`   // leases held, with their fencing numbers
	Links    []Link                            `json:"links"`
}

// Link is one open link to a peer.
type Link struct {
	Process  units.ProcessName `json:"process"`
	Place    units.PlaceName   `json:"place"`
	Revision units.Revision    `json:"revision"` // in force at the peer
}

// Config is the answer of /admin/v1/config.
type Config struct {
	Revision units.Revision `json:"revision"`
	Files    []File         `json:"files"`
}

// File is one file of the configuration in force.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Engine is one entry of the answer of /admin/v1/engines.
type Engine struct {
	Name      units.EngineName  `json:"name"`
	Service   units.ServiceName `json:"service"`
	Address   string            `json:"address"`
	Role      engine.Role       `json:"role"`
	InFlight  int64             `json:"inFlight"` // requests of this process
	Blocked   string            `json:"blocked"`  // why it gets no new work, empty when it does
	Reported  bool              `json:"reported"`
	ReportAge string            `json:"reportAge,omitempty"`
	Report    engine.Report     `json:"report"`
}
