package front

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// drainDelay is the time after SIGTERM within which two failed health checks make the load balancer stop sending
	// new connections.
	drainDelay = 3 * time.Second
	// stopMargin is the time between the end of a planned stop and the SIGKILL that ends the grace period.
	stopMargin = time.Second
	// quietTime is the time without a request after which a stopping process closes its listener.
	quietTime = 500 * time.Millisecond
	// closeTimeout bounds the wait for connections after the listener is closed.
	closeTimeout = 500 * time.Millisecond
	// stopPollInterval is the interval between checks of the number of requests in flight.
	stopPollInterval = 50 * time.Millisecond
)

// shutDown fails the health check, waits until the load balancer should send no new connections, and then refuses new
// requests, which might outlast the grace period. The listener stays open until no request has come for a while: closing it
// would cut off connections that were just accepted. At the end of the grace period requests that engines are still at work on
// are answered as not answered in time, and the listener is closed in any case.
func (p *Process) shutDown(server *http.Server) {
	p.log.Info().Int64("inFlight", p.inFlight.Load()).Msg("front: planned stop started")
	p.stopping.Store(true)
	p.passed.Retire()
	ctx, cancel := context.WithTimeout(context.Background(), max(p.settings.Routed.Grace-stopMargin, stopMargin))
	defer cancel()
	wait.Sleep(ctx, drainDelay)
	p.refusing.Store(true)
	p.wg.Go(p.deregister) // only now, as other processes count the requests of registered ones only
	for !p.isQuiet() && wait.Sleep(ctx, stopPollInterval) {
		continue
	}
	p.end()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	if err := server.Shutdown(closeCtx); err != nil {
		p.log.Warn().Err(err).Int64("inFlight", p.inFlight.Load()).Msg("front: grace period ended with requests in flight")
	}
}

// IsLate implements proxy.Stop.
func (p *Process) IsLate() bool {
	return p.refusing.Load()
}

// Ended implements proxy.Stop.
func (p *Process) Ended() context.Context {
	return p.ended
}

// isQuiet reports whether no request is in flight or arriving, none has come for a while, and no connection is passed on.
func (p *Process) isQuiet() bool {
	return p.inFlight.Load() == 0 && p.callers.Pending() == 0 && p.passed.Served() == 0 && p.uptime()-time.Duration(p.lastRequestAt.Load()) > quietTime
}
