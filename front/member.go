package front

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// membersPrefix holds one object for each entry process.
const membersPrefix = "processes/"

// leaveTimeout bounds the last call of a planned stop.
const leaveTimeout = time.Second

// member is what a process says of itself.
type member struct {
	Address string           `json:"address"` // for datagrams of other processes
	Region  units.RegionName `json:"region"`
}

// members puts the processes that stand on the platform into the gossip.
type members struct {
	gossip *gossip.Gossip
	log    zerolog.Logger
	known  atomic.Bool // they were read
}

// Replace implements sink. Processes that were removed meanwhile are not heard any more, which is enough.
func (m *members) Replace(c plat.Change) {
	m.Apply(c)
	m.known.Store(true)
}

// Apply implements sink.
func (m *members) Apply(c plat.Change) {
	for _, key := range c.Deleted {
		m.gossip.Remove(nameOf(key))
	}
	for _, o := range c.Objects {
		var v member
		if err := o.Decode(&v); err != nil {
			m.log.Warn().Str("key", o.Key).Err(err).Msg("front: entry of a process is malformed")
			continue
		}
		m.gossip.Put(nameOf(o.Key), v.Address, v.Region)
	}
}

// Lost implements sink.
func (*members) Lost() {}

// Regained implements sink.
func (*members) Regained() {}

func nameOf(key string) units.ProcessName {
	return units.ProcessName(strings.TrimPrefix(key, membersPrefix))
}

// join puts the process on the platform, until it stands there or ctx ends.
func (p *Process) join(ctx context.Context) {
	key := membersPrefix + string(p.settings.Process.Name)
	for ctx.Err() == nil {
		err := p.register(ctx, key)
		if err == nil {
			return
		}
		p.log.Debug().Err(err).Msg("front: process cannot be registered now")
		wait.Sleep(ctx, feedRetry)
	}
}

func (p *Process) register(ctx context.Context, key string) error {
	previous, err := p.store.Get(ctx, key)
	if err != nil && !errors.Is(err, plat.ErrNotFound) {
		return err
	}
	v := member{Address: p.settings.Peers.Listen, Region: p.settings.Routed.Region}
	var known member
	if err == nil && previous.Decode(&known) == nil && known == v {
		return nil
	}
	o, err := plat.Encode(key, previous, v)
	if err != nil {
		return err
	}
	_, err = p.store.Put(ctx, o)
	return err
}

// leave takes the process off the platform. One that could not leave is not heard, and costs others a heartbeat.
func (p *Process) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	key := membersPrefix + string(p.settings.Process.Name)
	o, err := p.store.Get(ctx, key)
	if err == nil {
		err = p.store.Delete(ctx, key, o.Version)
	}
	if err != nil {
		p.log.Info().Err(err).Msg("front: process could not leave the platform")
	}
}
