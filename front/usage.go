package front

import (
	"context"
	"time"

	"github.com/buckthorntrack/buckthorntrack/duty"
	"github.com/buckthorntrack/buckthorntrack/proxy"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/usage"
)

// usageCollectors is the number of processes that collect the counts of all, beside the holder of the duties.
const usageCollectors = 2

// openUsage sets up what counts requests, where usage is reported, and returns the duty that reports the counts, nil for none.
func (p *Process) openUsage(api DutyAPI, clocks Clocks) duty.Task {
	length := usage.Length(p.settings.Usage.Window)
	if length <= 0 {
		return nil
	}
	wall := clocks.Wall
	if wall == nil {
		wall = clocks.Monotonic
	}
	clock, book := usage.NewClock(wall, clocks.BootTime), usage.NewBook()
	reporter := usage.NewReporter(usage.Options{
		Length: length, Lateness: p.settings.Usage.Lateness, Book: book, Records: &usageRecords{store: p.store}, Era: p.store.Era,
		Send: func(ctx context.Context, c duty.Credentials, w usage.Window, counts usage.Counts) error {
			return api.ReportUsage(ctx, c, int64(w), counts)
		},
		Processes: p.presentNames, Now: clock.Now, Log: p.log,
		Refresh: func() { p.usage.Refresh() }, Ask: func(missing []units.ProcessName) { p.usage.Ask(missing) },
		IsChecked: func() bool { return p.usage.IsChecked() },
	})
	p.usage = usage.NewNode(usage.NodeOptions{
		Source: usage.Source{Name: p.settings.Process.Name, Incarnation: p.gossip.Incarnation()},
		Length: length, Time: clock, Steady: clocks.BootTime, Messenger: p.gossip, Reporter: reporter, Book: book,
		Collectors: p.usageCollectors, Processes: p.presentNames, Token: func() units.FencingToken { return p.duties.Token() }, Log: p.log,
	})
	p.gossip.OnUsage(p.usage)
	p.registerUsageGauges(clock, reporter)
	return reporter
}

// countedUsage returns what counts requests, nil where no usage is reported.
func (p *Process) countedUsage() proxy.Usage {
	if p.usage == nil {
		return nil
	}
	return p
}

// Began implements proxy.Usage.
func (p *Process) Began(account units.TenantName, at time.Time) {
	if p.usage != nil {
		p.usage.Count(account, p.clock().Sub(at))
	}
}

// sendLastUsage sends the counts at the end of a planned stop.
func (p *Process) sendLastUsage() {
	if p.usage != nil {
		p.usage.SendLast()
	}
}

// usageCollectors returns the processes that collect the counts of all.
func (p *Process) usageCollectors() []units.ProcessName {
	readers := p.readers()
	return readers[:min(len(readers), usageCollectors)]
}

// presentNames returns the names of the processes that are not known to be gone, with this one.
func (p *Process) presentNames() []units.ProcessName {
	names := []units.ProcessName{p.settings.Process.Name}
	for _, m := range p.memberSink.present() {
		if m.Name != p.settings.Process.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

func (p *Process) registerUsageGauges(clock *usage.Clock, reporter *usage.Reporter) {
	p.metrics.Gauge("usage_missed", "Requests that were counted after their window was settled, so that its report lacks them.",
		func() float64 { return float64(p.usage.Missed()) })
	p.metrics.Gauge("usage_late_reports", "Reports that were accepted after they were due.",
		func() float64 { return float64(reporter.Late()) })
	p.metrics.Gauge("usage_sent_window", "Last window of which any process has sent a report, as far as this one knows.",
		func() float64 { return float64(reporter.Sent()) })
	p.metrics.Gauge("clock_steps", "Steps of the wall clock.", func() float64 {
		steps, _ := clock.Faults()
		return float64(steps)
	})
	p.metrics.Gauge("clock_corrections", "Corrections of the time by the clocks of other processes.", func() float64 {
		_, corrections := clock.Faults()
		return float64(corrections)
	})
}
