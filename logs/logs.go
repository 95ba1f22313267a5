// Package logs writes log lines without blocking and with a rate limit.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// maxBufferedLines is the size of the buffer for a slow reader, about a megabyte of lines of the usual length.
	maxBufferedLines = 4096
	// warnReserve is the fraction of the rate that is reserved for warnings and errors.
	warnReserve = 0.25
)

// Writer forwards lines at a limited rate. It drops and counts the lines in excess.
type Writer struct {
	out   io.Writer
	rate  int // lines per second
	clock units.Clock

	mu         sync.Mutex
	second     int64 // current second, Unix time
	lines      int   // forwarded in the current second
	unreported int   // lines dropped by the rate limit since the last line that reported drops
	dropped    atomic.Int64
}

// New returns a writer that forwards at most rate lines per second and never blocks on out, and a function that writes
// the buffered lines.
func New(out io.Writer, rate int, clock units.Clock) (*Writer, func()) {
	w := &Writer{rate: rate, clock: clock}
	buffered := diode.NewWriter(out, maxBufferedLines, 0, func(missed int) { w.dropped.Add(int64(missed)) })
	w.out = buffered
	return w, func() { _ = buffered.Close() } // there is no log left to report an error to
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel implements zerolog.LevelWriter.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.clock().Unix(); now != w.second {
		w.second, w.lines = now, 0
		w.reportDropped()
	}
	limit := w.rate
	if level < zerolog.WarnLevel {
		limit = int(float64(w.rate) * (1 - warnReserve))
	}
	if w.lines >= limit {
		w.unreported++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.lines++
	return w.out.Write(line)
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// reportDropped writes a warning with the number of lines that were dropped since the last one.
func (w *Writer) reportDropped() {
	if w.unreported == 0 {
		return
	}
	if _, err := fmt.Fprintf(w.out, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"logs: lines were dropped\"}\n",
		w.unreported); err == nil {
		w.unreported = 0
	}
}
