package gossip

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/demand"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// TestDemandFitsDatagrams guards against demand that is never sent as its message is too long, and against sums that the receiver
// takes for impossible after months.
func TestDemandFitsDatagrams(t *testing.T) {
	g := &Gossip{Options: Options{Name: "process-with-a-long-name-1"}, codec: newCodec("key"), incarnation: 1_700_000_000_000_000_000}
	var received []demand.Report
	g.OnDemand(func(r demand.Report) { received = append(received, r) })
	totals := demand.Totals{
		Prefill: 9e6 * time.Second, Occupied: 8e9 * time.Second, KV: 1 << 52, Requests: 1 << 40, Late: 1 << 39,
	}
	message := wire.LoadMessage{Kind: kindDemand, WorkID: uint64((90 * 24 * time.Hour).Milliseconds())}
	for n := range demandPerMessage {
		message.Demand = append(message.Demand, totalsOf(units.ServiceName(strings.Repeat(string(rune('a'+n)), maxDemandName)), totals))
	}
	encoded := g.encode(message)
	assert.Assert(t, encoded != nil, "message is too long")
	t.Logf("%d services with the longest names: %d bytes", demandPerMessage, len(encoded))
	decoded, err := g.codec.decode(encoded)
	assert.NilError(t, err)
	g.receiveDemand(&peer{name: "p", place: "z"}, decoded)
	assert.Equal(t, len(received), demandPerMessage)
	assert.DeepEqual(t, received[0], demand.Report{
		Process: "p", Place: "z", Incarnation: g.incarnation, Uptime: 90 * 24 * time.Hour,
		Service: units.ServiceName(strings.Repeat("a", maxDemandName)), Totals: totals,
	})
	one := g.encode(wire.LoadMessage{Kind: kindDemand, WorkID: 1 << 30, Demand: []wire.DemandTotals{totalsOf("llm", demand.Totals{
		Prefill: time.Hour, Occupied: 20 * time.Hour, KV: 1 << 40, Requests: 1 << 16, Late: 1 << 10,
	})}})
	t.Logf("one service: %d bytes", len(one))
}

// TestImpossibleDemandIsDropped guards against sums from which overflowing rates would follow.
func TestImpossibleDemandIsDropped(t *testing.T) {
	tests := []struct {
		name string
		sums wire.DemandTotals
	}{
		{name: "negative time", sums: wire.DemandTotals{PrefillMS: -1}},
		{name: "time beyond a duration", sums: wire.DemandTotals{OccupiedMS: 1 << 44}},
		{name: "too many tokens", sums: wire.DemandTotals{KVTokenMS: 1 << 54}},
		{name: "negative count", sums: wire.DemandTotals{Late: -1}},
		{name: "long name", sums: wire.DemandTotals{Service: strings.Repeat("a", maxDemandName+1)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Assert(t, !isPlausible(&wire.LoadMessage{Kind: kindDemand, Demand: []wire.DemandTotals{tt.sums}}))
		})
	}
}
