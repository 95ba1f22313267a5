package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// feedRetry is the mean time between calls to a platform that does not answer. Some processes times two feeds, each
// asking a few times a second, stay far below the rate that the platform takes, and see its return well within the
// time in which a configuration has to be in force.
const feedRetry = 300 * time.Millisecond

// source is the part of the platform's client that feeds read from.
type source interface {
	Snapshot(ctx context.Context, prefix string) (plat.Change, error)
	WatchFor(ctx context.Context, prefix string, from units.Version, wait time.Duration) (plat.Change, error)
}

// sink takes what a feed reads.
type sink interface {
	Replace(c plat.Change)
	Apply(c plat.Change)
	Lost()     // the platform cannot be read
	Regained() // the platform can be read again; the next call is Replace or Apply
}

// feed follows the objects under a prefix.
type feed struct {
	name    string
	prefix  string
	wait    time.Duration // how long the platform holds one watch open
	source  source
	sink    sink
	log     zerolog.Logger
	metrics *Metrics

	version units.Version
	known   bool // the version is one to watch on from
	lost    bool
}

// run follows until ctx ends.
func (f *feed) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, plat.ErrGone):
			f.log.Warn().Str("feed", f.name).Int64("version", int64(f.version)).Msg("front: history is gone and all is read again")
			f.known = false
			continue
		}
		f.fail(err)
		if !wait.Sleep(ctx, feedRetry/2+rand.N(feedRetry)) {
			return
		}
	}
}

func (f *feed) step(ctx context.Context) error {
	if !f.known {
		c, err := f.source.Snapshot(ctx, f.prefix)
		if err != nil {
			return err
		}
		f.regain()
		f.sink.Replace(c)
		f.version, f.known = c.Version, true
		return nil
	}
	c, err := f.source.WatchFor(ctx, f.prefix, f.version, f.wait)
	if err != nil {
		return err
	}
	f.regain()
	if len(c.Objects)+len(c.Deleted) > 0 {
		f.sink.Apply(c)
	}
	f.version = max(f.version, c.Version)
	return nil
}

func (f *feed) fail(err error) {
	f.metrics.feedFailed(f.name)
	if f.lost {
		return
	}
	f.lost = true
	f.sink.Lost()
	f.log.Warn().Str("feed", f.name).Int64("version", int64(f.version)).Err(err).Msg("front: platform is lost")
}

func (f *feed) regain() {
	f.metrics.feedRead(f.name)
	if !f.lost {
		return
	}
	f.lost = false
	f.sink.Regained()
	f.log.Info().Str("feed", f.name).Int64("version", int64(f.version)).Msg("front: platform is back")
}
