package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// settleTime is how long a process of a fleet that starts for the first time waits for the others to register.
	settleTime = 500 * time.Millisecond
	// joinTimeout bounds the search for other processes. After it the process reads the platform itself.
	joinTimeout = 1500 * time.Millisecond
	// joinInterval is the mean interval between attempts to list the processes.
	joinInterval = 200 * time.Millisecond
	// registerInterval is the mean interval between attempts to register.
	registerInterval = 500 * time.Millisecond
	// registerSpread is the time over which processes register again whose registrations a copy of the store lacks.
	registerSpread = time.Second
	// registerTimeout bounds one attempt to register.
	registerTimeout = 2 * time.Second
	// deregisterTimeout bounds the deregistration at a planned stop.
	deregisterTimeout = time.Second
)

// join registers the process and reads which others there are. The list may be outdated, as it is read by all; once it
// has the own registration, it has those of all processes that registered before.
func (p *Process) join(ctx context.Context) {
	key, own := p.ownMember()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	register := func() { p.wg.Go(func() { p.registerWithRetry(key, own) }) }
	if p.settings.Routed.FirstStart {
		register()
		wait.Sleep(ctx, settleTime)
	}
	for first := !p.settings.Routed.FirstStart; ctx.Err() == nil; first = false {
		registered, err := p.listMembers(ctx, key, own)
		if err != nil {
			p.log.Debug().Err(err).Msg("front: list of processes cannot be read")
		}
		if registered {
			return
		}
		if first {
			register()
		}
		wait.Sleep(ctx, joinInterval/2+rand.N(joinInterval))
	}
}

// ownMember returns the key and the content of this process's registration.
func (p *Process) ownMember() (string, member) {
	return membersPrefix + string(p.settings.Process.Name), member{
		Address: p.settings.Peers.Listen, Place: p.settings.Process.Place, Region: p.settings.Routed.Region,
	}
}

// checkRegistration compares the own registration with what the platform has, the zero Object for none. The process registers
// again if the store came back from a copy that lacks it, or if others have found it gone.
func (p *Process) checkRegistration(o objapi.Object, read units.Version) {
	known := p.registration.Load()
	if o.Key != "" && o.Version.Era() == read.Era() {
		if known == nil || known.Version <= o.Version {
			p.registration.Store(&o)
		}
		var v member
		if o.Decode(&v) != nil || v.FoundGone == "" {
			return
		}
	} else if known == nil || known.Version >= read {
		return // what was read is from before the registration
	}
	if p.stopping.Load() || p.registering.Swap(true) {
		return
	}
	lost := known != nil && known.Version.Era() < read.Era()
	p.log.Info().Bool("lostWithPast", lost).Bool("foundGone", o.Key != "").Int64("read", int64(read)).
		Msg("front: registration is lost or to be removed, registering again")
	p.wg.Go(func() {
		defer p.registering.Store(false)
		if lost {
			wait.Sleep(context.Background(), rand.N(registerSpread))
		}
		key, own := p.ownMember()
		p.registerWithRetry(key, own)
	})
}

// listMembers adds the listed processes. It reports whether the list has the own registration.
func (p *Process) listMembers(ctx context.Context, key string, own member) (registered bool, err error) {
	objects, err := p.store.ListStale(ctx, membersPrefix)
	if err != nil {
		return false, err
	}
	for _, o := range objects {
		var v member
		if o.Key == key && o.Decode(&v) == nil && v == own {
			registered = true
			p.registration.Store(&o)
		}
	}
	p.memberSink.Apply(objapi.Change{Objects: objects})
	return registered, nil
}

// registerWithRetry registers the process on the platform. It retries until it succeeds or the process stops.
func (p *Process) registerWithRetry(key string, own member) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for !p.stopping.Load() {
		err := p.register(ctx, key, own)
		if err == nil {
			return
		}
		p.log.Debug().Err(err).Msg("front: registration failed, will be retried")
		wait.Sleep(ctx, registerInterval/2+rand.N(registerInterval))
	}
}

// register writes the registration unless the platform already has it. Most processes are new, so it tries to create
// the registration first.
func (p *Process) register(ctx context.Context, key string, own member) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	err := p.putRegistration(ctx, key, objapi.Object{}, own)
	if !errors.Is(err, objapi.ErrConflict) {
		return err
	}
	previous, err := p.store.Get(ctx, key)
	if err != nil {
		return err
	}
	var registered member
	if previous.Decode(&registered) == nil && registered == own {
		p.registration.Store(&previous)
		return nil
	}
	return p.putRegistration(ctx, key, previous, own)
}

func (p *Process) putRegistration(ctx context.Context, key string, previous objapi.Object, own member) error {
	o, err := objapi.Encode(key, previous, own)
	if err != nil {
		return err
	}
	written, err := p.store.Put(ctx, o)
	if err == nil {
		p.registration.Store(&written)
	}
	return err
}

// deregister removes the registration. If that fails, other processes consider this one dead once it does not answer.
func (p *Process) deregister() {
	registered := p.registration.Load()
	if registered == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := p.store.Delete(ctx, registered.Key, registered.Version); err != nil {
		p.log.Info().Err(err).Msg("front: deregistration failed")
	}
}
