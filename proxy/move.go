package proxy

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

const (
	// moveMargin is the time before the departure of an engine at which streams that would be cut move to others: the registry
	// shows the departure with a delay. Streams spread over moveSpread, as those of all engines of a zone may move at once.
	moveMargin = 500 * time.Millisecond
	moveSpread = 500 * time.Millisecond
	// callsOfMove is the number of repeated calls that a move needs: prefill and decode.
	callsOfMove = 2
)

// move decides whether a stream leaves an engine that departs.
type move struct {
	departsAt time.Time // zero as long as the engine does not leave
	margin    time.Duration
	events    int // passed on from this engine
	began     time.Time
}

// due reports whether a stream with a number of events left, zero if not known, has to move now. Until the departure is known,
// it takes note of the time that the engine states.
func (m *move) due(now time.Time, stated time.Duration, leaving bool, eventsLeft int) bool {
	if !leaving {
		return false
	}
	if m.departsAt.IsZero() {
		m.departsAt, m.margin = now.Add(stated), moveMargin+rand.N(moveSpread)
	}
	left := m.departsAt.Sub(now)
	if left > m.margin {
		return false
	}
	if m.events == 0 || eventsLeft <= 0 {
		return true
	}
	perEvent := now.Sub(m.began) / time.Duration(m.events)
	return time.Duration(eventsLeft)*perEvent > left
}

// mustMove reports whether the stream goes on at another engine now, as its engine leaves before the stream would end. It does
// not where the retry that this takes is not possible.
func (r *run) mustMove(w *work, m *move) bool {
	stated, leaving := w.engine.StatedDeparture()
	if !leaving || !r.x.Route.Resumable || r.lastEventID == "" {
		return false
	}
	m.events++
	if m.began.IsZero() {
		m.began = r.clock()
	}
	if !m.due(r.clock(), stated, leaving, r.eventsLeft()) {
		return false
	}
	state := r.retryState(departureError())
	state.possibleRuns++
	return decideRetry(state).retry && r.budgets.of(r.x.Service.Name).hasRoom(r.retryBudget(), r.clock(), callsOfMove)
}

// eventsLeft estimates the number of events that are left of the answer at most, zero if not known.
func (r *run) eventsLeft() int {
	perEvent := max(r.x.Service.Memory.EventTokens, 1)
	if r.request.Output <= 0 {
		return 0
	}
	return max(int((r.request.Output+perEvent-1)/perEvent)-r.x.Events, 1)
}

// departureError ends a run whose engine leaves. The engine is not at fault.
func departureError() error {
	return fault.New(fault.MayHaveRun, fault.CodeUpstreamRefused, http.StatusBadGateway, "upstream leaves before the stream ends")
}

// logMove logs that a stream leaves its engine.
func (r *run) logMove(w *work, m *move) {
	r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("engine", string(w.engine.ID)).Int64("born", w.engine.StartedAt).
		Int64("leftMs", m.departsAt.Sub(r.clock()).Milliseconds()).Int("events", r.x.Events).
		Int64("outputTokens", int64(r.request.Output)).Msg("proxy: stream leaves an engine that departs")
}
