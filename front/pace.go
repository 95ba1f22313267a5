package front

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/pace"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

// paceInterval is the interval at which engines that are held back are looked for, to log changes.
const paceInterval = time.Second

// runPace logs which engines are held back until ctx ends, if the setting holds engines back.
func (p *Process) runPace(ctx context.Context) {
	if !p.settings.Routed.Pace {
		return
	}
	l := &paceLog{log: p.log, clock: p.clock}
	p.wg.Go(func() { wait.Every(ctx, paceInterval, func() { l.compare(p.roster.HeldBack) }) })
}

// paceLog logs each engine that is held back, when that begins, when its reason changes, and when it ends.
type paceLog struct {
	log   zerolog.Logger
	clock units.Clock
	held  map[heldEngine]pace.Reason
}

// heldEngine is one incarnation of an engine.
type heldEngine struct {
	id        units.EngineName
	startedAt int64
}

// compare logs what has changed since the last call.
func (l *paceLog) compare(heldBack func(each func(e *pick.Engine, h pace.Held))) {
	now := map[heldEngine]pace.Reason{}
	heldBack(func(e *pick.Engine, h pace.Held) {
		key := heldEngine{id: e.ID, startedAt: e.StartedAt}
		now[key] = h.Reason
		if l.held[key] == h.Reason {
			return
		}
		l.log.Info().Str("engine", string(e.ID)).Int64("born", e.StartedAt).Stringer("reason", h.Reason).
			Int("allowance", h.Allowance).Str("slowness", fmt.Sprintf("%.1f", h.Slowness)).
			Int64("forMs", l.clock().Sub(h.Since).Milliseconds()).Msg("front: engine is held back")
	})
	for key := range l.held {
		if _, ok := now[key]; !ok {
			l.log.Info().Str("engine", string(key.id)).Int64("born", key.startedAt).
				Msg("front: engine is not held back any more, or gone")
		}
	}
	l.held = now
}

// registerPaceGauges registers the numbers of engines that are held back, by reason.
func (p *Process) registerPaceGauges() {
	if !p.settings.Routed.Pace {
		return
	}
	for _, reason := range pace.Reasons() {
		p.metrics.LabeledGauge("engines_held_back", "Engines that get fewer requests until they answer as their peers do.", "reason",
			reason.String(), func() float64 {
				count := 0
				p.roster.HeldBack(func(_ *pick.Engine, h pace.Held) {
					if h.Reason == reason {
						count++
					}
				})
				return float64(count)
			})
	}
}
