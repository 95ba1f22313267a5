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
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

// fixedConfig is a configuration that never changes.
type fixedConfig struct{}

func (fixedConfig) Revision() units.Revision  { return 0 }
func (fixedConfig) Heard(units.Revision)      {}
func (fixedConfig) Folder() wire.ConfigFolder { return wire.ConfigFolder{} }
func (fixedConfig) Offer(wire.ConfigFolder)   {}

func newTestLink() *Link {
	m, _ := New(Options{Name: "a", Place: "za", Clock: time.Now, Log: zerolog.Nop(), Config: fixedConfig{}})
	return newUnconnectedLink(m)
}

// newUnconnectedLink returns a link that has no connection.
func newUnconnectedLink(m *Mesh) *Link {
	return &Link{
		mesh: m, sendQueue: make(chan wire.Frame, 4096), done: make(chan struct{}),
		pending: map[uint64]*pendingCall{}, served: map[uint64]*servedCall{},
	}
}

// recordedConfig records the revisions of peers.
type recordedConfig struct {
	fixedConfig

	heard []units.Revision
}

func (c *recordedConfig) Heard(r units.Revision) { c.heard = append(c.heard, r) }

// TestHeartbeatsTellTheRevisionOfThePeer checks that the configuration learns of a peer's revision though the files do not arrive.
func TestHeartbeatsTellTheRevisionOfThePeer(t *testing.T) {
	c := &recordedConfig{}
	m, _ := New(Options{Name: "a", Place: "za", Clock: time.Now, Log: zerolog.Nop(), Config: c})
	newUnconnectedLink(m).handleHeartbeat(wire.Heartbeat{Sequence: 1, Revision: 7})
	assert.DeepEqual(t, c.heard, []units.Revision{7})
}

// TestAnswersArriveInOrder guards against chunks that are lost, repeated, out of order or passed to another call. It
// delivers the frames of several calls and of a canceled one in random order, with duplicates.
func TestAnswersArriveInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newTestLink()
		calls := rapid.IntRange(1, 4).Draw(rt, "calls")
		length := rapid.IntRange(0, 60).Draw(rt, "length")
		var frames []wire.Frame
		var waiting []*pendingCall
		for range calls {
			p := l.startCall()
			waiting = append(waiting, p)
			frames = append(frames, wire.Frame{CallID: p.id, Answer: &wire.Answer{Status: 200, Streams: true}})
			for i := range length {
				frames = append(frames, wire.Frame{CallID: p.id, Chunk: &wire.Chunk{
					Sequence: int64(i), Index: int64(i), Data: fmt.Appendf(nil, "%d/%d", p.id, i), Done: i == length-1,
				}})
			}
		}
		late := l.startCall()
		frames = append(frames, wire.Frame{CallID: late.id, Answer: &wire.Answer{Status: 200}})
		late.cancel("test")
		duplicates := rapid.SliceOfN(rapid.IntRange(0, len(frames)-1), 0, 20).Draw(rt, "duplicates")
		for _, i := range duplicates {
			frames = append(frames, frames[i])
		}
		for _, i := range rapid.Permutation(indexes(len(frames))).Draw(rt, "order") {
			l.handleFrame(frames[i])
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
		assert.Equal(rt, l.mesh.Traffic.Dropped.Load(), int64(len(duplicates)+1),
			"duplicates and the late answer are dropped")
	})
}

func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestCallIDsAreNeverReused guards against late frames of a removed call reaching a new call with the same id.
func TestCallIDsAreNeverReused(t *testing.T) {
	l := newTestLink()
	seen := map[uint64]bool{}
	for range 1000 {
		p := l.startCall()
		assert.Assert(t, !seen[p.id])
		seen[p.id] = true
		l.removeCall(p.id)
	}
}

// TestTablesConverge guards against changes that do not reach all tables, or lose against an older version. Three
// tables in a ring make random writes and pass on their changes.
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
		sentStamps := map[[2]int]uint64{}
		transfer := func(from, to int) {
			entries, upTo := tables[from].changes(links[to], sentStamps[[2]int{from, to}], true)
			sentStamps[[2]int{from, to}] = upTo
			for _, e := range entries {
				tables[to].merge(links[from], e, clock())
			}
		}
		for _, w := range writes {
			key := fmt.Sprintf("key-%d", w[1])
			assert.NilError(rt, tables[w[0]].Put(key, int64(w[2]), time.Hour, true, w[2]))
			want[key] = max(want[key], int64(w[2]))
			transfer(w[0], (w[0]+1)%3)
		}
		for range 3 {
			for from := range 3 {
				transfer(from, (from+1)%3)
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

// TestNeighboursAreBounded guards against a process with too many links in a large fleet.
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
		assert.Equal(t, len(chosen), localNeighbours+5*remoteNeighbours)
		for _, c := range chosen {
			linked[c.Name]++
			linked[self.Name]++
		}
	}
	worst := 0
	for _, n := range linked {
		worst = max(worst, n)
	}
	assert.Assert(t, worst < 4*(localNeighbours+5*remoteNeighbours), "a process has %d links", worst)
}

// FuzzFrame guards against panics in the handling of malformed frames.
func FuzzFrame(f *testing.F) {
	call, _ := encoder.Marshal(wire.Frame{
		CallID: 7, Call: &wire.Call{RequestID: "r", Headers: []wire.Header{{Name: "a"}}},
	})
	f.Add(call)
	heartbeat, _ := encoder.Marshal(wire.Frame{
		Heartbeat: &wire.Heartbeat{Sequence: 1, Entries: []wire.Entry{{Key: "k", LifeMS: 9}}},
	})
	f.Add(heartbeat)
	f.Add([]byte{0xa1, 0x61, 0x6b, 0xa1, 0x61, 0x73, 0x3b})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var frame wire.Frame
		if decoder.Unmarshal(data, &frame) != nil {
			return
		}
		l := newTestLink()
		p := l.startCall()
		if frame.Call != nil {
			return // would call the handler, which is nil
		}
		l.handleFrame(frame)
		frame.CallID = p.id
		l.handleFrame(frame)
	})
}
