package mirror

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	modelPrefix    = "config/"
	modelNodes     = 4
	modelSearchAge = 2500 * time.Millisecond
	modelWatch     = time.Second
)

// model is a fleet on an explicit clock, whose messages are delivered by the test: late, twice, or not at all. The store holds one
// object, whose value is the operator's revision.
type model struct {
	mu  sync.Mutex // guards now, which questions between processes move
	now time.Time

	era       units.Era
	revision  int64 // of the store
	current   int64 // revision of the operator that the store has
	written   units.Version
	newest    int64
	confirmed map[int64]time.Time // when the store had confirmed a revision of the operator
	copies    []storeState

	nodes    [modelNodes]*node
	watches  []*modelWatchCall
	frames   []*modelFrame
	askDelay time.Duration // of a question and of its answer
	askFails bool
}

type storeState struct {
	revision, current int64
	written           units.Version
}

// node is one incarnation of a process.
type node struct {
	model  *model
	member Member
	offset time.Duration // of its clock
	mirror *Mirror
	feed   *feed
	inForce
	sources  map[units.ProcessName]*subscription
	unlisted bool      // the process has not read which others there are
	unheard  time.Time // since when no other process has answered a question about a state of an older copy, zero for never
}

// inForce is the operator's revision that a process uses.
type inForce struct {
	mu       sync.Mutex
	revision int64
}

// Replace implements Sink.
func (i *inForce) Replace(c objapi.Change) { i.Apply(c) }

// Apply implements Sink.
func (i *inForce) Apply(c objapi.Change) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, o := range c.Objects {
		i.revision = max(i.revision, revisionOf(o))
	}
}

// SetOutage implements Sink.
func (*inForce) SetOutage(Outage) {}

func (i *inForce) used() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.revision
}

func revisionOf(o objapi.Object) int64 {
	n, _ := strconv.ParseInt(string(o.Value), 10, 64)
	return n
}

// modelWatchCall is a watch or its answer.
type modelWatchCall struct {
	node    *node
	sent    time.Time // on the clock of the process
	from    units.Version
	timeout time.Duration
	arrived time.Time // at the store, zero before
	done    bool      // the store has answered
	early   bool      // without a change and before the timeout
	answer  objapi.Change
}

// modelFrame is a stamp on its way to a source, or the answer.
type modelFrame struct {
	from, to *node
	stamp    *int64
	seen     units.Version
	answer   *wire.Objects
}

func newModel() *model {
	m := &model{now: time.Unix(1e6, 0), era: 1, revision: 5, confirmed: map[int64]time.Time{}}
	m.write()
	for i := range m.nodes {
		m.start(i)
	}
	for _, n := range m.nodes {
		_ = n.feed.readSnapshot(context.Background())
	}
	return m
}

func (m *model) clock() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// pass lets time pass, and ends the watches whose timeout is over.
func (m *model) pass(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for _, w := range m.watches {
		if !w.done && !w.arrived.IsZero() && !m.now.Before(w.arrived.Add(w.timeout)) {
			w.done, w.answer = true, objapi.Change{Version: w.from}
		}
	}
}

func (m *model) version() units.Version { return units.Version(m.revision).In(m.era) }

// write has the store confirm another revision of the operator, which answers the watches.
func (m *model) write() {
	m.revision++
	m.newest++
	m.current, m.written = m.newest, m.version()
	m.confirmed[m.newest] = m.now
	m.answerWatches()
}

func (m *model) answerWatches() {
	for _, w := range m.watches {
		if !w.done && !w.arrived.IsZero() && w.from.Era() == m.era && m.written > w.from {
			w.done, w.answer = true, objapi.Change{Version: m.version(), Newest: m.written, Objects: []objapi.Object{m.object()}}
		}
	}
}

func (m *model) object() objapi.Object {
	return objapi.Object{Key: modelPrefix + "main", Version: m.written, Value: strconv.AppendInt(nil, m.current, 10)}
}

// restore brings the store back with an older copy.
func (m *model) restore(s storeState) {
	m.era++
	m.revision, m.current, m.written = s.revision, s.current, s.written.In(m.era)
	m.watches = slices.DeleteFunc(m.watches, func(w *modelWatchCall) bool { return !w.done }) // they are gone
}

