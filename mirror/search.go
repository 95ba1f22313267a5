package mirror

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// askPath is the path at which processes ask for one copy.
	askPath = "/mirror/copy"
	// askTimeout bounds a question to another process, and a read of the platform in a search.
	askTimeout = 500 * time.Millisecond
	// searchPause is the mean pause between the rounds of a search.
	searchPause = 200 * time.Millisecond
	// maxSearchWait bounds the time until the age is looked at again; timers stop during a suspension.
	maxSearchWait = 250 * time.Millisecond
	// firstReaders is the number of processes that read the platform in a round of the searches of all, on average, for firstReadTime.
	firstReaders  = 6
	firstReadTime = 1500 * time.Millisecond
	// laterReaders is the same afterwards, when the platform is probably lost for all.
	laterReaders = 1
	// maxIdleAsked and idleAskedTime bound the idle connections to processes that were asked.
	maxIdleAsked  = 16
	idleAskedTime = 5 * time.Second
)

var errNoCopy = errors.New("answer has no copy")

// search holds the connections and the counters of searches for newer copies.
type search struct {
	client  *http.Client
	rounds  atomic.Int64
	reads   atomic.Int64
	answers atomic.Int64
}

func (s *search) open(dial func(ctx context.Context, network, address string) (net.Conn, error)) (closeIdle func()) {
	transport := &http.Transport{
		DialContext: dial, MaxResponseHeaderBytes: maxHeadBytes, MaxIdleConns: maxIdleAsked, IdleConnTimeout: idleAskedTime,
	}
	s.client = &http.Client{Transport: transport}
	return transport.CloseIdleConnections
}

// SearchCounts holds what the searches for newer copies have cost since the start.
type SearchCounts struct {
	Rounds  int64 // of questions to other processes
	Answers int64 // of other processes
	Reads   int64 // of the platform
}

// SearchCounts returns the counters.
func (m *Mirror) SearchCounts() SearchCounts {
	return SearchCounts{Rounds: m.search.rounds.Load(), Answers: m.search.answers.Load(), Reads: m.search.reads.Load()}
}

// searchNewer searches for a newer copy whenever the age of the feed has reached its bound, until ctx ends. It does so beside the
// usual source, whose connection may hang.
func (m *Mirror) searchNewer(ctx context.Context, f *feed) {
	var since time.Time // when the search began, zero for none
	answered := true    // some process answered in the last round
	var turn readTurn
	var reads conc.WaitGroup
	defer reads.Wait()
	var reading atomic.Bool // the platform is read, which may take longer than a round
	for ctx.Err() == nil {
		age := f.age()
		switch {
		case f.currentVersion() == 0:
			wait.Sleep(ctx, maxSearchWait)
			continue
		case age >= 0 && age < f.SearchAge:
			if !since.IsZero() {
				m.Log.Info().Str("feed", f.Name).Int64("ageMs", age.Milliseconds()).
					Int64("searchedMs", m.BootTime().Sub(since).Milliseconds()).Msg("mirror: newer copy was found")
			}
			since, answered = time.Time{}, true
			wait.Sleep(ctx, min(f.SearchAge-age, maxSearchWait))
			continue
		case since.IsZero():
			since, turn = m.BootTime(), readTurn{}
			m.Log.Info().Str("feed", f.Name).Int64("ageMs", age.Milliseconds()).Msg("mirror: searching for a newer copy")
		}
		isTurn := turn.next(len(m.otherMembers())+1, m.BootTime().Sub(since))
		if (!answered || isTurn) && !reading.Swap(true) {
			reads.Go(func() {
				defer reading.Store(false)
				m.searchPlatform(ctx, f)
			})
		}
		answered = m.searchRound(ctx, f)
		if age := f.age(); age < 0 || age >= f.SearchAge {
			sleep(ctx, searchPause)
		}
	}
}

// readTurn spreads the reads of the platform over the processes and the rounds of their searches. A process reads in one round, drawn
// at random, of each span: independent draws in each round would at times keep the few processes that reach the platform from it.
type readTurn struct {
	later bool // the span began after firstReadTime
	left  int  // rounds of the span to come
	read  int  // value of left in the round of the read
}

// next reports whether the process reads the platform in this round of a search that has taken some time.
func (t *readTurn) next(processes int, searched time.Duration) bool {
	if later := searched >= firstReadTime; t.left == 0 || later != t.later {
		readers := firstReaders
		if later {
			readers = laterReaders
		}
		t.later, t.left = later, (processes+readers-1)/readers
		t.read = 1 + rand.N(t.left)
	}
	t.left--
	return t.left+1 == t.read
}

// searchPlatform reads the platform for a newer copy.
func (m *Mirror) searchPlatform(ctx context.Context, f *feed) {
	m.search.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := m.BootTime()
	c, err := m.Platform.Snapshot(ctx, f.Prefix)
	if err != nil {
		m.Log.Debug().Str("feed", f.Name).Err(err).Msg("mirror: platform did not answer a search")
		return
	}
	f.consult(ctx, c.Version)
	f.offer(copied{Change: c, full: true, confirmedAt: sent, from: platformName})
}

// searchRound asks one process of the own availability zone, one of the region and one of any other. It ends once the copy is new
// enough. It reports whether a process answered.
func (m *Mirror) searchRound(ctx context.Context, f *feed) bool {
	m.search.rounds.Add(1)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if f.isDoubted() {
		heard, _ := m.askInDoubt(ctx, f, cancel)
		return heard > 0
	}
	heard, _ := m.askEach(ctx, f, m.selectAsked(m.otherMembers()), cancel)
	return heard > 0
}

