package serve

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/admit"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// reportInterval is the polling interval for load reports of an engine that runs requests of this process.
	reportInterval = 500 * time.Millisecond
	// idleReportInterval is the polling interval of other engines.
	idleReportInterval = time.Second
	// reportsPerEventRead is the number of load reports for each read of cache events.
	reportsPerEventRead = 4
	maxPause            = 2 * time.Second
)

// pollReports polls an engine's load reports and cache events until ctx ends. The interval doubles after each error, up
// to maxPause.
func pollReports(ctx context.Context, v *route.View, gate *admit.Gate, clock units.Clock) {
	after := int64(0)
	pause := reportInterval
	for round := 0; ctx.Err() == nil; round++ {
		v.MarkPoll(clock())
		report, requestedAt, err := v.Client.Report(ctx)
		if err != nil {
			pause = min(2*pause, maxPause)
		} else {
			pause = intervalFor(v)
			v.ApplyReport(report, requestedAt)
			gate.Release()
		}
		if err == nil && report.TotalPieces > 0 && round%reportsPerEventRead == 0 {
			after = pollEvents(ctx, v, after)
		}
		if !wait.Sleep(ctx, pause) {
			return
		}
	}
}

// intervalFor returns the time until the next poll. A blocked engine is polled at the shorter interval, since it may be
// about to be withdrawn.
func intervalFor(v *route.View) time.Duration {
	if v.InFlight() > 0 || v.Blocked() != 0 {
		return reportInterval
	}
	return idleReportInterval
}

// pollEvents reads the cache events after the sequence number and returns the latest sequence number.
func pollEvents(ctx context.Context, v *route.View, after int64) int64 {
	events, err := v.Client.CacheEvents(ctx, after)
	if err != nil {
		return after
	}
	v.ApplyCacheEvents(events)
	for _, e := range events {
		after = max(after, e.Sequence)
	}
	return after
}
