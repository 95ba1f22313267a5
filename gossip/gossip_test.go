package gossip_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/roster"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// process is a gossip process with a roster of one engine.
type process struct {
	*gossip.Gossip

	roster    *roster.Roster
	newer     []int64
	suspended atomic.Int64 // nanoseconds for which the VM was suspended, which only its clock BootTime counts
}

func (p *process) bootTime() time.Time {
	return time.Now().Add(time.Duration(p.suspended.Load()))
}

// runProcesses runs a test with three processes, two in region one and one in region two, in virtual time. They tell all
// of all work if there are at most smallFleet.
func runProcesses(t *testing.T, smallFleet int, test func(network *fakes.PacketNetwork, all []*process)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewPacketNetwork()
		names := []units.ProcessName{"a", "b", "c"}
		addresses := []string{"10.0.0.1:9", "10.0.0.2:9", "10.0.0.3:9"}
		places := []units.PlaceName{"a", "a", "b"}
		regions := []units.RegionName{"one", "one", "two"}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var all []*process
		for i, name := range names {
			p := &process{roster: roster.New(zerolog.Nop())}
			p.roster.Replace([]pick.Entry{
				{ID: "e", StartedAt: 5, Service: "llm", Role: engine.RolePrefill, Place: "a", Region: "one"},
			}, 1)
			conn, err := network.Listen(addresses[i])
			assert.NilError(t, err)
			p.Gossip = gossip.New(gossip.Options{
				Name: name, Place: places[i], Region: regions[i], Key: "key", SmallFleet: smallFleet, Conn: conn,
				Sink: roster.NewRemoteWork(p.roster, time.Now), Clock: time.Now, BootTime: p.bootTime,
				Log: zerolog.Nop(),
			})
			p.OnNewerVersion(func(_ string, version int64) { p.newer = append(p.newer, version) })
			for j := range names {
				p.UpdatePeers([]gossip.Peer{
					{Name: names[j], Address: addresses[j], Place: places[j], Region: regions[j]},
				}, nil)
			}
			all = append(all, p)
			running.Go(func() { p.Run(ctx) })
		}
		test(network, all)
		cancel()
		running.Wait()
	})
}

func (p *process) engine() *pick.Engine {
	return p.roster.Of("llm")[0]
}

func (p *process) load() pick.Load {
	return p.engine().Load(time.Now())
}

// TestWorkOfOthersCountsUntilItEnds guards against engine loads that ignore other processes, or that count work of
// other processes forever because the message that ends it was lost.
func TestWorkOfOthersCountsUntilItEnds(t *testing.T) {
	runProcesses(t, gossip.SmallFleet, func(network *fakes.PacketNetwork, all []*process) {
		load := wire.LoadMessage{
			Engine: "e", Born: 5, Tokens: 9000, CostUS: 200000, Parts: []string{"shared"}, KVTokens: 9000,
		}
		work := all[0].AnnounceStart(load, all[0].engine())
		synctest.Wait()
		for _, p := range all[1:] {
			assert.Equal(t, p.load().Pending, units.Tokens(9000))
			assert.Equal(t, p.load().Running, 1)
		}
		all[0].AnnouncePrefilled(work)
		synctest.Wait()
		prompt := []pick.Part{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 10}}
		assert.Equal(t, all[1].load().Pending, units.Tokens(0))
		assert.Equal(t, all[1].roster.Of("llm")[0].CachedTokens(prompt, time.Now()), units.Tokens(500))
		all[0].AnnounceEnd(work, false, 0)
		synctest.Wait()
		assert.Equal(t, all[1].load().Running, 0)

		// Work whose end is never reported counts for some seconds only.
		all[0].AnnounceStart(load, all[0].engine())
		synctest.Wait()
		network.SetLoss(func(_, _ string) bool { return true })
		time.Sleep(7 * time.Second)
		network.SetLoss(func(_, _ string) bool { return false })
		time.Sleep(2 * time.Second)
		all[2].AnnounceStart(load, all[2].engine())
		synctest.Wait()
		assert.Equal(t, all[1].load().Running, 1)
	})
}

// TestWorkOfAnotherIncarnationDoesNotCount guards against counting work that a replaced engine had.
func TestWorkOfAnotherIncarnationDoesNotCount(t *testing.T) {
	runProcesses(t, gossip.SmallFleet, func(_ *fakes.PacketNetwork, all []*process) {
		all[0].AnnounceStart(wire.LoadMessage{Engine: "e", Born: 4, Tokens: 9000}, all[0].engine())
		synctest.Wait()
		assert.Equal(t, all[1].load().Running, 0)
	})
}

