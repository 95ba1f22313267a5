// Package limit enforces the request and token rates of tenants across all processes.
package limit

import (
	"sync"
	"time"
)

// burstSeconds is the capacity of a bucket in seconds of its rate.
const burstSeconds = 1.0

// bucket is a token bucket with an adjustable rate. A rate of zero means no limit.
type bucket struct {
	mu       sync.Mutex
	rate     float64 // per second
	level    float64
	filledAt time.Time
}

// setRate changes the rate from now on. The first call fills the bucket.
func (b *bucket) setRate(rate float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.filledAt.IsZero() {
		b.level = rate * burstSeconds
		b.filledAt = now
	}
	b.fill(now)
	b.rate = rate
	b.level = min(b.level, b.capacity())
}

// take removes the amount if the level suffices. Otherwise it returns false and the time until it does.
// An amount above the capacity passes when the bucket is full and leaves a negative level.
func (b *bucket) take(amount float64, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return 0, true
	}
	b.fill(now)
	need := min(amount, b.capacity())
	if b.level < need {
		return time.Duration((need - b.level) / b.rate * float64(time.Second)), false
	}
	b.level -= amount
	return 0, true
}

// fill adds the tokens that have accrued since the last call.
func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.level = min(b.level+elapsed*b.rate, b.capacity())
	}
	b.filledAt = now
}

func (b *bucket) capacity() float64 {
	return max(b.rate*burstSeconds, 1)
}
