package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/logs"
)

// blockedWriter is an output that blocks until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	text      bytes.Buffer
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.unblocked
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func TestRateIsLimitedAndDropsAreReported(t *testing.T) {
	out := &blockedWriter{unblocked: make(chan struct{})}
	close(out.unblocked)
	now := time.Unix(100, 0)
	w, closeWriter := logs.New(out, 100, func() time.Time { return now })
	log := zerolog.New(w)
	for range 500 {
		log.Info().Msg("front: request ended")
	}
	log.Warn().Msg("front: platform is lost")
	now = now.Add(time.Second)
	log.Info().Msg("front: request ended")
	closeWriter()
	assert.Equal(t, strings.Count(out.text.String(), "request ended"), 76)
	assert.Equal(t, strings.Count(out.text.String(), "platform is lost"), 1)
	assert.Assert(t, strings.Contains(out.text.String(), `"lines":425`))
	assert.Equal(t, w.Dropped(), int64(425))
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedWriter{unblocked: make(chan struct{})}
	w, closeWriter := logs.New(out, 1000000, time.Now)
	log := zerolog.New(w)
	for range 20000 {
		log.Info().Msg("front: request ended")
	}
	close(out.unblocked)
	closeWriter()
	assert.Assert(t, w.Dropped() > 0)
}
