package mirror

import "time"

// recordFailure records that this process did not reach the platform.
func (f *feed) recordFailure(err error) {
	f.mirror.Observer.FeedFailed(f.Name)
	f.findLost()
	if f.setOutage(Outage{Lost: true, EndedAgo: -1}) {
		f.mirror.Log.Warn().Str("feed", f.Name).Int64("ageMs", f.age().Milliseconds()).Err(err).Msg("mirror: platform is lost")
	}
}

// findLost records that this process has reason of its own to take the platform for lost, rather than its path or that of another
// process.
func (f *feed) findLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAt.IsZero() {
		f.lostAt = f.mirror.Clock()
	}
}

// recordSuccess records that this process reached the platform.
func (f *feed) recordSuccess() {
	f.mirror.Observer.FeedSucceeded(f.Name)
	f.mu.Lock()
	lost := f.outage
	f.mu.Unlock()
	if !lost {
		return
	}
	o := Outage{}
	if !f.endLoss() {
		o.EndedAgo = -1
	}
	if f.setOutage(o) {
		f.mirror.Log.Info().Str("feed", f.Name).Bool("outage", o.EndedAgo >= 0).Msg("mirror: platform is back")
	}
}

// endLoss reports whether this process found the platform lost for long enough to be an outage, in which entries may have lapsed.
func (f *feed) endLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lostAt := f.lostAt
	f.lostAt = time.Time{}
	return !lostAt.IsZero() && f.mirror.Clock().Sub(lostAt) >= f.mirror.ShortestOutage
}

// setToldOutage passes on what the followed process says of the platform. The end of a loss is that of an outage only if this process
// found the platform lost as well.
func (f *feed) setToldOutage(o Outage) {
	f.mu.Lock()
	outage := f.outage
	f.mu.Unlock()
	if !o.Lost {
		switch found := outage && f.endLoss(); {
		case !found:
			o.EndedAgo = -1
		case o.EndedAgo < 0:
			o.EndedAgo = 0
		}
	}
	f.setOutage(o)
}

// setOutage passes a change of the platform's state to the sink, and reports whether it was one.
func (f *feed) setOutage(o Outage) bool {
	f.mu.Lock()
	var regainedAt time.Time
	if o.EndedAgo >= 0 {
		regainedAt = f.mirror.Clock().Add(-o.EndedAgo)
	}
	later := regainedAt.Sub(f.regainedAt) > outageResolution
	if o.Lost == f.outage && !later {
		f.mu.Unlock()
		return false
	}
	f.outage = o.Lost
	if later {
		f.regainedAt = regainedAt
	}
	f.Sink.SetOutage(o)
	f.mu.Unlock()
	f.mirror.notifySubscribers()
	return true
}

// outageResolution is the difference from which two ends of an outage are different ones. The times that other processes
// state vary with network delay.
const outageResolution = time.Second

// outageState returns the outage as it is told to other processes. A process that does not get a version that others have
// read is cut off from the platform without an error.
func (f *feed) outageState() Outage {
	f.mu.Lock()
	defer f.mu.Unlock()
	cutOff := exceeds(f.missedSince, f.mirror.Clock(), 2*missedChangeTimeout)
	o := Outage{Lost: f.outage || cutOff, EndedAgo: -1}
	if !f.regainedAt.IsZero() {
		o.EndedAgo = f.mirror.Clock().Sub(f.regainedAt)
	}
	return o
}
