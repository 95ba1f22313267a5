package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamMovesBeforeDeparture guards against streams that are cut with their engine, and against moving those that end by
// themselves, or of engines that stay.
func TestStreamMovesBeforeDeparture(t *testing.T) {
	tests := []struct {
		name       string
		leaving    bool
		eventsLeft int
		moves      bool
	}{
		{name: "engine stays", eventsLeft: 1000},
		{name: "stream would be cut", leaving: true, eventsLeft: 1000, moves: true},
		{name: "length is not known", leaving: true, moves: true},
		{name: "stream ends in time", leaving: true, eventsLeft: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const gap, stated = 50 * time.Millisecond, 2 * time.Second
			began := time.Unix(1000, 0)
			m := move{began: began}
			var movedAt time.Duration
			left := tt.eventsLeft
			for at := time.Duration(0); at < stated; at += gap {
				m.events++
				if m.due(began.Add(at), stated, tt.leaving, left) {
					movedAt = at
					break
				}
				if left > 0 {
					if left--; left == 0 {
						break // the stream has ended
					}
				}
			}
			assert.Equal(t, movedAt > 0, tt.moves)
			if tt.moves {
				assert.Assert(t, movedAt >= stated-moveMargin-moveSpread && movedAt <= stated-moveMargin, "moved after %v", movedAt)
			}
		})
	}
}
