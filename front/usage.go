package front

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/duty"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/usage"
	"github.com/buckthorntrack/buckthorntrack/wait"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// usageCollectors is the number of processes that collect the counts of all, beside the holder of the duties.
	usageCollectors = 2
	// usageLookInterval is the interval between looks at the clocks and at what is to be sent.
	usageLookInterval = 100 * time.Millisecond
	// usageSendInterval is the interval between messages with the counts. The first one of a window is sent usageSendDelay after its
	// start, and up to usageSendSpread later by processes with other names.
	usageSendInterval = time.Second
	usageSendDelay    = 50 * time.Millisecond
	usageSendSpread   = 100 * time.Millisecond
	// usageSendTime is the time after the end of a window for which its counts are sent with each message.
	usageSendTime = 3200 * time.Millisecond
	// holderSilence is the time without a message of the holder of the duties after which it counts as gone.
	holderSilence = 5 * time.Second
	// maxAsked bounds the processes whose counts are asked for at once.
	maxAsked = 16
	// compareTime is the time from the start for which the clock is compared with those of other processes with each message, and
	// compareRatio the number of messages between comparisons later.
	compareTime  = 10 * time.Second
	compareRatio = 5
	// comparedProcesses is the number of processes with which the clock is compared, beside the collectors.
	comparedProcesses = 2
)

// usageCounts counts the requests of accounts, sends the counts and collects those of other processes.
type usageCounts struct {
	*Process

	length   usage.Length
	time     *usage.Clock
	counter  *usage.Counter
	book     *usage.Book
	reporter *usage.Reporter
	source   usage.Source
	spread   time.Duration

	sends     int       // number of messages with the counts so far
	nextSend  time.Time // true time
	lastToken units.FencingToken

	mu       sync.Mutex
	holder   units.ProcessName // that holds the duties, empty for none or this one
	token    units.FencingToken
	holderAt time.Time // when it was last heard, bootClock
	sendNow  bool
}

// newUsage returns what counts requests, nil where no usage is reported.
func newUsage(p *Process, clocks Clocks) *usageCounts {
	s := p.settings
	if s.Usage.Window <= 0 || s.Duties.Address == "" {
		return nil
	}
	wall := clocks.Wall
	if wall == nil {
		wall = clocks.Monotonic
	}
	u := &usageCounts{
		Process: p, length: usage.Length(s.Usage.Window), time: usage.NewClock(wall, clocks.BootTime),
		counter: usage.NewCounter(usage.Length(s.Usage.Window)), book: usage.NewBook(),
		source: usage.Source{Name: s.Process.Name, Incarnation: p.gossip.Incarnation()},
		spread: time.Duration(hashFraction(units.RequestID(s.Process.Name)) * float64(usageSendSpread)),
	}
	p.gossip.OnUsage(u)
	return u
}

// task returns the duty that reports the counts.
func (u *usageCounts) task(api DutyAPI) duty.Task {
	u.reporter = usage.NewReporter(usage.Options{
		Length: u.length, Lateness: u.settings.Usage.Lateness, Book: u.book, Records: &usageRecords{store: u.store},
		Send: func(ctx context.Context, c duty.Credentials, w usage.Window, counts usage.Counts) error {
			return api.ReportUsage(ctx, c, int64(w), counts)
		},
		Processes: u.processes, Refresh: func() { u.addOwn(u.time.Now()) }, Ask: u.ask, IsChecked: u.isChecked,
		Now: u.time.Now, Log: u.log,
	})
	return u.reporter
}

// began counts a request of an account that an engine began to run at a time of the process's clock.
func (u *usageCounts) began(account units.TenantName, at time.Time) {
	u.counter.Add(account, u.time.Now().Add(at.Sub(u.clock())))
}

// Began implements proxy.Usage.
func (p *Process) Began(account units.TenantName, at time.Time) {
	if p.usage != nil {
		p.usage.began(account, at)
	}
}

// runUsage counts, sends and collects until ctx ends, where usage is reported.
func (p *Process) runUsage(ctx context.Context) {
	if p.usage != nil {
		p.wg.Go(func() { p.usage.run(ctx) })
	}
}

// sendLastUsage sends the counts at the end of a planned stop.
func (p *Process) sendLastUsage() {
	if p.usage != nil {
		p.usage.sendLast()
	}
}

// run looks at the clocks and sends the counts until ctx ends.
func (u *usageCounts) run(ctx context.Context) {
	wait.Every(ctx, usageLookInterval, u.look)
}

