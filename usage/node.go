package usage

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// LookInterval is the interval between looks at the clocks and at what is to be sent.
	LookInterval = 100 * time.Millisecond
	// sendInterval is the interval between messages with the counts. The first one of a window is sent sendDelay after its
	// start, and up to sendSpread later by processes with other names.
	sendInterval = time.Second
	sendDelay    = 50 * time.Millisecond
	sendSpread   = 100 * time.Millisecond
	// sendTime is the time after the end of a window for which its counts are sent with each message.
	sendTime = 3200 * time.Millisecond
	// holderSilence is the time without a message of the holder of the duties after which it counts as gone.
	holderSilence = 5 * time.Second
	// all stands for the processes with any counts, where the counts of processes are asked for.
	all units.ProcessName = ""
	// maxAsked bounds the processes whose counts are asked for at once.
	maxAsked = 16
	// compareTime is the time from the start for which the clock is compared with those of other processes with each message, and
	// compareRatio the number of messages between comparisons later.
	compareTime  = 10 * time.Second
	compareRatio = 5
	// comparedProcesses is the number of processes with which the clock is compared, beside the collectors.
	comparedProcesses = 2
)

// Messenger sends messages to other processes. They may be lost, delayed and repeated.
type Messenger interface {
	SendUsage(m wire.UsageMessage, to []units.ProcessName)
}

// NodeOptions holds the dependencies and settings of a Node.
type NodeOptions struct {
	Source    Source // this process
	Length    Length
	Time      *Clock
	Steady    units.Clock // continues while the VM is suspended
	Messenger Messenger
	Reporter  *Reporter
	Book      *Book
	// Collectors returns the processes that collect the counts of all, beside the holder of the duties.
	Collectors func() []units.ProcessName
	// Processes returns the processes that are not known to be gone, with this one.
	Processes func() []units.ProcessName
	// Token returns the fencing token of the lease of the duties, zero if this process does not hold it.
	Token func() units.FencingToken
	Log   zerolog.Logger
}

// Node counts the requests of this process, sends the counts and collects those of other processes. Look is called in turn,
// the other methods at any time.
type Node struct {
	NodeOptions

	counter   *Counter
	sends     atomic.Int64  // number of messages with the counts so far
	started   time.Time     // steady clock
	spread    time.Duration // of the times at which processes send
	nextSend  time.Time     // true time
	lastToken units.FencingToken

	mu       sync.Mutex
	holder   units.ProcessName // that holds the duties, empty for none or this one
	token    units.FencingToken
	holderAt time.Time // when it was last heard, steady clock
	sendNow  bool
}

// NewNode returns a Node that has counted nothing.
func NewNode(o NodeOptions) *Node {
	return &Node{
		NodeOptions: o, counter: NewCounter(o.Length), started: o.Steady(),
		spread: time.Duration(digest.Sum64(string(o.Source.Name)) % uint64(sendSpread)),
	}
}

// Count counts a request of an account that an engine began to run some time ago.
func (n *Node) Count(account units.TenantName, ago time.Duration) {
	n.counter.Add(account, n.Time.Now().Add(-ago))
}

// Missed returns the number of requests that were counted after their window was settled.
func (n *Node) Missed() int64 {
	return n.counter.Missed()
}

// Look looks at the clocks, and sends what is due. Call it at each LookInterval.
func (n *Node) Look() {
	if ahead, stepped := n.Time.Sample(); stepped {
		n.Log.Warn().Int64("aheadMs", ahead.Milliseconds()).Msg("usage: wall clock has stepped, windows go by the clock before it")
	}
	now := n.Time.Now()
	token := n.Token()
	n.mu.Lock()
	due := n.sendNow || !now.Before(n.nextSend) || n.nextSend.Sub(now) > sendInterval
	n.sendNow = false
	n.mu.Unlock()
	if token != 0 && token != n.lastToken {
		n.Ask([]units.ProcessName{all})
	}
	if token != n.lastToken || due && token != 0 {
		n.announceHolder(token)
	}
	n.lastToken = token
	if !due {
		return
	}
	n.nextSend = n.sendTimeAfter(now)
	n.send(now)
	n.compare()
	n.sends.Add(1)
	n.Book.Prune(max(n.Reporter.Sent(), n.Length.At(now)-KeptWindows))
}

// sendTimeAfter returns the next time to send counts: at intervals from the start of each window.
func (n *Node) sendTimeAfter(now time.Time) time.Time {
	first := n.Length.End(n.Length.At(now) - 1).Add(sendDelay + n.spread)
	if now.Before(first) {
		return first
	}
	next := first.Add((now.Sub(first)/sendInterval + 1) * sendInterval)
	if following := first.Add(time.Duration(n.Length)); next.After(following) {
		return following
	}
	return next
}