// start starts a process without state.
func (m *model) start(i int) {
	n := &node{
		model: m, offset: time.Duration(i) * time.Hour, sources: map[units.ProcessName]*subscription{},
		member: Member{Name: units.ProcessName(fmt.Sprint("p", i)), Address: fmt.Sprint("p", i), Region: "one"},
	}
	n.mirror, _ = New(Options{
		Name: n.member.Name, Region: "one", Platform: n, Present: n.present, Announce: func(string, int64) {},
		Clock: m.clock, BootTime: func() time.Time { return m.clock().Add(n.offset) }, Log: zerolog.Nop(), Observer: discardObserver{},
		Feeds: []Feed{{
			Name: "configuration", Prefix: modelPrefix, Sink: &n.inForce, WatchTimeout: modelWatch, FirstWatchTimeout: modelWatch,
			SearchAge: modelSearchAge, Keep: func(known, current objapi.Object) bool { return revisionOf(known) > revisionOf(current) },
		}},
	})
	n.mirror.search.client = &http.Client{Transport: n}
	n.feed = n.mirror.feeds[0]
	m.nodes[i] = n
}

func (m *model) members() []Member {
	members := make([]Member, 0, len(m.nodes))
	for i := range m.nodes {
		members = append(members, Member{Name: units.ProcessName(fmt.Sprint("p", i)), Address: fmt.Sprint("p", i), Region: "one"})
	}
	return members
}

// present returns the processes that are known.
func (n *node) present() []Member {
	if n.unlisted {
		return nil
	}
	return n.model.members()
}

// knows reports whether a process other than the given one has the newest revision of the operator.
func (m *model) knows(except *node) bool {
	return slices.ContainsFunc(m.nodes[:], func(n *node) bool { return n != nil && n != except && n.used() == m.newest })
}

// Snapshot implements Source. The answer is on its way as long as a question is.
func (n *node) Snapshot(context.Context, string) (objapi.Change, error) {
	n.model.pass(n.model.askDelay)
	c := objapi.Change{Version: n.model.version(), Objects: []objapi.Object{n.model.object()}}
	n.model.pass(n.model.askDelay)
	return c, nil
}

// WatchFor implements Source. Watches are sent by the test.
func (*node) WatchFor(context.Context, string, units.Version, time.Duration) (objapi.Change, error) {
	return objapi.Change{}, objapi.ErrUnavailable
}

var errLostInModel = errors.New("message is lost")

// RoundTrip implements http.RoundTripper with a question to another process.
func (n *node) RoundTrip(r *http.Request) (*http.Response, error) {
	if n.model.askFails {
		return nil, errLostInModel
	}
	n.model.pass(n.model.askDelay)
	if strings.HasPrefix(r.URL.Host, "gone") {
		return nil, syscall.ECONNREFUSED
	}
	recorder := httptest.NewRecorder()
	for _, other := range n.model.nodes {
		if other != nil && other.member.Address == r.URL.Host {
			other.mirror.answer(recorder, r)
		}
	}
	n.model.pass(n.model.askDelay)
	return recorder.Result(), nil
}

// check checks that no process counts its copy as the platform's at a time when the store had confirmed a newer revision already.
func (m *model) check(t *rapid.T) {
	for _, n := range m.nodes {
		age, ok := n.mirror.Age(modelPrefix)
		if !ok || !n.unheard.IsZero() && m.now.Sub(n.unheard) > doubtTime { // by then the platform's word is taken
			continue
		}
		superseded, isSuperseded := m.confirmed[n.used()+1]
		if isSuperseded && m.now.Add(-age).After(superseded) {
			t.Fatalf("%s: revision %d of %d is %v old, and was superseded %v ago", n.member.Name, n.used(), m.newest, age, m.now.Sub(superseded))
		}
	}
}

func (m *model) node(t *rapid.T) *node {
	return m.nodes[rapid.IntRange(0, modelNodes-1).Draw(t, "node")]
}

func (m *model) isRunning(n *node) bool { return slices.Contains(m.nodes[:], n) }

// drawDelays draws how long questions between processes take in this step.
func (m *model) drawDelays(t *rapid.T) {
	m.askDelay = time.Duration(rapid.SampledFrom([]int{0, 5, 140, 900}).Draw(t, "delayMs")) * time.Millisecond
}

// hears records that a process may have taken over what another one read while nobody answered it.
func (n *node) hears(other *node) {
	if n.unheard.IsZero() {
		n.unheard = other.unheard
	}
}