func (u *usageCounts) look() {
	if ahead, stepped := u.time.Sample(); stepped {
		u.log.Warn().Int64("aheadMs", ahead.Milliseconds()).Msg("front: wall clock has stepped, windows go by the clock before it")
	}
	now := u.time.Now()
	token := u.duties.Token()
	u.mu.Lock()
	due := u.sendNow || !now.Before(u.nextSend) || u.nextSend.Sub(now) > usageSendInterval
	u.sendNow = false
	u.mu.Unlock()
	if token != u.lastToken || due && token != 0 {
		u.lastToken = token
		u.announceHolder(token)
	}
	if !due {
		return
	}
	u.nextSend = u.sendTimeAfter(now)
	u.send(now)
	u.compare()
	u.sends++
	u.book.Prune(max(u.reporter.Sent(), u.length.At(now)-usage.KeptWindows))
}

// sendTimeAfter returns the next time to send counts: at intervals from the start of each window.
func (u *usageCounts) sendTimeAfter(now time.Time) time.Time {
	first := u.length.End(u.length.At(now) - 1).Add(usageSendDelay + u.spread)
	if now.Before(first) {
		return first
	}
	next := first.Add((now.Sub(first)/usageSendInterval + 1) * usageSendInterval)
	if following := first.Add(time.Duration(u.length)); next.After(following) {
		return following
	}
	return next
}

// statements returns the counts of this process in the windows whose counts are sent: the present one, those that ended a short time
// ago, and one of the earlier ones that nobody has settled.
func (u *usageCounts) statements(now time.Time) []usage.Statement {
	current, sent := u.length.At(now), u.reporter.Sent()
	u.counter.SetSettled(sent)
	windows := u.counter.Windows(current)
	oldest := u.length.At(now.Add(-usageSendTime))
	if oldest <= sent {
		oldest = min(sent+1, current)
	}
	list := make([]usage.Window, 0, current-oldest+2)
	if unsettled := min(oldest-sent-1, usage.KeptWindows-1); sent > 0 && unsettled > 0 {
		list = append(list, oldest-1-usage.Window(u.sends)%unsettled)
	}
	for w := oldest; w <= current; w++ {
		list = append(list, w)
	}
	statements := make([]usage.Statement, 0, len(list))
	for _, w := range list {
		s := usage.Statement{Source: u.source, Window: w, AsOf: now, Counts: windows[w]}
		for _, n := range s.Counts {
			s.Total += n
		}
		statements = append(statements, s)
	}
	return statements
}

// addOwn adds the counts of this process to its own book.
func (u *usageCounts) addOwn(now time.Time) []usage.Statement {
	statements := u.statements(now)
	for _, s := range statements {
		u.book.Add(s, u.length.At(now))
	}
	return statements
}

// send sends the counts to the collectors and the holder of the duties.
func (u *usageCounts) send(now time.Time) {
	to := u.receivers()
	for _, m := range usage.Pack(u.addOwn(now)) {
		u.fill(&m, now)
		m.BootUS = u.time.Steady()
		u.gossip.SendUsage(m, to)
	}
}

// sendLast sends the counts at the end of a planned stop, twice as a datagram may be lost.
func (u *usageCounts) sendLast() {
	for range 2 {
		u.send(u.time.Now())
	}
}

// fill sets what all messages of this process state.
func (u *usageCounts) fill(m *wire.UsageMessage, now time.Time) {
	m.SentUS, m.Reported, m.Token = now.UnixMicro(), int64(u.reporter.Sent()), int64(u.duties.Token())
}

// collectors returns the processes that collect the counts of all.
func (u *usageCounts) collectors() []units.ProcessName {
	readers := u.readers()
	return readers[:min(len(readers), usageCollectors)]
}

// receivers returns the other processes that get the counts of this one.
func (u *usageCounts) receivers() []units.ProcessName {
	to := u.collectors()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.holder != "" && u.bootClock().Sub(u.holderAt) <= holderSilence && !slices.Contains(to, u.holder) {
		to = append(slices.Clone(to), u.holder)
	}
	return slices.DeleteFunc(slices.Clone(to), func(name units.ProcessName) bool { return name == u.source.Name })
}

// announceHolder tells all processes that this one holds the duties, unless it collects the counts anyway.
func (u *usageCounts) announceHolder(token units.FencingToken) {
	if token == 0 || slices.Contains(u.collectors(), u.source.Name) {
		return
	}
	var m wire.UsageMessage
	u.fill(&m, u.time.Now())
	u.gossip.SendUsage(m, u.processes())
}

