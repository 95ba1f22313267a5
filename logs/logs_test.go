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

// stuck is a reader that takes nothing until it is opened.
type stuck struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

func TestRateIsBoundedAndDropsAreTold(t *testing.T) {
	out := &stuck{open: make(chan struct{})}
	close(out.open)
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

func TestReaderThatTakesNothingBlocksNobody(t *testing.T) {
	out := &stuck{open: make(chan struct{})}
	w, closeWriter := logs.New(out, 1000000, time.Now)
	log := zerolog.New(w)
	for range 20000 {
		log.Info().Msg("front: request ended")
	}
	close(out.open)
	closeWriter()
	assert.Assert(t, w.Dropped() > 0)
}
