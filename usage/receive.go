package usage

import (
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// ReceiveUsage handles a message of another process, and returns the messages with which to answer.
func (n *Node) ReceiveUsage(from units.ProcessName, incarnation int64, m *wire.UsageMessage) []wire.UsageMessage {
	now := n.Time.Now()
	source := Source{Name: from, Incarnation: incarnation}
	if m.From != "" {
		source = Source{Name: units.ProcessName(m.From), Incarnation: m.FromIncarnation}
	}
	n.Reporter.SetSent(min(Window(m.Reported), n.Length.At(now)))
	for _, s := range Unpack(m, source) {
		n.Book.Add(s, n.Length.At(now))
	}
	if m.Token > 0 {
		n.heardHolder(from, units.FencingToken(m.Token))
	}
	if m.EchoUS != 0 {
		correction := n.Time.Compare(from, Exchange{
			Sent: m.EchoUS, Answered: n.Time.Steady(), Received: time.UnixMicro(m.ReceivedUS), Returned: time.UnixMicro(m.SentUS),
		})
		if correction.Abs() > agreeLimit {
			n.Log.Warn().Int64("byMs", correction.Milliseconds()).Msg("usage: clock disagreed with those of other processes and is corrected")
		}
	}
	return n.answers(m, now)
}

// answers returns the answers to a message that arrived at a point in true time.
func (n *Node) answers(m *wire.UsageMessage, now time.Time) []wire.UsageMessage {
	var answers []wire.UsageMessage
	if m.BootUS != 0 {
		answer := wire.UsageMessage{EchoUS: m.BootUS, ReceivedUS: now.UnixMicro()}
		n.fill(&answer, n.Time.Now())
		answers = append(answers, answer)
	}
	if len(m.Asked) == 0 {
		return answers
	}
	n.addOwn(now)
	bySource := map[Source][]Statement{}
	names := make([]units.ProcessName, len(m.Asked))
	for i, name := range m.Asked {
		names[i] = units.ProcessName(name)
	}
	for _, s := range n.Book.Of(names) {
		bySource[s.Source] = append(bySource[s.Source], s)
	}
	for source, statements := range bySource {
		for _, answer := range Pack(statements) {
			n.fill(&answer, now)
			answer.From, answer.FromIncarnation = string(source.Name), source.Incarnation
			answers = append(answers, answer)
		}
	}
	return answers
}

// heardHolder records the holder of the duties. A new one is sent the counts at once.
func (n *Node) heardHolder(name units.ProcessName, token units.FencingToken) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if token < n.token {
		return
	}
	n.sendNow = n.sendNow || token > n.token
	n.holder, n.token, n.holderAt = name, token, n.Steady()
}
