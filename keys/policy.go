package keys

import "time"

// Parts of the time after which a withdrawn key must not be used.
const (
	// limitPercent is the part up to which the age of a configuration is accepted. The rest covers clocks that run apart.
	limitPercent = 95
	// searchDivisor gives the age from which a newer configuration is searched for. The time from then to the limit has to suffice for
	// several rounds of questions on a busy machine.
	searchDivisor = 2
	// watchDivisor gives the time of a watch of the configuration. With a fourth, the ages of processes that follow a follower
	// exceeded 2 s of a withdrawTime of 5 s.
	watchDivisor = 5
)

// Verdict is the decision on a key.
type Verdict int

// The decisions on a key.
const (
	Unknown  Verdict = iota // no account has the key
	Accepted                // the key may be used
	Outdated                // the configuration is too old to tell
)

// Policy decides whether a key may be used by a configuration of some age.
type Policy struct {
	// WithdrawTime is the time after which no request may be sent with a key that was removed from the configuration, zero for none.
	WithdrawTime time.Duration
}

// Check returns the decision on a key. The age is the time since the configuration was the platform's, negative if that is not known;
// known says whether an account of it has the key.
func (p Policy) Check(age time.Duration, known bool) Verdict {
	switch {
	case p.WithdrawTime > 0 && (age < 0 || age > p.Limit()):
		return Outdated
	case known:
		return Accepted
	default:
		return Unknown
	}
}

// Limit returns the age up to which a configuration is accepted.
func (p Policy) Limit() time.Duration {
	return p.WithdrawTime * limitPercent / 100
}

// SearchAge returns the age from which a newer configuration is searched for, zero for never.
func (p Policy) SearchAge() time.Duration {
	return p.WithdrawTime / searchDivisor
}

// WatchTimeout returns how long a watch of the configuration may be held open, at most the given time.
func (p Policy) WatchTimeout(usual time.Duration) time.Duration {
	if p.WithdrawTime <= 0 {
		return usual
	}
	return min(usual, p.WithdrawTime/watchDivisor)
}
