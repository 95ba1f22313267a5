package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// doubtTime bounds a doubt if no other process answers.
	doubtTime = 2 * time.Second
	// consultTimeout bounds the questions to others before a first state is used.
	consultTimeout = 300 * time.Millisecond
	// maxAskedInDoubt bounds the processes that are asked at once while all that were asked before do not run.
	maxAskedInDoubt = 40
)

// doubt is open after a start, and after the platform's store came back from a copy, until another process has told its state: the
// copy may be older than what others know. The age of the state counts as unknown meanwhile.
type doubt struct {
	open   bool
	asks   bool      // ended only by questions to others, as a state was read from the platform
	since  time.Time // when a state was accepted, zero before
	absent map[units.ProcessName]bool
}

// consult asks other processes for their copies before a state of the platform is used for the first time, or the first one of a
// later era: the store may have come back from a copy that is older than what they know.
func (f *feed) consult(ctx context.Context, read units.Version) {
	known, m := f.currentVersion(), f.mirror
	if f.SearchAge == 0 || known != 0 && known.Era() == read.Era() || known == 0 && m.FirstStart {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, consultTimeout)
	defer cancel()
	f.openDoubt()
	heard, absent := m.askInDoubt(ctx, f, func() {})
	m.Log.Info().Str("feed", f.Name).Int("heard", heard).Int("absent", absent).Bool("settled", !f.isDoubted()).Int64("read", int64(read)).
		Int64("known", int64(f.currentVersion())).Msg("mirror: other processes were asked for a newer state than the platform's")
}

// askInDoubt asks other processes until some answer, as many that are registered may not run any more. It ends the doubt if all that
// were asked have answered or do not run, and at least one answered or none is left. It returns how many answered and how many do not run.
func (m *Mirror) askInDoubt(ctx context.Context, f *feed, end func()) (heard, absent int) {
	for count := 0; ctx.Err() == nil; count = min(max(2*count, 1), maxAskedInDoubt) {
		others := f.withoutAbsent(m.otherMembers())
		asked := m.selectConsulted(others, count)
		if len(asked) == 0 {
			if len(m.Present()) > 0 { // a list that was read has this process, once it is registered
				f.settle()
			}
			return heard, absent
		}
		answered, gone := m.askEach(ctx, f, asked, end)
		f.recordAbsent(gone)
		heard, absent = heard+answered, absent+len(gone)
		if answered+len(gone) < len(asked) {
			return heard, absent
		}
		if answered > 0 {
			f.settle()
			return heard, absent
		}
	}
	return heard, absent
}

// selectConsulted selects processes that know of changes early, others near and far, and a number of further ones at random.
func (m *Mirror) selectConsulted(others []Member, further int) []Member {
	consulted := m.selectAsked(others)
	candidates := slices.Clone(others)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, o := range append(FirstOfRegions(others), candidates[:min(further, len(candidates))]...) {
		if !slices.Contains(consulted, o) {
			consulted = append(consulted, o)
		}
	}
	return consulted
}

// openDoubt begins a doubt about a state that the platform will be read to have.
func (f *feed) openDoubt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubt = doubt{open: true, asks: true}
	if f.version != 0 {
		f.doubt.since = f.mirror.BootTime()
	}
	f.publish()
}

// adopt takes over the objects of a copy of no newer version that stay from an earlier era and that outlive those known here.
func (f *feed) adopt(c copied) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.full || f.Keep == nil || c.Version > f.version {
		return
	}
	adopted := objapi.Change{Version: f.version}
	for _, o := range c.Objects {
		if known, ok := f.objects[o.Key]; ok && o.Version.Era() < f.version.Era() && f.Keep(o, known) {
			f.objects[o.Key] = o
			adopted.Objects = append(adopted.Objects, o)
		}
	}
	if len(adopted.Objects) > 0 {
		f.Sink.Apply(adopted)
	}
}

// withoutAbsent returns the processes that were not found absent in the doubt.
func (f *feed) withoutAbsent(others []Member) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(others, func(o Member) bool { return f.doubt.absent[o.Name] })
}

// recordAbsent records processes that do not run, and thus know nothing.
func (f *feed) recordAbsent(names []units.ProcessName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doubt.absent == nil {
		f.doubt.absent = map[units.ProcessName]bool{}
	}
	for _, name := range names {
		f.doubt.absent[name] = true
	}
}

func (f *feed) isDoubted() bool {
	return f.mirror.BootTime().UnixNano() <= f.doubtedUntil.Load()
}

// settle ends the doubt.
func (f *feed) settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endDoubt()
}

// endDoubt does the same. The lock must be held.
func (f *feed) endDoubt() {
	f.doubt.open, f.doubt.absent = false, nil
	f.publish()
}
