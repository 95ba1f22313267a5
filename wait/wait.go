// Package wait provides delays and intervals that end with a context.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
	maxDoublings   = 10 // keeps the shift from overflowing
)

// Backoff returns the delay after the given number of earlier attempts. The upper bound doubles with each attempt up to
// maxBackoff; the delay is random between half the bound and the bound.
func Backoff(attempt int) time.Duration {
	limit := min(initialBackoff<<min(attempt, maxDoublings), maxBackoff)
	return limit/2 + rand.N(limit/2)
}

// Sleep waits for the duration. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls f once per interval until ctx ends, the first time after one interval.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
