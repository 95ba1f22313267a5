package fresh_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fresh"
)

func TestPolicy(t *testing.T) {
	const unknown = -time.Millisecond
	tests := []struct {
		name      string
		applyTime time.Duration
		usualAge  time.Duration
		age       time.Duration
		lost      bool
		recent    bool
	}{
		{name: "just confirmed", applyTime: 4 * time.Second, usualAge: 3 * time.Second, recent: true},
		{name: "just confirmed, platform lost", applyTime: 4 * time.Second, usualAge: 3 * time.Second, lost: true, recent: true},
		{name: "not known", applyTime: 4 * time.Second, usualAge: 3 * time.Second, age: unknown},
		{name: "not known, platform lost", applyTime: 4 * time.Second, usualAge: 3 * time.Second, age: unknown, lost: true},
		{name: "at the limit", applyTime: 4 * time.Second, usualAge: 3 * time.Second, age: 3800 * time.Millisecond, recent: true},
		{name: "above the limit", applyTime: 4 * time.Second, usualAge: 3 * time.Second, age: 3801 * time.Millisecond},
		{name: "usual age above the limit", applyTime: 4 * time.Second, usualAge: 8 * time.Second, age: 8 * time.Second, recent: true},
		{name: "above the usual age", applyTime: 4 * time.Second, usualAge: 8 * time.Second, age: 8001 * time.Millisecond},
		{
			name: "usual age above the limit, platform lost", applyTime: 4 * time.Second, usualAge: 8 * time.Second,
			age: 3801 * time.Millisecond, lost: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, fresh.New(tt.applyTime, tt.usualAge).IsRecent(tt.age, tt.lost), tt.recent)
		})
	}
}
