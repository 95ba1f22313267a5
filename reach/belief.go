package reach

import "time"

// state is what the process believes about its direct path to the engines.
type state uint32

const (
	reached state = iota
	suspected
	isolated
)

// String implements fmt.Stringer.
func (s state) String() string {
	return [...]string{"reached", "suspected", "isolated"}[s]
}

const (
	// failureWindow is how long a failed dial is evidence.
	failureWindow = 2 * time.Second
	// successWindow is how long a direct dial that succeeded outweighs the failure of a single engine.
	successWindow = time.Second
	// roundInterval and maxRoundInterval bound the time between two rounds of probes after one that reached an engine.
	roundInterval    = 300 * time.Millisecond
	maxRoundInterval = time.Second
	// roundMemory is the time without a round after which the interval is the shortest again.
	roundMemory = 5 * time.Second
	// confirmedWindow is how long an engine that another process does not reach either counts as down.
	confirmedWindow = time.Second
)

// failure is a direct dial that failed or is slow.
type failure struct {
	at       time.Time
	group    string
	slow     bool // has neither failed nor succeeded yet
	timedOut bool
	// confirmedAt is when another process last said that it does not reach the engine either.
	confirmedAt time.Time
}

// pace limits rounds of probes. The interval doubles while they reach engines.
type pace struct {
	last     time.Time
	interval time.Duration
}

func (p *pace) allows(now time.Time) bool {
	return p.last.IsZero() || now.Sub(p.last) >= p.interval
}

func (p *pace) started(now time.Time) {
	if p.last.IsZero() || now.Sub(p.last) >= roundMemory {
		p.interval = 0
	}
	p.interval = max(roundInterval, min(2*p.interval, maxRoundInterval))
	p.last = now
}

// belief decides from the outcome of direct dials whether the process reaches engines. It is a state machine without
// input and output: the caller passes the time, and probes the engines that a suspicion asks for.
//
// Failed dials or silence make the process suspect a partition. It believes in one once dials to all engines of a sample
// have failed; a single direct dial that succeeds ends the suspicion as well as the belief.
type belief struct {
	state       state
	succeededAt time.Time // last direct dial that succeeded
	suspectedAt time.Time
	isolatedAt  time.Time
	failures    map[string]failure  // by engine, since the last success in the engine's group
	pending     map[string]struct{} // engines of the sample whose dials have not failed since the suspicion began
	failedPace  pace
	silentPace  pace
}

func newBelief(now time.Time) belief {
	return belief{succeededAt: now, failures: map[string]failure{}}
}

// succeeded records a direct dial that connected. It returns whether the state changed.
func (b *belief) succeeded(group string, now time.Time) bool {
	b.succeededAt = now
	for engine, f := range b.failures {
		if f.group == group || now.Sub(f.at) > failureWindow {
			delete(b.failures, engine)
		}
	}
	changed := b.state != reached
	b.state, b.pending = reached, nil
	return changed
}

// failed records a direct dial that failed. It returns whether the process became isolated.
func (b *belief) failed(engine, group string, timedOut bool, now time.Time) bool {
	b.failures[engine] = failure{at: now, group: group, timedOut: timedOut, confirmedAt: b.failures[engine].confirmedAt}
	if b.state != suspected {
		return false
	}
	delete(b.pending, engine)
	return b.settle(now)
}

// slow records a direct dial that has not connected yet.
func (b *belief) slow(engine, group string, now time.Time) {
	if _, ok := b.failures[engine]; !ok {
		b.failures[engine] = failure{at: now, group: group, slow: true}
	}
}

// confirmed records that another process does not reach the engine either.
func (b *belief) confirmed(engine string, now time.Time) {
	if f, ok := b.failures[engine]; ok {
		f.confirmedAt = now
		b.failures[engine] = f
	}
}

// settle makes the process isolated if all engines of the sample have failed.
func (b *belief) settle(now time.Time) bool {
	if b.state != suspected || len(b.pending) > 0 {
		return false
	}
	b.state, b.isolatedAt, b.pending = isolated, now, nil
	return true
}

