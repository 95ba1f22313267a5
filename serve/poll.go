package serve

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/wait"

	"github.com/buckthorntrack/buckthorntrack/admit"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// reportInterval is the time between load reports of an engine that runs requests of this process.
	reportInterval = 500 * time.Millisecond
	// quietInterval is the same for other engines.
	quietInterval = time.Second
	// eventsEvery is the number of reports for each read of cache events.
	eventsEvery = 4
	maxPause    = 2 * time.Second
)

// pollReports reads an engine's load reports and cache events until ctx ends.
func pollReports(ctx context.Context, v *route.View, gate *admit.Gate, clock units.Clock) {
	after := int64(0)
	pause := reportInterval
	for round := 0; ctx.Err() == nil; round++ {
		v.Asked(clock())
		report, asked, err := v.Client.Report(ctx)
		if err != nil {
			pause = min(2*pause, maxPause)
		} else {
			pause = intervalFor(v)
			v.Report(report, asked)
			gate.Release()
		}
		if err == nil && report.TotalPieces > 0 && round%eventsEvery == 0 {
			after = pollEvents(ctx, v, after)
		}
		if !wait.Sleep(ctx, pause) {
			return
		}
	}
}

// intervalFor returns the time until the next report. An engine that is about to be taken away is read often.
func intervalFor(v *route.View) time.Duration {
	if v.InFlight() > 0 || v.Blocked() != 0 {
		return reportInterval
	}
	return quietInterval
}

// pollEvents reads cache events after the sequence number and returns the latest one.
func pollEvents(ctx context.Context, v *route.View, after int64) int64 {
	events, err := v.Client.CacheEvents(ctx, after)
	if err != nil {
		return after
	}
	v.Cached(events)
	for _, e := range events {
		after = max(after, e.Sequence)
	}
	return after
}
