package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/mirror"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// retireInterval is the interval between looks at the registrations of processes that are gone.
	retireInterval = time.Second
	// goneTime is how long a process must be gone before its registration is marked, and marked before it is removed.
	goneTime = 20 * time.Second
	// markPause is how long a process does not mark a registration again that was written without its mark.
	markPause = 5 * time.Minute
	// maxRetired bounds the registrations that are written at a look.
	maxRetired = 8
)

// retirement is what a process is to do about a registration.
type retirement int

const (
	leaveRegistration  retirement = iota
	markRegistration              // so that the registered process, or one that hears it, may object
	clearRegistration             // of its mark
	removeRegistration            // as nobody has objected
)

// registrationState is what decides that.
type registrationState struct {
	keeps     bool          // this process keeps the registrations of the region
	marked    bool          // by this process or another one
	markedFor time.Duration // as this process has seen it
	paused    bool          // this process marked it lately
	goneFor   time.Duration // zero if the process is not gone
	heard     bool          // lately
}

// decideRetirement decides what to do about a registration. Each step is a write under the condition that nobody else has written, so
// two processes may do it at once, and one that stands still in between does no harm.
func decideRetirement(s registrationState) retirement {
	switch {
	case !s.keeps:
		return leaveRegistration
	case s.marked && s.heard:
		return clearRegistration
	case s.goneFor < goneTime:
		return leaveRegistration
	case !s.marked && !s.paused:
		return markRegistration
	case s.marked && s.markedFor >= goneTime:
		return removeRegistration
	default:
		return leaveRegistration
	}
}

// retirer removes the registrations of processes that are gone.
type retirer struct {
	mu       sync.Mutex
	seenAt   map[units.ProcessName]time.Time // when a mark was first seen
	markedAt map[units.ProcessName]time.Time // when this process marked a registration
}

func newRetirer() *retirer {
	return &retirer{seenAt: map[units.ProcessName]time.Time{}, markedAt: map[units.ProcessName]time.Time{}}
}

// state returns the state of a registration.
func (r *retirer) state(name units.ProcessName, marked bool, now time.Time) registrationState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !marked {
		delete(r.seenAt, name)
	} else if _, ok := r.seenAt[name]; !ok {
		r.seenAt[name] = now
	}
	at, ok := r.markedAt[name]
	if ok && now.Sub(at) >= markPause {
		delete(r.markedAt, name)
		ok = false
	}
	s := registrationState{marked: marked, paused: ok}
	if marked {
		s.markedFor = now.Sub(r.seenAt[name])
	}
	return s
}

func (r *retirer) marked(name units.ProcessName, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markedAt[name] = now
}

// retire looks at all registrations.
func (p *Process) retire(ctx context.Context) {
	if p.stopping.Load() || p.versionSink.lost.Load() {
		return
	}
	readers, writes := p.readers(), 0
	for name, registered := range p.memberSink.all() {
		s := p.retirer.state(name, registered.FoundGone != "", p.clock())
		s.keeps = p.keepsRegistrations(registered.Region, readers)
		s.goneFor, s.heard = p.gossip.GoneFor(name), p.gossip.IsHeard(name)
		todo := decideRetirement(s)
		if todo == leaveRegistration {
			continue
		}
		if writes++; writes > maxRetired {
			return
		}
		p.applyRetirement(ctx, name, registered, todo)
	}
}

// keepsRegistrations reports whether this process keeps the registrations of a region: as a reader of it, or as the first of the fleet
// if the region has none.
func (p *Process) keepsRegistrations(region units.RegionName, readers []units.ProcessName) bool {
	self := p.settings.Process.Name
	if region == p.settings.Routed.Region {
		return slices.Contains(readers, self)
	}
	hasReader := slices.ContainsFunc(p.memberSink.present(), func(m mirror.Member) bool { return m.Region == region })
	return !hasReader && len(readers) > 0 && readers[0] == self
}

func (p *Process) applyRetirement(ctx context.Context, name units.ProcessName, registered registration, todo retirement) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	next, message, err := registered.member, "front: registration is removed, as its process is gone", error(nil)
	switch todo {
	case leaveRegistration:
		return
	case removeRegistration:
		err = p.store.Delete(ctx, registered.object.Key, registered.object.Version)
	case markRegistration:
		p.retirer.marked(name, p.clock())
		next.FoundGone, message = p.settings.Process.Name, "front: process is gone, its registration is marked"
		err = p.writeMember(ctx, registered.object, next)
	case clearRegistration:
		next.FoundGone, message = "", "front: process is heard, its registration stays"
		err = p.writeMember(ctx, registered.object, next)
	}
	event := p.log.Info()
	if err != nil && !errors.Is(err, objapi.ErrConflict) && !errors.Is(err, objapi.ErrNotFound) {
		event = p.log.Warn()
	}
	event.Str("peer", string(name)).Int64("version", int64(registered.object.Version)).
		Int64("goneForMs", p.gossip.GoneFor(name).Milliseconds()).Err(err).Msg(message)
}

func (p *Process) writeMember(ctx context.Context, previous objapi.Object, next member) error {
	o, err := objapi.Encode(previous.Key, previous, next)
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, o)
	return err
}

// restoreMember registers a process again that was found gone and sends messages. One of earlier software does not do that itself.
func (p *Process) restoreMember(name units.ProcessName) {
	if !p.memberSink.isRemoved(name) || p.stopping.Load() || !p.isReader() {
		return
	}
	v, ok := p.memberSink.takeRemoved(name)
	if !ok {
		return
	}
	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		defer cancel()
		err := p.writeMember(ctx, objapi.Object{Key: membersPrefix + string(name)}, v)
		if err != nil && !errors.Is(err, objapi.ErrConflict) {
			p.memberSink.remember(name, v)
		}
		p.log.Info().Str("peer", string(name)).Err(err).Msg("front: process that was found gone is back and registered again")
	})
}
