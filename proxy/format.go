// Package proxy sends a routed request to engines, with retries, and passes the answer back to the caller.
package proxy

import (
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/keys"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Inbound holds the metadata of a caller's request.
type Inbound struct {
	ID      units.RequestID
	Timeout time.Duration   // how long the caller waits, zero if not given
	Prompt  []pick.Part     // nil if the request describes no prompt
	Output  units.Tokens    // maximum number of tokens to generate
	EventID string          // last event that the caller received, if it resumes a stream
	Resumes units.RequestID // request that brought the first event of that stream
	Header  http.Header     // headers to forward, without hop-by-hop headers and those that this system sets
	Key     keys.Digest     // of the caller's key
	HasKey  bool
}

// Handle identifies a prefilled prompt on a prefill engine.
type Handle struct {
	ID     string
	Tokens units.Tokens
}

// Outbound is one call to one engine.
type Outbound struct {
	Engine  *pick.Engine
	Timeout time.Duration // time left until the caller's deadline
	Phase   engine.Phase
	Source  string // address of the engine that prefilled the prompt
	Handle  Handle // prefilled prompt on the source
	Copy    string // address of the engine from which the prompt's shared segments are copied first, empty for none
	EventID string // last event that the caller received
	Urgency pick.Urgency
	Sent    time.Time
}

// Reply holds the metadata of an engine's answer.
type Reply struct {
	ID      units.RequestID // request that it answers
	NotRun  bool            // the engine declares that it did not run the request
	Signed  bool            // the answer carries an engine's signature header
	Encoded bool            // the body has a content encoding
	HasLoad bool            // the answer carries the engine's load
	Load    int             // number of running and waiting requests on the engine
	Limit   units.PerSecond // requests that the engine takes from all processes together, zero for no limit
	Header  http.Header     // headers to pass to the caller
	// Leaving says that the engine leaves, and RetryAfter for how long an engine that turned the request away wants no other.
	Leaving    bool
	RetryAfter time.Duration
	// IdleTimeout is how long the engine keeps an idle connection, zero if it states no time.
	IdleTimeout time.Duration
}

// Format translates between these types and the HTTP dialects of callers and engines.
type Format interface {
	Inbound(r *http.Request) (Inbound, error)
	// SetAccount removes the caller's key and what the caller says of its account from the headers to forward, and sets the name
	// of its account unless that is empty.
	SetAccount(in *Inbound, name units.TenantName)
	// Outbound returns the headers of a call to an engine.
	Outbound(in Inbound, out Outbound) http.Header
	Reply(r *http.Response) Reply
	// Handle decodes the answer to a prefill call.
	Handle(body []byte) (Handle, error)
	// Free returns method and path of the call that frees a handle.
	Free(h Handle) (method, path string)
	// EventID returns the id of an event, empty if it has none.
	EventID(event []byte) string
	// RetryAfter formats the time after which a caller may retry.
	RetryAfter(d time.Duration) string
}
