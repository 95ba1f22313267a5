// Package engine is a client of upstreams, which are model engines and instances of plain services.
package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Headers of requests to upstreams.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Priority"
	HeaderResumeFrom     = "X-Resume-From"
	HeaderPhase          = "X-Phase"
	HeaderKVFrom         = "X-Kv-From"
)

// DoneData is the data of the event that ends a stream.
const DoneData = "[DONE]"

// Role is the kind of work that a model engine takes.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Phase is the part of a request that an engine runs.
type Phase string

// The phases of a request.
const (
	PhaseWhole   Phase = "whole"
	PhasePrefill Phase = "prefill" // ends after the first token, whose KV cache can then be exported
	PhaseDecode  Phase = "decode"  // starts from an imported KV cache
)

// Serves reports whether an engine with the role accepts requests of the phase.
func (r Role) Serves(p Phase) bool {
	switch r {
	case RolePrefill:
		return p == PhasePrefill
	case RoleDecode:
		return p == PhaseDecode
	default:
		return true
	}
}

// Token is one generated token.
type Token struct {
	Index units.Tokens
	Text  string
}

// Report is an engine's load report.
type Report struct {
	Role          Role         `json:"role"`
	Running       int          `json:"running"`
	Waiting       int          `json:"waiting"`
	PrefillQueued units.Tokens `json:"prefillQueued"`
	FreePieces    units.Pieces `json:"freePieces"`
	TotalPieces   units.Pieces `json:"totalPieces"`
	Away          bool         `json:"away"`        // the engine carries out an order and refuses requests
	Incarnation   string       `json:"incarnation"` // changes when the engine restarts
	Sequence      int64        `json:"sequence"`
	AgeMS         int64        `json:"ageMs"` // age of the report in milliseconds
}

// TakenAt returns the earliest time at which the report can have been taken, if the request for it was sent at the
// given time.
func (r Report) TakenAt(requested time.Time) time.Time {
	return requested.Add(-time.Duration(r.AgeMS) * time.Millisecond)
}

// CacheEvent reports that an engine added the prefix of a prompt to its KV cache, or evicted it.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`  // hash of the prefix
	Dropped  bool   `json:"dropped"` // the prefix was evicted
}

// OrderKind is what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderRole    OrderKind = "role"
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderAdapter OrderKind = "adapter"
	OrderVersion OrderKind = "version"
)

// Order instructs an engine to change its role, model, adapters or version.
type Order struct {
	ID       string             `json:"id"`
	Fence    units.FencingToken `json:"fence"`
	Holder   units.ProcessName  `json:"holder"`
	Kind     OrderKind          `json:"kind"`
	Argument string             `json:"argument"` // role, model, adapter or version, depending on the kind
}

// State is the state of an engine's orders.
type State struct {
	Role    Role               `json:"role"`
	Fence   units.FencingToken `json:"fence"`   // highest fencing token seen, zero if the engine does not check them
	Current string             `json:"current"` // id of the order in progress
	Done    []string           `json:"done"`    // ids of the latest finished orders
	Busy    int                `json:"busy"`    // requests running or waiting
}

// Call is one request to an upstream.
type Call struct {
	RequestID      units.RequestID
	Service        units.ServiceName
	Method         string
	Path           string // with the raw query
	Header         http.Header
	Body           []byte
	IdempotencyKey string       // empty if the caller sent none
	Streams        bool         // the answer is a stream of tokens
	ResumeFrom     units.Tokens // index of the first token wanted, when a stream is resumed
	Phase          Phase
	KVFrom         string // address of the engine that exports the KV cache
	Priority       units.Priority
}

// Event is one event of a stream of tokens.
type Event struct {
	Index units.Tokens
	Data  []byte // valid until the next call of Next
	Done  bool   // the event is the end marker
}

// Events is a stream of tokens. If the stream ends without its end marker, Next returns an error.
type Events interface {
	// Next returns the next event. After the end marker it must not be called again.
	Next() (Event, error)
	// Buffered reports whether data of the next event has already been received.
	Buffered() bool
	// Close cancels the request if it is still running.
	Close()
}

// Answer is an upstream's answer. It has either a body or a stream of events.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte // if the call is not streamed
	Events Events // if the call is streamed and succeeds
}

// Upstream sends calls to one upstream.
type Upstream interface {
	// Send sends the call and returns the answer. Errors are of type *fault.Error, whose verdict says whether the
	// call may have run.
	Send(ctx context.Context, c Call) (Answer, error)
}

// Orders sends orders to one engine.
type Orders interface {
	// RaiseFence makes an engine that checks fencing tokens refuse smaller ones from now on.
	RaiseFence(ctx context.Context, fence units.FencingToken) error
	// Submit sends the order. It returns when the engine has accepted or refused it.
	Submit(ctx context.Context, o Order) error
	// State reads the state of the engine's orders.
	State(ctx context.Context) (State, error)
}
