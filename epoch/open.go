package epoch

import (
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// openStreams holds the streams that are passed on here, or have broken off and may be taken up.
type openStreams struct {
	mu        sync.Mutex
	byService map[units.ServiceName]map[uint64]openStream
}

type openStream struct {
	version units.SoftwareVersion
	answers int       // that pass it on
	until   time.Time // after it broke off, until its caller may take it up
}

func newOpenStreams() openStreams {
	return openStreams{byService: map[units.ServiceName]map[uint64]openStream{}}
}

func (o *openStreams) begin(service units.ServiceName, stream uint64, version units.SoftwareVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byService[service] == nil {
		o.byService[service] = map[uint64]openStream{}
	}
	s := o.byService[service][stream]
	s.version = version
	s.answers++
	o.byService[service][stream] = s
}

// end ends an answer with the stream. Until is how long its caller may take it up, zero if the stream is whole.
func (o *openStreams) end(service units.ServiceName, stream uint64, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.byService[service][stream]
	s.answers--
	s.until = until
	if s.answers <= 0 && until.IsZero() {
		delete(o.byService[service], stream)
		return
	}
	o.byService[service][stream] = s
}

// others returns the streams whose version is not the one of the shares.
func (o *openStreams) others(service units.ServiceName, shares Shares, now time.Time) map[StreamID]units.SoftwareVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	others := map[StreamID]units.SoftwareVersion{}
	for stream, s := range o.byService[service] {
		switch {
		case s.answers <= 0 && now.After(s.until):
			delete(o.byService[service], stream)
		case shares.versionOf(stream) != s.version:
			others[idOf(stream)] = s.version
		}
	}
	return others
}
