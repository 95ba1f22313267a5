package serve

import (
	"github.com/buckthorntrack/buckthorntrack/claim"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/ident"
	"github.com/buckthorntrack/buckthorntrack/limit"
	"github.com/buckthorntrack/buckthorntrack/poison"
	"github.com/buckthorntrack/buckthorntrack/relay"
	"github.com/buckthorntrack/buckthorntrack/send"
)

// stages holds the stages of request handling.
type stages struct {
	identify *ident.Stage
	limit    *limit.Stage
	screen   *poison.Screen
	claim    *claim.Stage
	send     *send.Stage
	record   *claim.Recorder
	relay    *relay.Stage
}

// callers returns the stages for requests of callers, in order.
func (s stages) callers() flow.Pipeline {
	return flow.Pipeline{
		s.identify,
		s.limit,
		s.screen,
		s.claim,
		s.send,
		s.record,
		s.relay,
	}
}

// peers returns the stages for requests that peers forward, in order. The peer runs the others.
func (s stages) peers() flow.Pipeline {
	return flow.Pipeline{
		s.screen,
		s.send,
	}
}