// TestNewerVersionsAreAnnounced guards against callbacks that are missing for a newer version, or called for a known
// one.
func TestNewerVersionsAreAnnounced(t *testing.T) {
	runProcesses(t, gossip.SmallFleet, func(_ *fakes.PacketNetwork, all []*process) {
		all[0].AnnounceVersion("config/", 7, []units.ProcessName{"a", "b", "c"})
		synctest.Wait()
		assert.Assert(t, slices.Contains(all[1].newer, 7)) // a heartbeat may announce it again
		all[1].AnnounceVersion("config/", 7, []units.ProcessName{"a", "b", "c"})
		synctest.Wait()
		assert.Equal(t, len(all[0].newer), 0)
	})
}

// TestSilentProcessesAreNotLive guards against work messages to processes that are dead.
func TestSilentProcessesAreNotLive(t *testing.T) {
	runProcesses(t, gossip.SmallFleet, func(network *fakes.PacketNetwork, all []*process) {
		time.Sleep(2 * time.Second)
		assert.Equal(t, all[1].LiveProcesses(), 3)
		network.SetLoss(func(from, _ string) bool { return from == "10.0.0.1:9" })
		time.Sleep(4 * time.Second)
		assert.Equal(t, all[1].LiveProcesses(), 2)
		assert.Equal(t, all[1].RegisteredProcesses(), 3)
	})
}

// TestKeeperThatIsGoneIsNotAsked guards against requests that wait for the load of an engine whose keeper is gone.
func TestKeeperThatIsGoneIsNotAsked(t *testing.T) {
	runProcesses(t, 1, func(network *fakes.PacketNetwork, all []*process) {
		time.Sleep(2 * time.Second)
		gone := "10.0.0.2:9" // with the first process the only one of the engine's zone
		network.SetLoss(func(from, to string) bool { return from == gone || to == gone })
		time.Sleep(4 * time.Second)
		assert.Assert(t, all[2].IsGone("b"))
		for i := range 20 {
			e := pick.NewEngine(pick.Entry{ID: units.EngineName(fmt.Sprint("e", i)), Service: "llm", Place: "a", Region: "one"})
			began := time.Now()
			all[2].Ask(context.Background(), []*pick.Engine{e}, prompt)
			assert.Equal(t, time.Since(began), time.Duration(0))
		}
	})
}

// prompt has two shared parts and one of its own.
var prompt = []pick.Part{{ID: "all", Tokens: 100}, {ID: "shared", Tokens: 500}, {ID: "own", Tokens: 10}}

// TestLoadIsAskedFor checks that in a large fleet each process learns the load of an engine from its keeper, whoever
// sent the work, and that a keeper that does not answer is replaced.
func TestLoadIsAskedFor(t *testing.T) {
	tests := []struct {
		name   string
		silent string // address of a process that is cut off
	}{
		{name: "all answer"},
		{name: "first process is cut off", silent: "10.0.0.1:9"},
		{name: "second process is cut off", silent: "10.0.0.2:9"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runProcesses(t, 1, func(network *fakes.PacketNetwork, all []*process) {
				network.SetLoss(func(from, to string) bool { return from == tt.silent || to == tt.silent })
				ask := func(p *process) { p.Ask(context.Background(), []*pick.Engine{p.engine()}, prompt) }
				for range 2 { // a process that does not answer is suspected after two requests
					for _, p := range all {
						ask(p)
					}
				}
				sender := all[2]
				load := wire.LoadMessage{
					Engine: "e", Born: 5, Tokens: 9000, CostUS: 200000, Parts: []string{"all", "shared"}, KVTokens: 9000,
				}
				work := sender.AnnounceStart(load, sender.engine())
				synctest.Wait()
				addresses := []string{"10.0.0.1:9", "10.0.0.2:9", "10.0.0.3:9"}
				for i, p := range all {
					if addresses[i] == tt.silent || p == sender {
						continue
					}
					ask(p)
					assert.Equal(t, p.load().Pending, units.Tokens(9000))
					assert.Equal(t, p.load().Running, 1)
				}
				sender.AnnounceEnd(work, true, 0)
				synctest.Wait()
				for i, p := range all {
					if addresses[i] == tt.silent {
						continue
					}
					ask(p)
					assert.Equal(t, p.load().Running, 0)
					assert.Equal(t, p.engine().CachedTokens(prompt, time.Now()), units.Tokens(600))
				}
			})
		})
	}
}

