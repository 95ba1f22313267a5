package front

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/mirror"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// versionsPrefix is the key prefix of the objects that hold the shares of the software versions of services.
const versionsPrefix = "epochs/"

// recordTimeout bounds one attempt to write a record; the next one goes by the engines that there are then.
const recordTimeout = 2 * time.Second

// versionSink reads and writes these objects.
type versionSink struct {
	book  *epoch.Book
	store *objapi.Client
	log   zerolog.Logger
	lost  atomic.Bool // the platform cannot be read
}

// Get implements epoch.Records.
func (s *versionSink) Get(ctx context.Context, service units.ServiceName) (epoch.Record, error) {
	o, err := s.store.Get(ctx, versionsPrefix+string(service))
	if errors.Is(err, objapi.ErrNotFound) {
		return epoch.Record{}, epoch.ErrNotRecorded
	}
	if err != nil {
		return epoch.Record{}, err
	}
	var r epoch.Record
	return r, o.Decode(&r)
}

// Put implements epoch.Records.
func (s *versionSink) Put(ctx context.Context, service units.ServiceName, r epoch.Record) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	key := versionsPrefix + string(service)
	previous, err := s.store.Get(ctx, key)
	switch {
	case errors.Is(err, objapi.ErrNotFound):
		previous = objapi.Object{}
	case err != nil:
		return err
	default:
		if known, ok := s.decode(previous); ok && known.Sequence >= r.Sequence {
			s.book.Confirm(service, known)
			return nil
		}
	}
	o, err := objapi.Encode(key, previous, r)
	if err != nil {
		return err
	}
	if _, err = s.store.Put(ctx, o); err != nil {
		return err
	}
	s.book.Confirm(service, r)
	return nil
}

// Replace implements mirror.Sink.
func (s *versionSink) Replace(c objapi.Change) { s.set(c, true) }

// Apply implements mirror.Sink.
func (s *versionSink) Apply(c objapi.Change) { s.set(c, false) }

// SetOutage implements mirror.Sink. The known records stay.
func (s *versionSink) SetOutage(o mirror.Outage) {
	s.lost.Store(o.Lost)
}

// hearingTime is the time within which a process that is in touch hears of all availability zones.
const hearingTime = 2 * time.Second

// isIsolated reports whether this process may lack records: it does not reach the platform, and other availability zones may
// reach it.
func (p *Process) isIsolated() bool {
	return p.versionSink.lost.Load() && !p.gossip.HearsAllPlaces(hearingTime)
}

func (s *versionSink) set(c objapi.Change, all bool) {
	records := map[units.ServiceName]epoch.Record{}
	for _, o := range c.Objects {
		service := units.ServiceName(strings.TrimPrefix(o.Key, versionsPrefix))
		if r, ok := s.decode(o); ok {
			records[service] = r
		}
		if o.Version.Era() < c.Version.Era() {
			s.book.Rewrite(service)
		}
	}
	s.book.SetRecords(records, all)
}

func (s *versionSink) decode(o objapi.Object) (r epoch.Record, ok bool) {
	if err := o.Decode(&r); err != nil {
		s.log.Warn().Str("key", o.Key).Err(err).Msg("front: record of software versions is malformed")
		return epoch.Record{}, false
	}
	return r, true
}

// keep is the feed's Keep. A copy of the store may have an older record or none.
func (s *versionSink) keep(known, current objapi.Object) bool {
	before, ok := s.decode(known)
	if !ok || current.Key == "" {
		return ok
	}
	now, ok := s.decode(current)
	return !ok || before.Sequence > now.Sequence
}
