package gossip_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// streamLog records the messages on streams that a process receives.
type streamLog struct {
	learned []units.RequestID
	drained []epoch.Drained
}

// Learn implements gossip.StreamSink.
func (l *streamLog) Learn(_ units.ServiceName, id units.RequestID, _ units.SoftwareVersion) {
	l.learned = append(l.learned, id)
}

// ReceiveDrained implements gossip.StreamSink.
func (l *streamLog) ReceiveDrained(_ units.ProcessName, _ units.ServiceName, d epoch.Drained) {
	l.drained = append(l.drained, d)
}

// TestStreamsAreAnnounced checks that processes of a small fleet hear of streams that begin, those of a large one of streams that
// break off, and that a report of as many streams as it may hold arrives whole.
func TestStreamsAreAnnounced(t *testing.T) {
	const reported = 75
	tests := []struct {
		name       string
		smallFleet int
		learned    units.RequestID
	}{
		{name: "small fleet", smallFleet: gossip.SmallFleet, learned: "begins"},
		{name: "large fleet", smallFleet: 1, learned: "breaks"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runProcesses(t, tt.smallFleet, func(_ *fakes.PacketNetwork, all []*process) {
				logs := make([]*streamLog, len(all))
				for i, p := range all {
					logs[i] = &streamLog{}
					p.OnStreams(logs[i])
					p.OnTraits(nil, func() []units.ProcessName { return []units.ProcessName{"b"} })
				}
				all[0].AnnounceStream("llm", "begins", "v1", false)
				all[0].AnnounceStream("llm", "breaks", "v1", true)
				d := epoch.Drained{Epoch: 7, Known: 3, Omitted: 2, Active: true, Left: map[epoch.StreamID]units.SoftwareVersion{}}
				for n := range reported {
					d.Left[epoch.StreamID(fmt.Sprintf("stream%05d", n))] = units.SoftwareVersion(fmt.Sprint("v1.", n%3))
				}
				all[0].ReportDrained("llm", d)
				synctest.Wait()
				assert.DeepEqual(t, logs[1].learned, []units.RequestID{tt.learned})
				assert.DeepEqual(t, logs[2].learned, []units.RequestID{tt.learned})
				assert.DeepEqual(t, logs[1].drained, []epoch.Drained{d})
			})
		})
	}
}
