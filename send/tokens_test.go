package send

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// listed is a stream of given token indexes.
type listed struct {
	indexes []units.Tokens
	done    bool
}

func (l *listed) Next() (engine.Event, error) {
	if len(l.indexes) == 0 {
		if l.done {
			return engine.Event{Done: true}, nil
		}
		return engine.Event{}, errors.New("broken off")
	}
	index := l.indexes[0]
	l.indexes = l.indexes[1:]
	return engine.Event{Index: index}, nil
}

func (*listed) Buffered() bool { return false }
func (*listed) Close()         {}

// TestTokensComeOnceAndInOrder reads streams with tokens that come twice, are left out or lack the end marker. The
// request has no attempts left, so that a fault in the stream ends it.
func TestTokensComeOnceAndInOrder(t *testing.T) {
	tests := []struct {
		name    string
		indexes []units.Tokens
		done    bool
		want    []units.Tokens
		whole   bool
	}{
		{"in order", []units.Tokens{0, 1, 2}, true, []units.Tokens{0, 1, 2}, true},
		{"one twice", []units.Tokens{0, 1, 1, 0, 2}, true, []units.Tokens{0, 1, 2}, true},
		{"one left out", []units.Tokens{0, 2, 3}, true, []units.Tokens{0}, false},
		{"no end marker", []units.Tokens{0, 1}, false, []units.Tokens{0, 1}, false},
		{"nothing", nil, false, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &run{
				x: &flow.Exchange{Context: context.Background()}, attempts: maxAttempts, remotely: true,
				events: &listed{indexes: tt.indexes, done: tt.done},
			}
			stream := &tokens{run: r}
			var got []units.Tokens
			for {
				event, err := stream.Next()
				if err != nil || event.Done {
					assert.Equal(t, err == nil, tt.whole, "%v", err)
					break
				}
				got = append(got, event.Index)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
