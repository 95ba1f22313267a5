// Package carry takes a routed request to the engines that run it, and their answer back to the caller.
package carry

import (
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Inbound is what a caller's request says of itself, beside method, path and body.
type Inbound struct {
	ID      units.RequestID
	Wait    time.Duration // how long the caller waits, zero when it does not say
	Prompt  []pick.Part   // nil when the request describes none
	Output  units.Tokens  // most tokens to generate
	EventID string        // last event that the caller has, when it resumes a stream
	Header  http.Header   // what is passed on, without what concerns one connection or is the system's to set
}

// Handle names a prompt that an engine has read for another engine.
type Handle struct {
	ID     string
	Tokens units.Tokens
}

// Outbound is one call to one engine.
type Outbound struct {
	Engine  *pick.Engine
	Left    time.Duration // until the caller gives up
	Phase   engine.Phase
	Source  string // address of the engine that read the prompt
	Handle  Handle // of the prompt there
	EventID string // last event that the caller has
	Urgency pick.Urgency
}

// Reply is what an engine's answer says of itself, beside status and body.
type Reply struct {
	ID      units.RequestID // request that it answers
	NotRun  bool            // the engine declares that it did not run the request
	Signed  bool            // the answer bears the mark of an engine
	Encoded bool            // the body is not the engine's own
	Loaded  bool            // the engine told its load
	Load    int             // requests that run and wait there
	Header  http.Header     // what is passed on to the caller
}

// Format translates between these types and what callers and engines speak. It decides nothing.
type Format interface {
	Inbound(r *http.Request) (Inbound, error)
	// Outbound returns the headers of a call to an engine.
	Outbound(in Inbound, out Outbound) http.Header
	Reply(r *http.Response) Reply
	// Handle decodes the answer to a call that only reads a prompt.
	Handle(body []byte) (Handle, error)
	// Free returns method and path of the call that frees a handle.
	Free(h Handle) (method, path string)
	// EventID returns the id of an event, empty when it has none.
	EventID(event []byte) string
	// RetryAfter formats the time after which a caller may come again.
	RetryAfter(d time.Duration) string
}