// askEach asks processes for their copies, and ends the round once the copy is new enough. It returns how many answered, and those that do
// not run.
func (m *Mirror) askEach(ctx context.Context, f *feed, asked []Member, end func()) (heard int, absent []units.ProcessName) {
	var mu sync.Mutex
	var running conc.WaitGroup
	for _, other := range asked {
		running.Go(func() {
			err := m.askOther(ctx, f, other)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				heard++
				if age := f.age(); age >= 0 && age < f.SearchAge {
					end()
				}
			case errors.Is(err, syscall.ECONNREFUSED):
				absent = append(absent, other.Name)
			}
		})
	}
	running.Wait()
	return heard, absent
}

// otherMembers returns the processes that are not known to be gone, without this one.
func (m *Mirror) otherMembers() []Member {
	return slices.DeleteFunc(slices.Clone(m.Present()), func(o Member) bool { return o.Name == m.Name })
}

// selectAsked selects up to three processes at random, the nearest first: of the own availability zone, of the own region and of all.
func (m *Mirror) selectAsked(others []Member) []Member {
	others = slices.Clone(others)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	near := []func(o Member) bool{
		func(o Member) bool { return o.Place == m.Place && o.Region == m.Region },
		func(o Member) bool { return o.Region == m.Region },
		func(o Member) bool { return o.Region != m.Region },
	}
	var selected []Member
	for _, isNear := range near {
		i := slices.IndexFunc(others, isNear)
		if i < 0 {
			i = 0 // any other in its place
		}
		if len(others) == 0 {
			break
		}
		selected = append(selected, others[i])
		others = slices.Delete(others, i, i+1)
	}
	return selected
}

// askOther asks a process for its copy and takes it if it is newer or was confirmed later.
func (m *Mirror) askOther(ctx context.Context, f *feed, other Member) error {
	seen := wire.SeenVersion{Prefix: f.Prefix, Version: int64(f.currentVersion())}
	if f.isDoubted() {
		seen.Version = 0 // all objects, as one that stays from an earlier era is newer than its version says
	}
	body, err := cbor.Marshal(wire.Frame{Subscribe: &wire.Subscribe{Seen: []wire.SeenVersion{seen}}})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+other.Address+askPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(keyHeader, m.Key)
	sent := m.BootTime()
	response, err := m.search.client.Do(request)
	if err != nil {
		return fmt.Errorf("ask process %s: %w", other.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("ask process %s: status %d: %w", other.Name, response.StatusCode, errNoCopy)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxFrameBytes))
	if err != nil {
		return fmt.Errorf("ask process %s: %w", other.Name, err)
	}
	var answer wire.Frame
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("ask process %s: %w", other.Name, err)
	}
	if answer.Objects == nil || len(answer.Objects.Copies) != 1 || len(answer.Objects.AgesMS) != 1 {
		return fmt.Errorf("ask process %s: %w", other.Name, errNoCopy)
	}
	if err := unpackAll(answer.Objects); err != nil {
		return fmt.Errorf("ask process %s: %w", other.Name, err)
	}
	m.search.answers.Add(1)
	age, confirmedAt := answer.Objects.AgesMS[0], time.Time{}
	if age >= 0 {
		confirmedAt = sent.Add(-time.Duration(age) * time.Millisecond)
	}
	c := copyOf(&answer.Objects.Copies[0], confirmedAt, other.Name)
	f.adopt(c)
	f.offer(c)
	return nil
}

// answer answers a process that asks for a copy with the version, the age and what is newer than its own copy.
func (m *Mirror) answer(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var request wire.Frame
	if err != nil || cbor.Unmarshal(data, &request) != nil || request.Subscribe == nil || len(request.Subscribe.Seen) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	seen := request.Subscribe.Seen[0]
	i := slices.IndexFunc(m.feeds, func(f *feed) bool { return f.Prefix == seen.Prefix })
	if i < 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	f, from := m.feeds[i], units.Version(seen.Version)
	ages := m.agesFor([]string{f.Prefix}) // read first, so that it is not that of a later state
	c, full := f.since(from)
	entry := f.entrySince(from, c, full, f.outageState())
	body, err := cbor.Marshal(wire.Frame{Objects: &wire.Objects{Copies: []wire.ObjectCopy{entry}, AgesMS: ages}})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body) // a failed write fails the read at the other end
}

// offer takes a copy that was asked for if it holds what is not known here, and its confirmation in any case.
func (f *feed) offer(c copied) {
	f.mu.Lock()
	if f.adds(c) {
		f.mu.Unlock()
		f.accept(c)
		return
	}
	tell := c.Version != 0 && f.confirm(c.confirmedAt)
	f.mu.Unlock()
	if tell {
		f.mirror.notifySubscribers()
	}
}

// adds reports whether a copy holds what is not known here. A newer version without a change is not taken over: the source would
// count as behind. The lock must be held.
func (f *feed) adds(c copied) bool {
	switch {
	case c.Version <= f.version:
		return false
	case f.version == 0, c.Version.Era() != f.version.Era():
		return true
	case !c.full:
		return len(c.Objects)+len(c.Deleted) > 0
	case len(c.Objects) != len(f.objects):
		return true
	}
	for _, o := range c.Objects {
		if f.objects[o.Key].Version != o.Version {
			return true
		}
	}
	return false
}
