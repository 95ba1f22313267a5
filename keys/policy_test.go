package keys_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/keys"
)

// TestCheck guards against a key that is accepted by a configuration that is too old, or by one whose age is not known.
func TestCheck(t *testing.T) {
	const withdraw = 5 * time.Second
	tests := []struct {
		name     string
		withdraw time.Duration
		age      time.Duration
		known    bool
		want     keys.Verdict
	}{
		{name: "known", withdraw: withdraw, age: time.Second, known: true, want: keys.Accepted},
		{name: "unknown", withdraw: withdraw, age: time.Second, want: keys.Unknown},
		{name: "at the limit", withdraw: withdraw, age: 4750 * time.Millisecond, known: true, want: keys.Accepted},
		{name: "above the limit", withdraw: withdraw, age: 4750*time.Millisecond + 1, known: true, want: keys.Outdated},
		{name: "above the limit, unknown", withdraw: withdraw, age: time.Minute, want: keys.Outdated},
		{name: "age is not known", withdraw: withdraw, age: -1, known: true, want: keys.Outdated},
		{name: "no time is set", age: time.Hour, known: true, want: keys.Accepted},
		{name: "no time is set, age is not known", age: -1, known: true, want: keys.Accepted},
		{name: "no time is set, unknown", age: -1, want: keys.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, keys.Policy{WithdrawTime: tt.withdraw}.Check(tt.age, tt.known), tt.want)
		})
	}
}

// TestTimesOfThePolicy guards against a search that begins after the limit, or a watch that is longer than the search allows.
func TestTimesOfThePolicy(t *testing.T) {
	p := keys.Policy{WithdrawTime: 5 * time.Second}
	assert.Equal(t, p.Limit(), 4750*time.Millisecond)
	assert.Equal(t, p.SearchAge(), 2500*time.Millisecond)
	assert.Equal(t, p.WatchTimeout(6*time.Second), time.Second)
	assert.Equal(t, p.WatchTimeout(time.Millisecond), time.Millisecond)
	assert.Equal(t, keys.Policy{}.WatchTimeout(6*time.Second), 6*time.Second)
	assert.Equal(t, keys.Policy{}.SearchAge(), time.Duration(0))
}
