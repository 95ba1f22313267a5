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

// listedEvents is a stream of tokens with the given indexes. It ends with an error unless done is set.
type listedEvents struct {
	indexes []units.Tokens
	done    bool
}

func (l *listedEvents) Next() (engine.Event, error) {
	if len(l.indexes) == 0 {
		if l.done {
			return engine.Event{Done: true}, nil
		}
		return engine.Event{}, errors.New("stream ended early")
	}
	index := l.indexes[0]
	l.indexes = l.indexes[1:]
	return engine.Event{Index: index}, nil
}

func (*listedEvents) Buffered() bool { return false }
func (*listedEvents) Close()         {}

// TestTokensComeOnceAndInOrder guards against duplicate, missing and unterminated tokens, for streams that repeat or
// skip tokens or lack the end marker. The request has no attempts left, so that the first failure ends the stream.
func TestTokensComeOnceAndInOrder(t *testing.T) {
	tests := []struct {
		name    string
		indexes []units.Tokens
		done    bool
		want    []units.Tokens
		whole   bool
	}{
		{"in order", []units.Tokens{0, 1, 2}, true, []units.Tokens{0, 1, 2}, true},
		{"repeated tokens", []units.Tokens{0, 1, 1, 0, 2}, true, []units.Tokens{0, 1, 2}, true},
		{"skipped token", []units.Tokens{0, 2, 3}, true, []units.Tokens{0}, false},
		{"no end marker", []units.Tokens{0, 1}, false, []units.Tokens{0, 1}, false},
		{"nothing", nil, false, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &run{
				x: &flow.Exchange{Context: context.Background()}, attempts: maxAttempts, isRemote: true,
				events: &listedEvents{indexes: tt.indexes, done: tt.done},
			}
			stream := &tokenStream{run: r}
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
