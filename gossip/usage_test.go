package gossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/usage"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// TestUsageFitsDatagrams guards against counts that are never sent as their message is too long.
func TestUsageFitsDatagrams(t *testing.T) {
	g := &Gossip{Options: Options{Name: "process-with-a-long-name-1"}, codec: newCodec("key"), incarnation: 1_700_000_000_000_000_000}
	for _, accounts := range []int{0, 5, 20, 200} {
		counts := usage.Counts{}
		for i := range accounts {
			counts[units.TenantName(fmt.Sprintf("account-%d", i))] = int64(100 + i)
		}
		var statements []usage.Statement
		for w := usage.Window(340_000_000); w < 340_000_002; w++ {
			statements = append(statements, usage.Statement{Window: w, AsOf: time.Unix(1_700_000_000, 0), Total: 1 << 20, Counts: counts})
		}
		messages, total := usage.Pack(statements), 0
		for i := range messages {
			m := &messages[i]
			m.SentUS, m.BootUS, m.Reported, m.Token = 1<<50, 1<<50, 340_000_000, 1<<40
			encoded := g.encode(wire.LoadMessage{Kind: kindUsage, Usage: m})
			assert.Assert(t, encoded != nil)
			decoded, err := g.codec.decode(encoded)
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded.Usage, m)
			total += len(encoded)
		}
		t.Logf("%d accounts in two windows: %d bytes in %d datagrams", accounts, total, len(messages))
	}
	answer := g.encode(wire.LoadMessage{Kind: kindUsage, Usage: &wire.UsageMessage{SentUS: 1 << 50, EchoUS: 1 << 50, ReceivedUS: 1 << 50, Reported: 340_000_000}})
	t.Logf("answer: %d bytes", len(answer))
}

// usageSink records who sent messages on usage.
type usageSink struct {
	from []units.ProcessName
}

// ReceiveUsage implements UsageSink.
func (s *usageSink) ReceiveUsage(from units.ProcessName, _ int64, m *wire.UsageMessage) []wire.UsageMessage {
	s.from = append(s.from, from)
	return []wire.UsageMessage{{EchoUS: m.BootUS}}
}

// TestUsageOfAProcessThatHasDeregisteredCounts guards against requests that are missing as their process had deregistered when an
// engine began them, and against counts of anybody who lacks the key.
func TestUsageOfAProcessThatHasDeregisteredCounts(t *testing.T) {
	sink := &usageSink{}
	g := &Gossip{Options: Options{Name: "b", Clock: time.Now, BootTime: time.Now}, codec: newCodec("key")}
	g.OnUsage(sink)
	g.peers.Store(newPeerTable(nil, g.self()))
	g.suspension.lookedAt.Store(time.Now().UnixNano())
	for _, key := range []string{"key", "another"} {
		sender := &Gossip{Options: Options{Name: "a"}, codec: newCodec(key)}
		g.handle(sender.encode(wire.LoadMessage{Kind: kindUsage, Usage: &wire.UsageMessage{BootUS: 5}}), nil)
	}
	assert.DeepEqual(t, sink.from, []units.ProcessName{"a"})
}