// recent returns how many engines failed within the window and since the last success.
func (b *belief) recent(now time.Time) int {
	count := 0
	for engine, f := range b.failures {
		if now.Sub(f.at) > failureWindow {
			delete(b.failures, engine)
		} else if !f.at.Before(b.succeededAt) {
			count++
		}
	}
	return count
}

// suspicious reports whether failed or slow dials call for probes of a sample of engines.
func (b *belief) suspicious(now time.Time) bool {
	if b.state != reached || !b.failedPace.allows(now) {
		return false
	}
	count := b.recent(now)
	return count > 1 || count == 1 && now.Sub(b.succeededAt) >= successWindow
}

// silenceSuspicious reports whether engines that do not answer call for probes of a sample of engines.
func (b *belief) silenceSuspicious(s silence, now time.Time) bool {
	return b.state == reached && s.telling() && b.silentPace.allows(now) && now.Sub(b.succeededAt) >= silenceAge
}

// suspect starts a suspicion with a sample of engines. Those of them that failed since the last success need no probe. It
// returns the engines to probe, and whether the process became isolated since none is left.
func (b *belief) suspect(sample []string, silent bool, now time.Time) (probes []string, changed bool) {
	if b.state != reached || len(sample) == 0 {
		return nil, false
	}
	if silent {
		b.silentPace.started(now)
	} else {
		b.failedPace.started(now)
	}
	b.state, b.suspectedAt, b.pending = suspected, now, map[string]struct{}{}
	for _, engine := range sample {
		f, failed := b.failures[engine]
		if failed && !f.slow && !f.at.Before(b.succeededAt) && now.Sub(f.at) <= failureWindow {
			continue
		}
		b.pending[engine] = struct{}{}
		probes = append(probes, engine)
	}
	return probes, b.settle(now)
}

// abandon ends a suspicion without a result.
func (b *belief) abandon() {
	if b.state == suspected {
		b.state, b.pending = reached, nil
	}
}

// doubts reports whether another engine of the group failed lately, with no success in the group since, so that an engine
// that is not reached directly may be reached through another process.
func (b *belief) doubts(engine, group string, now time.Time) bool {
	if f, ok := b.failures[engine]; ok && !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) <= confirmedWindow {
		return b.state == isolated
	}
	if b.state != reached {
		return true
	}
	for other, f := range b.failures {
		if other != engine && f.group == group && now.Sub(f.at) <= failureWindow {
			return true
		}
	}
	return false
}

// hangs reports whether most dials that failed timed out, as opposed to being refused.
func (b *belief) hangs() bool {
	balance := 0
	for _, f := range b.failures {
		switch {
		case f.slow:
		case f.timedOut:
			balance++
		default:
			balance--
		}
	}
	return balance > 0
}

const (
	// silenceAge and loneSilenceAge are the silence of several engines, or of a single one, that calls for probes.
	silenceAge     = 200 * time.Millisecond
	loneSilenceAge = time.Second
)

// silence describes engines with unanswered bytes while no engine was heard.
type silence struct {
	engines int           // that have had unanswered bytes for silenceAge
	age     time.Duration // since the earliest of those bytes and since any engine was heard
}

// telling reports whether the silence calls for probes. Long prompts and pauses of engines are silent as well.
func (s silence) telling() bool {
	return s.engines > 1 && s.age >= silenceAge || s.engines == 1 && s.age >= loneSilenceAge
}

// sample returns up to limit engines, taken in turn from all groups, at random within a group.
func sample(engines []string, group func(string) string, limit int, intn func(int) int) []string {
	groups, names := map[string][]string{}, []string{}
	for _, engine := range engines {
		name := group(engine)
		if _, ok := groups[name]; !ok {
			names = append(names, name)
		}
		groups[name] = append(groups[name], engine)
	}
	result := make([]string, 0, min(limit, len(engines)))
	for len(result) < min(limit, len(engines)) {
		for _, name := range names {
			rest := groups[name]
			if len(rest) == 0 || len(result) == limit {
				continue
			}
			i := intn(len(rest))
			result = append(result, rest[i])
			rest[i] = rest[len(rest)-1]
			groups[name] = rest[:len(rest)-1]
		}
	}
	return result
}