// apply gives the answer of a source to the process that stamped it.
func (f *modelFrame) apply() {
	s, ok := f.from.sources[f.to.member.Name]
	if !ok {
		s = &subscription{mirror: f.from.mirror, source: f.to.member, feeds: map[string]sourceFeed{}, held: map[string][]*wire.ObjectCopy{}}
		f.from.sources[f.to.member.Name] = s
	}
	message := *f.answer
	s.apply(&message)
	f.from.hears(f.to)
}

func removeOne[T any](list []T, i int) []T { return slices.Delete(slices.Clone(list), i, i+1) }

// TestAgeIsABound plays a fleet with messages that are late, lost or delivered twice, processes that stand still, start again or read
// the store in place of others, and a store that comes back from older copies. It guards against an age that is lower than the time
// since the copy was the platform's.
func TestAgeIsABound(t *testing.T) {
	for range modelRounds {
		rapid.Check(t, playModel)
	}
}

// modelRounds is the number of times that the default number of plays is repeated; some faults show in one of hundreds only.
const modelRounds = 30

func playModel(t *rapid.T) {
	m := newModel()
	t.Repeat(map[string]func(*rapid.T){
		"": m.check,
		"time passes": func(t *rapid.T) {
			m.pass(time.Duration(rapid.SampledFrom([]int{1, 50, 400, 1300, 4000}).Draw(t, "ms")) * time.Millisecond)
		},
		"operator writes":         func(*rapid.T) { m.write() },
		"other object":            func(*rapid.T) { m.revision++ },
		"store is copied":         func(*rapid.T) { m.copies = append(m.copies, storeState{m.revision, m.current, m.written}) },
		"store is restored":       m.restoreOne,
		"process reads":           m.read,
		"watch is sent":           m.sendWatch,
		"watch arrives":           m.watchArrives,
		"watch ends early":        m.watchEndsEarly,
		"operator writes again":   func(*rapid.T) { m.write() },
		"watch is answered again": m.deliverWatch,
		"watch is answered":       m.deliverWatch,
		"stamp is sent":           m.sendStamp,
		"stamp is answered":       m.answerStamp,
		"ages arrive":             m.deliverFrame,
		"process asks":            m.ask,
		"process is replaced": func(t *rapid.T) {
			i := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
			if m.knows(m.nodes[i]) {
				m.start(i)
				m.nodes[i].unlisted = rapid.Bool().Draw(t, "unlisted")
			}
		},
		"processes are listed": func(t *rapid.T) { m.node(t).unlisted = false },
	})
}

// TestWholeMilliseconds guards against an age that is told too low, and against an unknown one that is told as none.
func TestWholeMilliseconds(t *testing.T) {
	assert.Equal(t, wholeMilliseconds(unknownAge), int64(-1))
	assert.Equal(t, wholeMilliseconds(0), int64(0))
	assert.Equal(t, wholeMilliseconds(1), int64(1))
	assert.Equal(t, wholeMilliseconds(time.Millisecond), int64(1))
	assert.Equal(t, wholeMilliseconds(time.Millisecond+1), int64(2))
}

// TestSmallStamps measures what the stamps of a follower add.
func TestSmallStamps(t *testing.T) {
	ms := int64(3_600_000) // after an hour
	var stamp, plain, stamped bytes.Buffer
	for _, one := range []struct {
		into  *bytes.Buffer
		frame wire.Frame
	}{
		{into: &stamp, frame: wire.Frame{Subscribe: &wire.Subscribe{Seen: []wire.SeenVersion{}, StampMS: &ms}}},
		{into: &plain, frame: wire.Frame{Objects: &wire.Objects{Copies: []wire.ObjectCopy{}, AgesMS: []int64{20000, 1000, 1000, 25000, 6000}}}},
		{into: &stamped, frame: wire.Frame{Objects: &wire.Objects{
			Copies: []wire.ObjectCopy{}, AgesMS: []int64{20000, 1000, 1000, 25000, 6000}, StampMS: &ms,
		}}},
	} {
		data, err := cbor.Marshal(one.frame)
		assert.NilError(t, err)
		_, _ = one.into.Write(data)
	}
	perSecond := float64(time.Second) / float64(beatInterval)
	// The follower's frames are masked, with a head of six bytes; those of the source have two.
	added := perSecond * float64(stamp.Len()+6+stamped.Len()-plain.Len())
	t.Logf("stamp %d, answer %d, beat %d bytes: %.0f bytes a second more for each follower", stamp.Len(), stamped.Len(), plain.Len(), added)
	assert.Assert(t, added <= 100, "%v", added)
}
