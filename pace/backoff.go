// Package pace decides how much work may be outstanding at an engine that has started, come back or become slow, from how it
// answers compared with its peers. It has no input or output.
package pace

import "time"

// Trouble is a reason for which an engine gets no new requests for a while.
type Trouble int

// Troubles of an engine.
const (
	Failed     Trouble = iota // requests failed at the engine
	Refused                   // it refused a request without a load report
	Mismatched                // it contradicted its registry entry
	troubles
)

// rule is the back-off for one kind of trouble. It doubles with each further trouble.
type rule struct {
	tolerated int           // consecutive troubles without a back-off
	first     time.Duration // the first back-off
	longest   time.Duration
}

// rules holds the rule of each kind of trouble.
var rules = [troubles]rule{
	// An engine that failed is used again within seconds after it has recovered.
	Failed: {tolerated: 1, first: 400 * time.Millisecond, longest: 3 * time.Second},
	// An engine that changes its role refuses all requests for some seconds, and each attempt costs a round trip and a
	// retry. The engine may also merely be full, which bounds the back-off.
	Refused: {first: 500 * time.Millisecond, longest: 2 * time.Second},
	// The registry lags behind a role change by about the first back-off. The longest one applies while the registry
	// cannot be read.
	Mismatched: {first: time.Second, longest: 4 * time.Second},
}

// maxDoublings bounds the doublings of a back-off.
const maxDoublings = 3

// Backoff counts the consecutive troubles of an engine.
type Backoff struct {
	failures   int
	rejections int // refusals and mismatches
}

// Next counts a trouble and returns for how long the engine gets no new requests, zero for none.
func (b *Backoff) Next(t Trouble) time.Duration {
	count := &b.rejections
	if t == Failed {
		count = &b.failures
	}
	*count++
	r := rules[t]
	if *count <= r.tolerated {
		return 0
	}
	return min(r.first<<min(*count-r.tolerated-1, maxDoublings), r.longest)
}

// Answered ends a sequence of failures, as the engine answered.
func (b *Backoff) Answered() {
	b.failures = 0
}

// Accepted ends a sequence of refusals and mismatches, as the engine accepted a request.
func (b *Backoff) Accepted() {
	b.rejections = 0
}
