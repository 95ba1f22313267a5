// Package logs writes log lines without blocking and within a rate.
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
	// waiting bounds the lines that wait for a slow reader; at the usual length they take about a megabyte.
	waiting = 4096
	// reserve is the part of the rate that only warnings and errors may use.
	reserve = 0.25
)

// Writer passes lines on at a bounded rate. It drops and counts what is beyond.
type Writer struct {
	out   io.Writer
	rate  int
	clock units.Clock

	mu      sync.Mutex
	second  int64
	lines   int
	missing int // dropped since the last line that told of it
	dropped atomic.Int64
}

// New returns a writer of at most so many lines a second that never blocks on out, and a function that writes out what
// waits.
func New(out io.Writer, rate int, clock units.Clock) (*Writer, func()) {
	w := &Writer{rate: rate, clock: clock}
	buffered := diode.NewWriter(out, waiting, 0, func(missed int) { w.dropped.Add(int64(missed)) })
	w.out = buffered
	return w, func() { _ = buffered.Close() } // nobody is left to tell of a failure
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
		w.tellMissing()
	}
	bound := w.rate
	if level < zerolog.WarnLevel {
		bound = int(float64(w.rate) * (1 - reserve))
	}
	if w.lines >= bound {
		w.missing++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.lines++
	return w.out.Write(line)
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

func (w *Writer) tellMissing() {
	if w.missing == 0 {
		return
	}
	if _, err := fmt.Fprintf(w.out, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"logs: lines were dropped\"}\n", w.missing); err == nil {
		w.missing = 0
	}
}
