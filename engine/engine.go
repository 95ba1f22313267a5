// Package engine calls upstreams: model engines and instances of plain services.
package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Headers of the protocol that upstreams speak.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "X-Priority"
	HeaderResumeFrom     = "X-Resume-From"
	HeaderPhase          = "X-Phase"
	HeaderKVFrom         = "X-Kv-From"
)

// DoneData is the payload of the event that ends a stream.
const DoneData = "[DONE]"

// Role is the kind of work that a model engine takes.
type Role string

// The roles of an engine.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Phase is the part of a request that one engine runs.
type Phase string

// The phases of a request.
const (
	PhaseWhole   Phase = "whole"
	PhasePrefill Phase = "prefill" // ends after the first token, whose KV cache can then be exported
	PhaseDecode  Phase = "decode"  // starts from an imported KV cache
)

// Serves reports whether an engine of the role takes the phase.
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

// Report is an engine's own account of its load.
type Report struct {
	Role          Role         `json:"role"`
	Running       int          `json:"running"`
	Waiting       int          `json:"waiting"`
	PrefillQueued units.Tokens `json:"prefillQueued"`
	FreePieces    units.Pieces `json:"freePieces"`
	TotalPieces   units.Pieces `json:"totalPieces"`
	Away          bool         `json:"away"`
	Incarnation   string       `json:"incarnation"` // changes when the engine restarts
	Sequence      int64        `json:"sequence"`
	AgeMS         int64        `json:"ageMs"` // milliseconds since the report was taken
}

// Taken returns when the report was taken at the latest, if its request left at the given time.
func (r Report) Taken(asked time.Time) time.Time {
	return asked.Add(-time.Duration(r.AgeMS) * time.Millisecond)
}

// CacheEvent tells that an engine cached or dropped the prefix of a prompt.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // hash of the prefix
	Dropped  bool   `json:"dropped"`
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

// Order tells an engine to change its role or what it has loaded.
type Order struct {
	ID       string            `json:"id"`
	Fence    units.Fence       `json:"fence"`
	Holder   units.ProcessName `json:"holder"`
	Kind     OrderKind         `json:"kind"`
	Argument string            `json:"argument"` // role, model, adapter or version by kind
}

// State is what an engine says about its orders.
type State struct {
	Role    Role        `json:"role"`
	Fence   units.Fence `json:"fence"`   // highest number seen, zero when the engine does not check
	Current string      `json:"current"` // id of the order in progress
	Done    []string    `json:"done"`    // ids of the latest finished orders
	Busy    int         `json:"busy"`    // requests running or waiting
}

// Call is one request to an upstream.
type Call struct {
	RequestID units.RequestID
	Service   units.ServiceName
	Method    string
	Path      string // with the raw query
	Header    http.Header
	Body      []byte
	Key       string // idempotency key, empty when the caller gave none
	Streams   bool   // the answer is a stream of tokens
	From      units.Tokens
	Phase     Phase
	KVFrom    string // address of the engine that exports the KV cache
	Priority  units.Priority
}

// Event is one event of a stream of tokens.
type Event struct {
	Index units.Tokens
	Data  []byte // payload, valid until the next call of Next
	Done  bool   // the end marker
}

// Events is a stream of tokens. A stream that ends without its end marker returns an error.
type Events interface {
	// Next returns the next event. After the end marker it must not be called again.
	Next() (Event, error)
	// Buffered reports whether the next event is at hand without waiting.
	Buffered() bool
	// Close cancels the request if it still runs.
	Close()
}

// Answer is what an upstream answered.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte // of a plain call
	Events Events // of a streamed call
}

// Upstream sends calls to one upstream. Errors are *fault.Error with a verdict.
type Upstream interface {
	Send(ctx context.Context, c Call) (Answer, error)
}

// Orders passes orders to one engine.
type Orders interface {
	// Raise tells an engine that checks fencing numbers to refuse smaller ones from now on.
	Raise(ctx context.Context, fence units.Fence) error
	// Give sends the order. It returns when the engine has accepted or refused it.
	Give(ctx context.Context, o Order) error
	// State reads the engine's orders.
	State(ctx context.Context) (State, error)
}
