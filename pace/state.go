package pace

import (
	"math"
	"time"
)

// Reason is why an engine is held back.
type Reason int

// Reasons for which an engine is held back.
const (
	None     Reason = iota // not held back
	Started                // the incarnation is new
	CameBack               // it got no requests for a while after failures, refusals or mismatches
	Rejected               // it refused a request
	Slow                   // it answers slower than its peers
)

// Reasons returns the reasons for which engines are held back.
func Reasons() []Reason {
	return []Reason{Started, CameBack, Rejected, Slow}
}

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "started", "cameBack", "rejected", "slow"}[r]
}

const (
	// initialShare is the share of its slots that a new engine may use before its first answer.
	initialShare = 0.25
	// tolerance is how many times slower than its peers an engine may be. Engines of one service differ in speed by more
	// than two times.
	tolerance = 2.5
	// minRelative is the duration relative to peers below which an answer is no evidence: a refusal ends at once as well.
	minRelative = 0.2
	// heldWeight is the weight of a measurement in the slowness of an engine that is held back.
	heldWeight = 0.4
	// openWeight is the same for an engine that is not. The durations of answers vary more than engines do.
	openWeight = 0.15
	// minOpenMeasured is the number of measurements after which an open engine may be found slow.
	minOpenMeasured = 8
	// openTime is the time of good answers after which an engine is not held back any more.
	openTime = 2 * time.Second
	// minGood is the number of good answers for that.
	minGood = 3
	// longestOpenTime bounds openTime, which doubles each time that an engine is found slow shortly after.
	longestOpenTime = 16 * time.Second
	// relapseTime is the time in which an engine counts as slow again.
	relapseTime = 30 * time.Second
	// offerTime is how long a place that a process was told of is kept for it: a round trip within a region and the time to
	// choose.
	offerTime = 10 * time.Millisecond
)

// State is the pace of one incarnation of an engine. The zero value is open: any number of requests may be outstanding. It
// is not safe for concurrent use.
type State struct {
	reason     Reason
	slots      int
	limit      float64       // requests that may be outstanding, at least 1
	threshold  float64       // limit from which it grows slowly
	slowness   float64       // moving average of the deviations from the peers
	measured   int           // measurements since the reason or, if open, since the opening
	good       int           // good answers in a row
	goodSince  time.Time     // the first of them
	loweredAt  time.Time     // when the limit was last lowered
	openedAt   time.Time     // when the engine was last opened
	openTime   time.Duration // good answers that open it, zero for the constant
	waiting    int           // requests that wait at the engine, by its latest report
	offers     int           // places that processes were told of since offeredAt
	offeredAt  time.Time
	heldBackAt time.Time
}

// SetSlots sets the number of requests that the engine runs at once.
func (s *State) SetSlots(slots int) {
	s.slots = max(slots, 1)
}

// Start begins the pace of a new incarnation. One that says that it is cold begins with one request. Whether that is true shows
// in its answers.
func (s *State) Start(cold bool, now time.Time) {
	limit := float64(max(s.slots, 1)) * initialShare
	if cold {
		limit = 1
	}
	*s = State{slots: max(s.slots, 1)}
	s.hold(Started, limit, now)
	s.threshold = float64(s.slots)
}

// hold holds the engine back with a limit.
func (s *State) hold(reason Reason, limit float64, now time.Time) {
	if s.reason == None {
		s.heldBackAt = now
		if !s.openedAt.IsZero() && now.Sub(s.openedAt) < relapseTime {
			s.openTime = min(2*max(s.openTime, openTime), longestOpenTime)
		} else {
			s.openTime = openTime
		}
	}
	s.reason = reason
	s.limit = max(limit, 1)
	s.threshold = s.limit
	s.loweredAt, s.good, s.measured = now, 0, 0
}

// Begin is called before a request is sent. An engine without peers to compare with is not held back: either it is the only
// one, or nothing of the service has answered yet.
func (s *State) Begin(compared bool, now time.Time) {
	if s.reason != None && !compared {
		s.open(now)
	}
}

// Come begins the pace of an engine that gets requests again after a back-off.
func (s *State) Come(now time.Time) {
	s.hold(CameBack, 1, now)
	s.threshold = max(float64(s.slots)/2, 1)
}

