package front

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// membersPrefix is the key prefix of the objects by which entry processes are registered on the platform.
const membersPrefix = "processes/"

// deregisterTimeout bounds the deregistration at a planned stop.
const deregisterTimeout = time.Second

// member is the registration of a process.
type member struct {
	Address string           `json:"address"` // at which the process receives gossip
	Region  units.RegionName `json:"region"`
}

// memberSink adds and removes gossip peers as processes register and deregister.
type memberSink struct {
	gossip *gossip.Gossip
	log    zerolog.Logger
	loaded atomic.Bool // a snapshot has been read
}

// Replace implements sink. Peers missing from the snapshot are kept: without heartbeats they count as dead.
func (m *memberSink) Replace(c objapi.Change) {
	m.Apply(c)
	m.loaded.Store(true)
}

// Apply implements sink.
func (m *memberSink) Apply(c objapi.Change) {
	for _, key := range c.Deleted {
		m.gossip.RemovePeer(processName(key))
	}
	for _, o := range c.Objects {
		var v member
		if err := o.Decode(&v); err != nil {
			m.log.Warn().Str("key", o.Key).Err(err).Msg("front: registration of a process is malformed")
			continue
		}
		m.gossip.SetPeer(processName(o.Key), v.Address, v.Region)
	}
}

// Lost implements sink.
func (*memberSink) Lost() {}

// Regained implements sink.
func (*memberSink) Regained() {}

func processName(key string) units.ProcessName {
	return units.ProcessName(strings.TrimPrefix(key, membersPrefix))
}

// registerWithRetry registers the process on the platform. It retries until it succeeds or ctx ends.
func (p *Process) registerWithRetry(ctx context.Context) {
	key := membersPrefix + string(p.settings.Process.Name)
	for ctx.Err() == nil {
		err := p.register(ctx, key)
		if err == nil {
			return
		}
		p.log.Debug().Err(err).Msg("front: registration failed, will be retried")
		wait.Sleep(ctx, feedRetryInterval)
	}
}

// register writes the registration unless the platform already has it.
func (p *Process) register(ctx context.Context, key string) error {
	previous, err := p.store.Get(ctx, key)
	if err != nil && !errors.Is(err, objapi.ErrNotFound) {
		return err
	}
	v := member{Address: p.settings.Peers.Listen, Region: p.settings.Routed.Region}
	var registered member
	if err == nil && previous.Decode(&registered) == nil && registered == v {
		return nil
	}
	o, err := objapi.Encode(key, previous, v)
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, o)
	return err
}

// deregister removes the registration. If that fails, other processes consider this one dead, as it sends no
// heartbeats, but continue to send it theirs.
func (p *Process) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	key := membersPrefix + string(p.settings.Process.Name)
	o, err := p.store.Get(ctx, key)
	if err == nil {
		err = p.store.Delete(ctx, key, o.Version)
	}
	if err != nil {
		p.log.Info().Err(err).Msg("front: deregistration failed")
	}
}
