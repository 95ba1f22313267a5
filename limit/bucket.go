// Package limit holds tenants to their request and token rates over all processes.
package limit

import (
	"sync"
	"time"
)

// burst is how many seconds of its rate a bucket can hold.
const burst = 1.0

// bucket is a token bucket whose rate can change. A rate of zero means no limit.
type bucket struct {
	mu    sync.Mutex
	rate  float64 // a second
	level float64
	at    time.Time
}

// setRate changes the rate from now on.
func (b *bucket) setRate(rate float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at.IsZero() {
		b.level = rate * burst
		b.at = now
	}
	b.fill(now)
	b.rate = rate
	b.level = min(b.level, b.capacity())
}

// take removes the amount. Otherwise it returns how long to wait for it.
// A larger amount than the bucket holds passes when the bucket is full and leaves a debt.
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

func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level = min(b.level+elapsed*b.rate, b.capacity())
	}
	b.at = now
}

func (b *bucket) capacity() float64 {
	return max(b.rate*burst, 1)
}