// Reject counts a refusal while requests were outstanding, the refused one included. One of an engine that is not held
// back and reported that its slots are taken is no reason to hold it back.
func (s *State) Reject(outstanding int, full bool, now time.Time) {
	if s.reason == None && full {
		return
	}
	limit := float64(min(outstanding, s.slots)) / 2
	if s.reason != None {
		limit = min(limit, s.limit)
	}
	s.hold(Rejected, limit, now)
}

// Report takes the number of requests that run and wait at the engine by its own report. A queue that grows lowers the
// limit of an engine that is held back.
func (s *State) Report(requests int, now time.Time) {
	waiting := max(requests-s.slots, 0)
	if s.reason != None && waiting > s.waiting {
		s.lower(s.limit-float64(waiting-s.waiting), 1, now)
	}
	s.waiting = waiting
}

// Answer takes the measurement of a request that was sent at a time, as the deviation from the peers.
func (s *State) Answer(deviation float64, sent, now time.Time) {
	if deviation < math.Log(minRelative) {
		return
	}
	s.measured++
	weight := openWeight
	if s.reason != None {
		weight = heldWeight
	}
	s.slowness += max(weight, 1/float64(s.measured)) * (deviation - s.slowness)
	slow := s.slowness > math.Log(tolerance)
	switch {
	case s.reason == None && slow && s.measured >= minOpenMeasured:
		s.hold(Slow, float64(s.slots)*math.Exp(-s.slowness), now)
	case s.reason == None:
	case slow || deviation > math.Log(tolerance):
		s.good = 0
		if sent.After(s.loweredAt) {
			s.reason = Slow
			// An engine of this speed can do so much as fast as its peers.
			s.lower(s.limit*math.Exp(-deviation), float64(s.slots)*math.Exp(-2*max(s.slowness, 0)), now)
		}
	default:
		s.grow(now)
	}
}

// lower lowers the limit of an engine that is held back, though not below the least one.
func (s *State) lower(limit, least float64, now time.Time) {
	s.limit = max(min(max(limit, least), s.limit), 1)
	s.threshold = s.limit
	s.loweredAt, s.good = now, 0
}

// grow counts a good answer: the limit doubles in the time of an answer up to the threshold, and grows by one above.
func (s *State) grow(now time.Time) {
	if s.good == 0 {
		s.goodSince = now
	}
	s.good++
	if s.limit < s.threshold {
		s.limit++
	} else {
		s.limit += 1 / s.limit
	}
	if s.limit >= float64(s.slots) && s.good >= minGood || s.good >= minGood && now.Sub(s.goodSince) >= s.openTime {
		s.open(now)
	}
}

// open ends the limit.
func (s *State) open(now time.Time) {
	s.reason, s.limit, s.measured, s.slowness, s.openedAt = None, 0, 0, 0, now
}

// Allowance returns how many requests may be outstanding at the engine, zero for any number.
func (s *State) Allowance() int {
	if s.reason == None {
		return 0
	}
	return int(s.limit)
}

// Offered returns the number of places at an engine that is held back that other processes were told of a moment ago, and
// counts another one. Otherwise many processes that ask at once would all take the same place.
func (s *State) Offered(now time.Time) int {
	if s.reason == None {
		return 0
	}
	if now.Sub(s.offeredAt) > offerTime {
		s.offers, s.offeredAt = 0, now
	}
	s.offers++
	return s.offers - 1
}

// Held describes an engine that is held back.
type Held struct {
	Reason    Reason
	Allowance int
	Slowness  float64 // how many times slower than its peers
	Since     time.Time
}

// Held returns why the engine is held back, and false if it is not.
func (s *State) Held() (Held, bool) {
	return Held{
		Reason: s.reason, Allowance: s.Allowance(), Slowness: math.Exp(s.slowness), Since: s.heldBackAt,
	}, s.reason != None
}

// Follow opens an engine that the process which keeps its load does not hold back. This process may see too few answers.
func (s *State) Follow(now time.Time) {
	if s.reason != None && !s.IsTroubled(now) {
		s.open(now)
	}
}

// IsTroubled reports whether the engine is held back by what this process has met itself a moment ago. Later, the process that
// keeps the engine's load knows more: with many processes, each sees few answers.
func (s *State) IsTroubled(now time.Time) bool {
	return (s.reason == CameBack || s.reason == Rejected) && now.Sub(s.loweredAt) < openTime
}
