package epoch

import (
	"maps"
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

// Outcome is how an answer with a stream ended.
type Outcome struct {
	Whole bool
	Until time.Time // until when its caller may take the stream up, zero if the answer had not begun
}

// end ends an answer with the stream.
func (o *openStreams) end(service units.ServiceName, stream uint64, outcome Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.byService[service][stream]
	s.answers--
	if outcome.Whole || s.until.Before(outcome.Until) {
		s.until = outcome.Until
	}
	if s.answers <= 0 && s.until.IsZero() {
		delete(o.byService[service], stream)
		return
	}
	o.byService[service][stream] = s
}

// expire forgets the streams that broke off and that no caller takes up any more.
func (o *openStreams) expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, byStream := range o.byService {
		maps.DeleteFunc(byStream, func(_ uint64, s openStream) bool { return s.answers <= 0 && now.After(s.until) })
	}
}

// report returns up to limit streams whose version is not the one of the shares, and the number of those that are left out. It adds
// other streams while there are fewer than few.
func (o *openStreams) report(
	service units.ServiceName, shares Shares, limit, few int,
) (left map[StreamID]units.SoftwareVersion, omitted int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	left = map[StreamID]units.SoftwareVersion{}
	for stream, s := range o.byService[service] {
		switch {
		case shares.versionOf(stream) == s.version:
		case len(left) >= limit:
			omitted++
		default:
			left[idOf(stream)] = s.version
		}
	}
	for stream, s := range o.byService[service] {
		if len(left) >= min(limit, few) {
			break
		}
		left[idOf(stream)] = s.version
	}
	return left, omitted
}