// compare asks other processes for their time, beside those that get the counts.
func (u *usageCounts) compare() {
	if u.uptime() > compareTime && u.sends%compareRatio != 0 {
		return
	}
	others := u.processes()
	slices.Sort(others)
	var m wire.UsageMessage
	now := u.time.Now()
	u.fill(&m, now)
	m.BootUS = u.time.Steady()
	first := slices.Index(others, u.source.Name) + 1 + u.sends*comparedProcesses
	to := make([]units.ProcessName, 0, comparedProcesses)
	for i := range min(comparedProcesses, len(others)) {
		to = append(to, others[(first+i)%len(others)])
	}
	u.gossip.SendUsage(m, to)
}

// ask asks the collectors, and the processes themselves, for the counts of processes that were not heard.
func (u *usageCounts) ask(missing []units.ProcessName) {
	missing = missing[:min(len(missing), maxAsked)]
	m := wire.UsageMessage{Asked: make([]string, len(missing))}
	for i, name := range missing {
		m.Asked[i] = string(name)
	}
	u.fill(&m, u.time.Now())
	to := append(slices.Clone(u.collectors()), missing...)
	slices.Sort(to)
	u.gossip.SendUsage(m, slices.Compact(to))
}

// processes returns the processes that are not known to be gone, with this one.
func (u *usageCounts) processes() []units.ProcessName {
	names := []units.ProcessName{u.source.Name}
	for _, m := range u.memberSink.present() {
		if m.Name != u.source.Name {
			names = append(names, m.Name)
		}
	}
	return names
}

// isChecked reports whether the clock was compared with those of other processes.
func (u *usageCounts) isChecked() bool {
	return u.time.IsChecked(len(u.processes()) - 1)
}

// ReceiveUsage implements gossip.UsageSink.
func (u *usageCounts) ReceiveUsage(from units.ProcessName, incarnation int64, m *wire.UsageMessage) []wire.UsageMessage {
	now := u.time.Now()
	source := usage.Source{Name: from, Incarnation: incarnation}
	if m.From != "" {
		source = usage.Source{Name: units.ProcessName(m.From), Incarnation: m.FromIncarnation}
	}
	u.reporter.SetSent(min(usage.Window(m.Reported), u.length.At(now)))
	for _, s := range usage.Unpack(m, source) {
		u.book.Add(s, u.length.At(now))
	}
	if m.Token > 0 {
		u.heardHolder(from, units.FencingToken(m.Token))
	}
	if m.EchoUS != 0 {
		correction := u.time.Compare(from, usage.Exchange{
			Sent: m.EchoUS, Answered: u.time.Steady(), Received: time.UnixMicro(m.ReceivedUS), Returned: time.UnixMicro(m.SentUS),
		})
		if correction != 0 {
			u.log.Warn().Int64("byMs", correction.Milliseconds()).Msg("front: clock disagreed with those of other processes and is corrected")
		}
	}
	return u.answers(m, now)
}

// answers returns the answers to a message that arrived at a point in true time.
func (u *usageCounts) answers(m *wire.UsageMessage, now time.Time) []wire.UsageMessage {
	var answers []wire.UsageMessage
	if m.BootUS != 0 {
		answer := wire.UsageMessage{EchoUS: m.BootUS, ReceivedUS: now.UnixMicro()}
		u.fill(&answer, u.time.Now())
		answers = append(answers, answer)
	}
	if len(m.Asked) == 0 {
		return answers
	}
	u.addOwn(now)
	bySource := map[usage.Source][]usage.Statement{}
	names := make([]units.ProcessName, len(m.Asked))
	for i, name := range m.Asked {
		names[i] = units.ProcessName(name)
	}
	for _, s := range u.book.Of(names) {
		bySource[s.Source] = append(bySource[s.Source], s)
	}
	for source, statements := range bySource {
		for _, answer := range usage.Pack(statements) {
			u.fill(&answer, now)
			answer.From, answer.FromIncarnation = string(source.Name), source.Incarnation
			answers = append(answers, answer)
		}
	}
	return answers
}

// heardHolder records the holder of the duties. A new one is sent the counts at once.
func (u *usageCounts) heardHolder(name units.ProcessName, token units.FencingToken) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if token < u.token {
		return
	}
	u.sendNow = u.sendNow || token > u.token
	u.holder, u.token, u.holderAt = name, token, u.bootClock()
}
