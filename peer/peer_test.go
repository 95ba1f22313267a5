package peer

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.FixedCourses(m, 0))
}

// noFolder is a configuration that never changes.
type noFolder struct{}

func (noFolder) Revision() units.Revision { return 0 }
func (noFolder) Folder() wire.Folder      { return wire.Folder{} }
func (noFolder) Offer(wire.Folder)        {}

func newTestLink() *Link {
	m, _ := New(Options{Name: "a", Place: "za", Clock: time.Now, Log: zerolog.Nop(), Folder: noFolder{}})
	return newLinkWithout(m)
}

// newLinkWithout returns a link that has no connection.
func newLinkWithout(m *Mesh) *Link {
	return &Link{
		mesh: m, out: make(chan wire.Frame, 4096), done: make(chan struct{}),
		pending: map[uint64]*pending{}, serving: map[uint64]*serving{},
	}
}

// TestAnswersArriveInOrder delivers the frames of several calls delayed, reordered and duplicated, with late frames
// of a canceled call between them. Each call reads its own chunks, in order and once.
func TestAnswersArriveInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newTestLink()
		calls := rapid.IntRange(1, 4).Draw(rt, "calls")
		length := rapid.IntRange(0, 60).Draw(rt, "length")
		var frames []wire.Frame
		var waiting []*pending
		for range calls {
			p := l.register()
			waiting = append(waiting, p)
			frames = append(frames, wire.Frame{CallID: p.id, Answer: &wire.Answer{Status: 200, Streams: true}})
			for i := range length {
				frames = append(frames, wire.Frame{CallID: p.id, Chunk: &wire.Chunk{
					Sequence: int64(i), Index: int64(i), Data: fmt.Appendf(nil, "%d/%d", p.id, i), Done: i == length-1,
				}})
			}
		}
		late := l.register()
		frames = append(frames, wire.Frame{CallID: late.id, Answer: &wire.Answer{Status: 200}})
		late.cancel("test")
		duplicates := rapid.SliceOfN(rapid.IntRange(0, len(frames)-1), 0, 20).Draw(rt, "duplicates")
		for _, i := range duplicates {
			frames = append(frames, frames[i])
		}
		for _, i := range rapid.Permutation(indexes(len(frames))).Draw(rt, "order") {
			l.take(frames[i])
		}
		for _, p := range waiting {
			head, err := p.head(context.Background())
			assert.NilError(rt, err)
			assert.Equal(rt, head.Status, int64(200))
			for i := range length {
				c, err := p.chunk(context.Background())
				assert.NilError(rt, err)
				assert.Equal(rt, string(c.Data), fmt.Sprintf("%d/%d", p.id, i))
			}
		}
		assert.Equal(rt, l.mesh.Traffic.Dropped.Load(), int64(len(duplicates)+1), "duplicates and the late answer are dropped")
	})
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestCallIDsAreNeverReused registers and forgets calls.
func TestCallIDsAreNeverReused(t *testing.T) {
	l := newTestLink()
	seen := map[uint64]bool{}
	for range 1000 {
		p := l.register()
		assert.Assert(t, !seen[p.id])
		seen[p.id] = true
		l.forget(p.id)
	}
}

// TestTablesConverge passes changes between tables in any order; in the end all hold the largest versions.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := time.Now
		tables := []*Table{NewTable(clock), NewTable(clock), NewTable(clock)}
		want := map[string]int64{}
		writes := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) [3]int {
			return [3]int{
				rapid.IntRange(0, 2).Draw(rt, "table"), rapid.IntRange(0, 5).Draw(rt, "key"),
				rapid.IntRange(1, 50).Draw(rt, "version"),
			}
		}), 1, 40).Draw(rt, "writes")
		links := []*Link{{}, {}, {}}
		stamps := map[[2]int]uint64{}
		pass := func(from, to int) {
			entries, upTo := tables[from].changes(links[to], stamps[[2]int{from, to}], true)
			stamps[[2]int{from, to}] = upTo
			for _, e := range entries {
				tables[to].merge(links[from], e, clock())
			}
		}
		for _, w := range writes {
			key := fmt.Sprintf("key-%d", w[1])
			assert.NilError(rt, tables[w[0]].Put(key, int64(w[2]), time.Hour, true, w[2]))
			want[key] = max(want[key], int64(w[2]))
			pass(w[0], (w[0]+1)%3)
		}
		for range 3 {
			for from := range 3 {
				pass(from, (from+1)%3)
			}
		}
		for i, table := range tables {
			for key, version := range want {
				v, ok := table.Get(key)
				assert.Assert(rt, ok, "table %d lacks %s", i, key)
				assert.Equal(rt, v.Version, version, "table %d key %s", i, key)
			}
		}
	})
}

func TestNeighboursAreBounded(t *testing.T) {
	var contacts []Contact
	for place := range 6 {
		for i := range 160 {
			name := units.ProcessName(fmt.Sprintf("p%d-%d", place, i))
			contacts = append(contacts, Contact{
				Name: name, Place: units.PlaceName(fmt.Sprintf("z%d", place)), Address: string(name),
			})
		}
	}
	linked := map[units.ProcessName]int{}
	for _, self := range contacts {
		chosen := Neighbours(self, slices.Clone(contacts))
		assert.Equal(t, len(chosen), ringNeighbours+5*remoteNeighbours)
		for _, c := range chosen {
			linked[c.Name]++
			linked[self.Name]++
		}
	}
	worst := 0
	for _, n := range linked {
		worst = max(worst, n)
	}
	assert.Assert(t, worst < 4*(ringNeighbours+5*remoteNeighbours), "a process has %d links", worst)
}

func FuzzFrame(f *testing.F) {
	seed, _ := encoder.Marshal(wire.Frame{CallID: 7, Call: &wire.Call{RequestID: "r", Headers: []wire.Header{{Name: "a"}}}})
	f.Add(seed)
	beat, _ := encoder.Marshal(wire.Frame{Beat: &wire.Beat{Sequence: 1, Entries: []wire.Entry{{Key: "k", LifeMS: 9}}}})
	f.Add(beat)
	f.Add([]byte{0xa1, 0x61, 0x6b, 0xa1, 0x61, 0x73, 0x3b})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var frame wire.Frame
		if decoder.Unmarshal(data, &frame) != nil {
			return
		}
		l := newTestLink()
		p := l.register()
		if frame.Call != nil {
			return // would run a handler
		}
		l.take(frame)
		frame.CallID = p.id
		l.take(frame)
	})
}
