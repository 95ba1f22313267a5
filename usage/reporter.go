package usage

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/duty"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// lookInterval is the interval between looks for windows to settle and to report.
	lookInterval = 100 * time.Millisecond
	// retryInterval is the interval between calls that fail, and between writes of the record that fail.
	retryInterval = 300 * time.Millisecond
	// storeTimeout bounds one read or write of the record.
	storeTimeout = 2 * time.Second
	// maxRefusals is the number of refusals after which a report is not sent again.
	maxRefusals = 3
)

// subject is that of all reports, so one window is reported at a time.
const subject duty.Subject = "usage"

// ErrOutdated means that the record was written by another process since it was read.
var ErrOutdated = errors.New("record was written by another process")

// Records reads and writes the record in the platform's store.
type Records interface {
	// Load returns the record as it is now, an empty one if there is none.
	Load(ctx context.Context) (Record, error)
	// Save writes the record on the condition that it is still the one that was loaded or saved last. After ErrOutdated it was not
	// written, after any other error it may be.
	Save(ctx context.Context, r Record) error
}

// Options holds the dependencies and settings of a Reporter.
type Options struct {
	Length   Length
	Lateness time.Duration // time after the end of a window at which its report is due
	Book     *Book
	Records  Records
	Era      func() units.Era // latest known era of the store
	// Send makes the call to the duty API.
	Send func(ctx context.Context, c duty.Credentials, w Window, counts Counts) error
	// Processes returns the processes that are not known to be gone, with this one.
	Processes func() []units.ProcessName
	// Refresh adds the present counts of this process to the book.
	Refresh func()
	// Ask asks others for the counts of processes that were not heard.
	Ask func(missing []units.ProcessName)
	// IsChecked reports whether the clock was compared with those of other processes.
	IsChecked func() bool
	Now       func() time.Time // true time
	Log       zerolog.Logger
}

// Reporter settles and reports windows while this process holds the duties. It implements duty.Task.
type Reporter struct {
	Options

	sent atomic.Int64 // last window of which any process has sent a report, as far as this one knows
	late atomic.Int64 // reports that were accepted too late
}

// NewReporter returns a Reporter.
func NewReporter(o Options) *Reporter {
	return &Reporter{Options: o}
}

// String implements duty.Task.
func (*Reporter) String() string { return "usage" }

// Sent returns the last window of which any process has sent a report, as far as this one knows.
func (r *Reporter) Sent() Window {
	return Window(r.sent.Load())
}

// SetSent records that a process has sent the report of a window.
func (r *Reporter) SetSent(w Window) {
	for {
		known := r.sent.Load()
		if int64(w) <= known || r.sent.CompareAndSwap(known, int64(w)) {
			return
		}
	}
}

// Late returns the number of reports that were accepted after they were due.
func (r *Reporter) Late() int64 {
	return r.late.Load()
}

// Run implements duty.Task.
func (r *Reporter) Run(ctx context.Context, h *duty.Handle) {
	t := &term{Reporter: r, call: h.Call, refusals: map[Window]int{}}
	for pause := time.Duration(0); wait.Sleep(ctx, pause); {
		pause = t.step(ctx)
	}
}

// term is the time for which this process holds the duties.
type term struct {
	*Reporter
	call     func(ctx context.Context, c duty.Call) error
	loaded   bool
	record   Record
	refusals map[Window]int
}

// step settles what can be settled and reports one window. It returns the time until the next step.
func (t *term) step(ctx context.Context) time.Duration {
	if !t.loaded && !t.load(ctx) {
		return retryInterval
	}
	if !t.settle(ctx) {
		return retryInterval
	}
	next := t.record.next(t.Lateness, t.Now())
	if next == nil {
		return lookInterval
	}
	return t.report(ctx, next)
}

func (t *term) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := t.Records.Load(ctx)
	if err != nil {
		t.Log.Debug().Err(err).Msg("usage: record cannot be read, will be retried")
		return false
	}
	t.record, t.loaded = record, true
	return true
}

// settle writes a record with the windows that can be settled, and reports whether the known record is the one in the store.
func (t *term) settle(ctx context.Context) bool {
	if !t.IsChecked() {
		return true
	}
	t.Refresh()
	f := fleet{book: t.Book, processes: t.Processes(), length: t.Length, era: t.Era()}
	next, missing := f.settle(t.record, t.Sent(), t.Now())
	if len(missing) > 0 {
		t.Ask(missing)
	}
	if next.last() == t.record.last() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := t.Records.Save(ctx, next); err != nil {
		t.loaded = false // another process may have settled the windows, or this one has
		t.Log.Info().Int64("window", int64(next.last())).Err(err).Msg("usage: windows not settled, will be retried")
		return false
	}
	t.record = next
	for _, s := range next.Settled {
		if !s.Reported && s.Window == next.last() {
			unheard := t.Book.Missing(s.Window, t.Length.End(s.Window).Add(heardTime), f.processes)
			t.Log.Info().Int64("window", int64(s.Window)).Int("accounts", len(s.Counts)).Int64("requests", s.Counts.total()).
				Int("processes", len(f.processes)).Int("unheard", len(unheard)).
				Int64("afterMs", t.Now().Sub(t.Length.End(s.Window)).Milliseconds()).Msg("usage: window is settled")
		}
	}
	return true
}

// report sends the report of a settled window.
func (t *term) report(ctx context.Context, s *Settled) time.Duration {
	content, err := json.Marshal(s.Counts) // sorted by account
	if err != nil {
		t.Log.Error().Err(err).Msg("usage: counts cannot be encoded")
		return retryInterval
	}
	t.SetSent(s.Window)
	err = t.call(ctx, duty.Call{
		Subject: subject, Content: strconv.FormatInt(int64(s.Window), 10) + string(content),
		Send: func(ctx context.Context, c duty.Credentials) error { return t.Send(ctx, c, s.Window, s.Counts) },
	})
	after := t.Now().Sub(t.Length.End(s.Window))
	switch {
	case err == nil:
		s.Reported = true
		if after > t.Lateness {
			t.late.Add(1)
		}
		t.Log.Info().Int64("window", int64(s.Window)).Int64("requests", s.Counts.total()).Int64("afterMs", after.Milliseconds()).
			Bool("late", after > t.Lateness).Msg("usage: window is reported")
		return 0
	case errors.Is(err, duty.ErrRefused) && !errors.Is(err, duty.ErrThrottled) && !errors.Is(err, duty.ErrFenced):
		t.refusals[s.Window]++
		s.Reported = t.refusals[s.Window] >= maxRefusals
		t.Log.Error().Int64("window", int64(s.Window)).Bool("final", s.Reported).Err(err).Msg("usage: report is refused")
	}
	return retryInterval
}