// TestMessagesOfALargeFleetAreFew checks that the messages of one request do not grow with the number of processes, and that those
// by which processes watch each other at rest are few.
func TestMessagesOfALargeFleetAreFew(t *testing.T) {
	runProcesses(t, 1, func(network *fakes.PacketNetwork, all []*process) {
		var sent atomic.Int64
		network.SetLoss(func(_, _ string) bool {
			sent.Add(1)
			return false
		})
		p := all[2] // keeps no engine itself
		p.Ask(context.Background(), []*pick.Engine{p.engine()}, prompt)
		work := p.AnnounceStart(wire.LoadMessage{Engine: "e", Born: 5, Tokens: 9000}, p.engine())
		p.AnnounceEnd(work, true, 0)
		p.AnnounceUnavailable(p.engine(), time.Second)
		synctest.Wait()
		assert.Equal(t, sent.Load(), int64(5))
		const seconds, perProcessAndSecond = 10, 8 // to two others twice a second, and the answers to theirs
		time.Sleep(seconds * time.Second)
		assert.Assert(t, sent.Load() <= int64(5+len(all)*seconds*perProcessAndSecond), "%d datagrams", sent.Load())
	})
}

// TestBadDatagramsAreDropped checks that datagrams that are malformed, have a wrong key or another version, or come from
// an unknown process change nothing and are counted.
func TestBadDatagramsAreDropped(t *testing.T) {
	runProcesses(t, gossip.SmallFleet, func(network *fakes.PacketNetwork, all []*process) {
		target, err := net.ResolveUDPAddr("udp4", "10.0.0.2:9")
		assert.NilError(t, err)
		var captured []byte
		tap, err := network.Listen("10.0.0.9:9")
		assert.NilError(t, err)
		all[0].UpdatePeers([]gossip.Peer{{Name: "tap", Address: "10.0.0.9:9", Region: "one"}}, nil)
		all[0].AnnounceStart(wire.LoadMessage{Engine: "e", Born: 5, Tokens: 9000, Parts: []string{strings.Repeat("x", 200)}}, all[0].engine())
		for captured == nil {
			buffer := make([]byte, 2000)
			n, _, err := tap.ReadFrom(buffer)
			assert.NilError(t, err)
			if n > 200 { // not a heartbeat
				captured = buffer[:n]
			}
		}
		synctest.Wait()
		before := all[1].load()
		flip := func(i int) []byte {
			changed := slices.Clone(captured)
			changed[i] ^= 1
			return changed
		}
		bad := [][]byte{
			{}, {1}, []byte("GET / HTTP/1.1"), make([]byte, 1201), make([]byte, 60000),
			flip(0), flip(1), flip(len(captured) - 1), captured[:len(captured)-1], captured[:9],
		}
		for _, message := range bad {
			dropped := all[1].Dropped()
			_, err := tap.WriteTo(message, target)
			assert.NilError(t, err)
			synctest.Wait()
			assert.Equal(t, all[1].Dropped(), dropped+1)
		}
		dropped := all[2].Dropped()
		all[2].UpdatePeers(nil, []units.ProcessName{"a"})
		all[0].AnnounceStart(wire.LoadMessage{Engine: "e", Born: 5, Tokens: 1}, all[0].engine())
		synctest.Wait()
		assert.Assert(t, all[2].Dropped() > dropped)
		assert.Equal(t, before.Running+1, all[1].load().Running)
	})
}

// TestImpossibleLoadsAreDropped checks that a message with an impossible value is dropped whole.
func TestImpossibleLoadsAreDropped(t *testing.T) {
	tests := []struct {
		name string
		load wire.LoadMessage
	}{
		{name: "negative tokens", load: wire.LoadMessage{Tokens: -1}},
		{name: "too many tokens", load: wire.LoadMessage{Tokens: 1 << 40}},
		{name: "negative cost", load: wire.LoadMessage{CostUS: -1}},
		{name: "cost of a day", load: wire.LoadMessage{CostUS: (24 * time.Hour).Microseconds()}},
		{name: "negative reservation", load: wire.LoadMessage{KVTokens: -1}},
		{name: "negative count", load: wire.LoadMessage{Busy: []wire.EngineLoad{{Engine: "e", Born: 5, Running: -1}}}},
		{name: "negative wait", load: wire.LoadMessage{Busy: []wire.EngineLoad{{WaitsUS: []int64{0, -1}}}}},
		{name: "impossible allowance", load: wire.LoadMessage{Busy: []wire.EngineLoad{{Allowance: -2}}}},
		{name: "endless exclusion", load: wire.LoadMessage{Busy: []wire.EngineLoad{{ExcludedUS: 1 << 60}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runProcesses(t, gossip.SmallFleet, func(_ *fakes.PacketNetwork, all []*process) {
				tt.load.Engine, tt.load.Born = "e", 5
				all[0].AnnounceStart(tt.load, all[0].engine())
				synctest.Wait()
				assert.Equal(t, all[1].load().Running, 0)
				assert.Equal(t, all[1].Dropped(), int64(1))
			})
		})
	}
}
