package serve

import (
	"github.com/buckthorntrack/buckthorntrack/claim"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/ident"
	"github.com/buckthorntrack/buckthorntrack/limit"
	"github.com/buckthorntrack/buckthorntrack/relay"
	"github.com/buckthorntrack/buckthorntrack/screen"
	"github.com/buckthorntrack/buckthorntrack/send"
)

// stages are the steps that requests go through.
type stages struct {
	identify *ident.Stage
	limit    *limit.Stage
	screen   *screen.Screen
	claim    *claim.Stage
	send     *send.Stage
	record   *claim.Record
	relay    *relay.Stage
}

// callers returns the stages for the requests of callers, in their order.
func (s stages) callers() flow.Line {
	return flow.Line{
		s.identify,
		s.limit,
		s.screen,
		s.claim,
		s.send,
		s.record,
		s.relay,
	}
}

// peers returns the stages for the requests that peers pass on, in their order.
func (s stages) peers() flow.Line {
	return flow.Line{
		s.screen,
		s.send,
	}
}
