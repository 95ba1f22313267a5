package proxy

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Usage counts the requests of client accounts.
type Usage interface {
	// Began counts a request that an engine began to run at the given time of the stage's clock.
	Began(account units.TenantName, at time.Time)
}

// countRun counts the request for its account, unless it was counted before. The engine got the request, or sent its first event, at
// the given time.
func (r *run) countRun(at time.Time) {
	if r.isUncounted() && r.counted.CompareAndSwap(false, true) {
		r.usage.Began(r.x.Account, at)
	}
}

// isUncounted reports whether the request has to be counted.
func (r *run) isUncounted() bool {
	return r.usage != nil && r.x.Account != "" && !r.counted.Load() && !r.isContinued()
}

// isContinued reports whether the request continues a stream, which was counted with its first event.
func (r *run) isContinued() bool {
	return r.x.Route.Kind == config.RouteStream && (r.request.EventID != "" || r.request.Resumes != "")
}

// countFirstEvent counts a stream when its first event arrives.
func (r *run) countFirstEvent(e *pick.Engine) {
	if r.isUncounted() {
		r.countRun(r.clock().Add(-pick.Delay(r.place, r.region, e)))
	}
}

// countSend counts a request that was sent to an engine and is no stream, if the engine has run it. One that the engine may have run
// is counted at the end of the request, if no other engine has run it. A stream without an event is not counted.
func (r *run) countSend(e *pick.Engine, w *work, err error) {
	if !r.isUncounted() || w.connectedAt.IsZero() || r.x.Route.Kind == config.RouteStream && !w.whole {
		return
	}
	at := w.connectedAt.Add(pick.Delay(r.place, r.region, e))
	switch verdict := fault.VerdictOf(err); {
	case err == nil || verdict == fault.Ran:
		r.countRun(at)
	case verdict == fault.MayHaveRun && r.possiblyBegan.IsZero():
		r.possiblyBegan = at
	}
}

// longRunTime is the time at an engine after which a request that is no stream counts as run. Refusals come sooner, and the window in
// which it began must not be settled before the answer of a long request.
const longRunTime = time.Second

// countLongRun counts a request that is no stream when it has been at the engine for some time. It returns a function to call when the
// engine has answered.
func (r *run) countLongRun(e *pick.Engine, w *work) (stop func()) {
	if !r.isUncounted() || r.x.Route.Kind == config.RouteStream {
		return func() {}
	}
	var timer *time.Timer
	w.onConnected = func(at time.Time) {
		timer = time.AfterFunc(longRunTime, func() { r.countRun(at.Add(pick.Delay(r.place, r.region, e))) })
	}
	return func() {
		if timer != nil {
			timer.Stop()
		}
	}
}

// countPossibleRun counts a request that no engine is known to have run, and one may have.
func (r *run) countPossibleRun() {
	if !r.possiblyBegan.IsZero() {
		r.countRun(r.possiblyBegan)
	}
}
