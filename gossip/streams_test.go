package gossip_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/epoch"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// streamLog records the messages on streams that a process receives.
type streamLog struct {
	learned []units.RequestID
	started []epoch.StreamID
	drained []epoch.Drained

	answers  map[units.RequestID]epoch.Answer // that the process gives
	received []receivedAnswer
}

// Learn implements gossip.StreamSink.
func (l *streamLog) Learn(_ units.ServiceName, id units.RequestID, _ units.SoftwareVersion) {
	l.learned = append(l.learned, id)
}

// LearnStarted implements gossip.StreamSink.
func (l *streamLog) LearnStarted(id epoch.StreamID, _ units.SoftwareVersion) {
	l.started = append(l.started, id)
}

// ReceiveDrained implements gossip.StreamSink.
func (l *streamLog) ReceiveDrained(_ units.ProcessName, _ units.ServiceName, d epoch.Drained) {
	l.drained = append(l.drained, d)
}

// AnswerStream implements gossip.StreamSink.
func (l *streamLog) AnswerStream(_ units.ServiceName, id units.RequestID) (epoch.Answer, bool) {
	a, ok := l.answers[id]
	return a, ok
}

// ReceiveAnswer implements gossip.StreamSink.
func (l *streamLog) ReceiveAnswer(from units.ProcessName, question uint64, a epoch.Answer) {
	l.received = append(l.received, receivedAnswer{Answer: a, from: from, question: question})
}

// receivedAnswer is an answer with its sender and the number of the question.
type receivedAnswer struct {
	epoch.Answer
	from     units.ProcessName
	question uint64
}

// TestStreamsAreAnnounced checks that processes of a small fleet hear of the streams that all others begin, and that in a large one the
// process that keeps an engine's load does, and all hear of streams that break off. A report of as many streams as it may hold arrives whole.
func TestStreamsAreAnnounced(t *testing.T) {
	const reported = 75
	tests := []struct {
		name       string
		smallFleet int
		learned    []units.RequestID
		started    int // streams of which a process other than the one that began them hears, counted at each
	}{
		{name: "small fleet", smallFleet: gossip.SmallFleet, started: 6},
		{name: "large fleet", smallFleet: 1, learned: []units.RequestID{"breaks"}, started: 2},
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
				for i, p := range all {
					id := epoch.IDOf("llm", units.RequestID(fmt.Sprint("begins", i)))
					p.AnnounceStart(wire.LoadMessage{Engine: "e", Born: 5, Stream: []string{string(id), "v1"}}, p.engine())
				}
				all[0].AnnounceBrokenStream("llm", "breaks", "v1")
				d := epoch.Drained{
					Epoch: 7, Known: 3, Uptime: 5 * time.Second, Omitted: 2, Active: true, Left: map[epoch.StreamID]units.SoftwareVersion{},
				}
				for n := range reported {
					d.Left[epoch.StreamID(fmt.Sprintf("stream%05d", n))] = units.SoftwareVersion(fmt.Sprint("v1.", n%3))
				}
				all[0].ReportDrained("llm", d)
				synctest.Wait()
				assert.DeepEqual(t, logs[1].learned, tt.learned)
				assert.DeepEqual(t, logs[2].learned, tt.learned)
				started := 0
				for _, l := range logs {
					started += len(l.started)
				}
				assert.Equal(t, started, tt.started)
				assert.DeepEqual(t, logs[1].drained, []epoch.Drained{d})
			})
		})
	}
}

// TestProcessesAnswerQuestionsOnStreams checks that the answers of processes reach the one that has asked, and who is asked.
func TestProcessesAnswerQuestionsOnStreams(t *testing.T) {
	remembered := epoch.Answer{Version: "v1", Known: true, Remembered: true, Sequence: 4}
	byRecord, unknown := epoch.Answer{Version: "v2", Known: true, Sequence: 5}, epoch.Answer{Sequence: 6}
	tests := []struct {
		name       string
		smallFleet int
		all        bool
		first      *epoch.Answer // of the process that collects reports, nil for none
		second     *epoch.Answer
		want       []epoch.Answer
	}{
		{name: "small fleet", smallFleet: gossip.SmallFleet, first: &remembered, second: &byRecord, want: []epoch.Answer{remembered, byRecord}},
		{name: "version is unknown", smallFleet: gossip.SmallFleet, first: &unknown, second: &byRecord, want: []epoch.Answer{unknown, byRecord}},
		{name: "no answer", smallFleet: gossip.SmallFleet, second: &byRecord, want: []epoch.Answer{byRecord}},
		{name: "large fleet", smallFleet: 1, first: &remembered, second: &byRecord, want: []epoch.Answer{remembered}},
		{name: "large fleet, all", smallFleet: 1, all: true, first: &remembered, second: &byRecord, want: []epoch.Answer{remembered, byRecord}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runProcesses(t, tt.smallFleet, func(_ *fakes.PacketNetwork, all []*process) {
				logs := make([]*streamLog, len(all))
				for i, p := range all {
					logs[i] = &streamLog{answers: map[units.RequestID]epoch.Answer{}}
					p.OnStreams(logs[i])
					p.OnTraits(nil, func() []units.ProcessName { return []units.ProcessName{"b"} })
				}
				for i, a := range []*epoch.Answer{tt.first, tt.second} {
					if a != nil {
						logs[i+1].answers["stream"] = *a
					}
				}
				all[0].AskStream(7, "llm", "stream", tt.all)
				synctest.Wait()
				got := map[units.ProcessName]epoch.Answer{}
				for _, r := range logs[0].received {
					assert.Equal(t, r.question, uint64(7))
					got[r.from] = r.Answer
				}
				assert.Equal(t, len(got), len(tt.want))
				for _, a := range tt.want {
					assert.Assert(t, slices.Contains(slices.Collect(maps.Values(got)), a))
				}
			})
		})
	}
}

// TestReportOfAProcessThatHasRunForLongArrives guards against a report that is dropped since its uptime is longer than a message may say.
func TestReportOfAProcessThatHasRunForLongArrives(t *testing.T) {
	for _, uptime := range []time.Duration{time.Minute, time.Hour, 365 * 24 * time.Hour} {
		t.Run(uptime.String(), func(t *testing.T) {
			runProcesses(t, gossip.SmallFleet, func(_ *fakes.PacketNetwork, all []*process) {
				l := &streamLog{}
				all[1].OnStreams(l)
				all[0].ReportDrained("llm", epoch.Drained{Epoch: 7, Known: 3, Uptime: uptime, Active: true})
				synctest.Wait()
				assert.Equal(t, len(l.drained), 1)
				assert.Assert(t, l.drained[0].Uptime >= min(uptime, epoch.Lifetime))
			})
		})
	}
}
