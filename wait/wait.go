// Package wait waits for times that a context can cut short.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	maxDoublings = 10
)

// Backoff returns a delay with full jitter that doubles with each attempt, counted from zero.
func Backoff(attempt int) time.Duration {
	limit := min(firstBackoff<<min(attempt, maxDoublings), maxBackoff)
	return limit/2 + rand.N(limit/2)
}

// Sleep waits for the duration. It returns false when ctx ends first.
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

// Each calls f again and again, one interval after another, until ctx ends.
func Each(ctx context.Context, interval time.Duration, f func()) {
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
