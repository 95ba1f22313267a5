package proxy

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Versions says which software version of a service a stream belongs to.
type Versions interface {
	// Assign returns the version at which a new stream begins. Present are the versions of the service's engines.
	Assign(service units.ServiceName, id units.RequestID, present []units.SoftwareVersion) (units.SoftwareVersion, error)
	// Preview returns the version that Assign would return, and remembers nothing.
	Preview(service units.ServiceName, id units.RequestID, present []units.SoftwareVersion) (units.SoftwareVersion, error)
	// Resolve returns the version that began a stream, by the id of the request that brought its first event.
	Resolve(
		ctx context.Context, service units.ServiceName, id units.RequestID, present []units.SoftwareVersion,
	) (units.SoftwareVersion, error)
	// Begin records that an answer passes on a stream, and how long its caller waits, zero if that is not known.
	Begin(service units.ServiceName, id units.RequestID, version units.SoftwareVersion, wait time.Duration)
	// End records the end of such an answer.
	End(service units.ServiceName, id units.RequestID, outcome epoch.Outcome)
	// IsUnclear reports whether a process that has not seen a stream may be unable to tell its version.
	IsUnclear(service units.ServiceName) bool
}

const (
	// assignRetryAfter is the time after which a stream may begin at a version that is being recorded.
	assignRetryAfter = 300 * time.Millisecond
	// takeUpTime is how long a caller may take up a stream if it does not say how long it waits.
	takeUpTime = 30 * time.Second
	// unknownVersionRetryAfter is the Retry-After time of a stream that cannot go on; its caller should begin a new one.
	unknownVersionRetryAfter = 30 * time.Second
)

// bind determines the software version at which a stream that may go on elsewhere begins or goes on. All engines of the
// request have this version, those that prefill as well, as what two versions write does not fit together.
func (r *run) bind() error {
	if !r.x.Route.Resumable {
		return nil
	}
	service := r.x.Service.Name
	present := r.engines.Table(service).Versions()
	var version units.SoftwareVersion
	var err error
	if r.x.Inbound.EventID != "" || r.x.Inbound.Resumes != "" {
		if version, err = r.versions.Resolve(r.ctx, service, r.x.Inbound.Resumes, present); err != nil {
			r.log.Info().Str("request", string(r.x.Inbound.ID)).Str("resumes", string(r.x.Inbound.Resumes)).Err(err).
				Msg("proxy: stream may not go on")
			return fault.Unavailable(fault.CodeNoUpstream, unknownVersionRetryAfter, "the stream cannot go on").Wrap(err)
		}
	} else if version, err = r.versions.Assign(service, r.x.Inbound.ID, present); err != nil {
		return fault.Unavailable(fault.CodeNoUpstream, assignRetryAfter, "service %s has new software versions", service).Wrap(err)
	}
	r.bound, r.version = true, version
	r.versions.Begin(service, r.streamID(), version, r.x.Inbound.Timeout)
	return nil
}

// release ends what bind began. An answer that has started and failed may be taken up at any process.
func (r *run) release(err error) {
	if !r.bound {
		return
	}
	outcome := epoch.Outcome{Whole: err == nil}
	switch {
	case !r.answerStarted || err == nil:
	case r.x.Inbound.Timeout > 0:
		outcome.Until = r.x.Started.Add(r.x.Inbound.Timeout)
	default:
		outcome.Until = r.clock().Add(takeUpTime)
	}
	r.versions.End(r.x.Service.Name, r.streamID(), outcome)
}

// table returns the engines that the request may be sent to.
func (r *run) table() *pick.Table {
	table := r.engines.Table(r.x.Service.Name)
	if r.bound {
		return table.Of(r.version)
	}
	return table
}

// announceBrokenStream tells other processes the version of a stream that has broken off.
func (r *run) announceBrokenStream() {
	if r.bound && r.versions.IsUnclear(r.x.Service.Name) {
		r.publisher.AnnounceBrokenStream(r.x.Service.Name, r.streamID(), r.version)
	}
}

// streamID returns the id by which the stream is known to all processes.
func (r *run) streamID() units.RequestID {
	if r.x.Inbound.Resumes != "" {
		return r.x.Inbound.Resumes
	}
	return r.x.Inbound.ID
}