// statements returns the counts of this process in the windows whose counts are sent: the present one, those that ended a short time
// ago, and one of the earlier ones that nobody has settled.
func (n *Node) statements(now time.Time) []Statement {
	current, sent := n.Length.At(now), n.Reporter.Sent()
	n.counter.SetSettled(sent)
	windows := n.counter.Windows(current)
	oldest := n.Length.At(now.Add(-sendTime))
	if oldest <= sent {
		oldest = min(sent+1, current)
	}
	list := make([]Window, 0, current-oldest+2)
	if unsettled := min(oldest-sent-1, KeptWindows-1); sent > 0 && unsettled > 0 {
		list = append(list, oldest-1-Window(n.sends.Load())%unsettled)
	}
	for w := oldest; w <= current; w++ {
		list = append(list, w)
	}
	statements := make([]Statement, 0, len(list))
	for _, w := range list {
		statements = append(statements, Statement{
			Source: n.Source, Window: w, AsOf: now, Total: windows[w].total(), Counts: windows[w],
		})
	}
	return statements
}

// addOwn adds the counts of this process to its own book.
func (n *Node) addOwn(now time.Time) []Statement {
	statements := n.statements(now)
	for _, s := range statements {
		n.Book.Add(s, n.Length.At(now))
	}
	return statements
}

// send sends the counts to the collectors and the holder of the duties.
func (n *Node) send(now time.Time) {
	to := n.receivers()
	for _, m := range Pack(n.addOwn(now)) {
		n.fill(&m, now)
		m.BootUS = n.Time.Steady()
		n.Messenger.SendUsage(m, to)
	}
}

// SendLast sends the counts at the end of a planned stop, twice as a datagram may be lost.
func (n *Node) SendLast() {
	for range 2 {
		n.send(n.Time.Now())
	}
}

// fill sets what all messages of this process state.
func (n *Node) fill(m *wire.UsageMessage, now time.Time) {
	m.SentUS, m.Reported, m.Token = now.UnixMicro(), int64(n.Reporter.Sent()), int64(n.Token())
}

// receivers returns the other processes that get the counts of this one.
func (n *Node) receivers() []units.ProcessName {
	to := n.Collectors()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.holder != "" && n.Steady().Sub(n.holderAt) <= holderSilence && !slices.Contains(to, n.holder) {
		to = append(slices.Clone(to), n.holder)
	}
	return slices.DeleteFunc(slices.Clone(to), func(name units.ProcessName) bool { return name == n.Source.Name })
}

// announceHolder tells all processes that this one holds the duties, unless it collects the counts anyway.
func (n *Node) announceHolder(token units.FencingToken) {
	if token == 0 || slices.Contains(n.Collectors(), n.Source.Name) {
		return
	}
	var m wire.UsageMessage
	n.fill(&m, n.Time.Now())
	n.Messenger.SendUsage(m, n.Processes())
}

// compare asks other processes for their time, beside those that get the counts.
func (n *Node) compare() {
	if n.Steady().Sub(n.started) > compareTime && n.sends.Load()%compareRatio != 0 {
		return
	}
	others := n.Processes()
	slices.Sort(others)
	var m wire.UsageMessage
	now := n.Time.Now()
	n.fill(&m, now)
	m.BootUS = n.Time.Steady()
	first := slices.Index(others, n.Source.Name) + 1 + int(n.sends.Load())*comparedProcesses
	to := make([]units.ProcessName, 0, comparedProcesses)
	for i := range min(comparedProcesses, len(others)) {
		to = append(to, others[(first+i)%len(others)])
	}
	n.Messenger.SendUsage(m, to)
}

// Ask asks the collectors, and the processes themselves, for the counts of processes that were not heard.
func (n *Node) Ask(missing []units.ProcessName) {
	missing = missing[:min(len(missing), maxAsked)]
	m := wire.UsageMessage{Asked: make([]string, len(missing))}
	for i, name := range missing {
		m.Asked[i] = string(name)
	}
	n.fill(&m, n.Time.Now())
	to := append(slices.Clone(n.Collectors()), missing...)
	slices.Sort(to)
	n.Messenger.SendUsage(m, slices.Compact(to))
}

// IsChecked reports whether the clock was compared with those of enough other processes, or could not be for some time.
func (n *Node) IsChecked() bool {
	return n.Time.IsChecked(len(n.Processes())-1) || n.Steady().Sub(n.started) > compareTime
}

// Refresh adds the present counts of this process to its book.
func (n *Node) Refresh() {
	n.addOwn(n.Time.Now())
}
