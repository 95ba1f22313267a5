package gossip_test

import (
	"context"
	"slices"
	"sync"
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

	roster *roster.Roster
	newer  []int64
}

// runProcesses runs a test with three processes, two in region one and one in region two, in virtual time.
func runProcesses(t *testing.T, test func(network *fakes.PacketNetwork, all []*process)) {
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewPacketNetwork()
		names := []units.ProcessName{"a", "b", "c"}
		addresses := []string{"10.0.0.1:9", "10.0.0.2:9", "10.0.0.3:9"}
		regions := []units.RegionName{"one", "one", "two"}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var all []*process
		for i, name := range names {
			p := &process{roster: roster.New(zerolog.Nop())}
			p.roster.Replace([]pick.Entry{{ID: "e", StartedAt: 5, Service: "llm", Role: engine.RolePrefill, Region: "one"}}, 1)
			conn, err := network.Listen(addresses[i])
			assert.NilError(t, err)
			p.Gossip = gossip.New(gossip.Options{
				Name: name, Region: regions[i], Conn: conn,
				Sink: roster.NewRemoteWork(p.roster, time.Now), Clock: time.Now, Log: zerolog.Nop(),
			})
			p.OnNewerVersion(func(_ string, version int64) { p.newer = append(p.newer, version) })
			for j := range names {
				p.SetPeer(names[j], addresses[j], regions[j])
			}
			all = append(all, p)
			running.Go(func() { p.Run(ctx) })
		}
		test(network, all)
		cancel()
		running.Wait()
	})
}

func (p *process) load() pick.Load {
	return p.roster.Of("llm")[0].Load(time.Now())
}

// TestWorkOfOthersCountsUntilItEnds guards against engine loads that ignore other processes, or that count work of
// other processes forever because the message that ends it was lost.
func TestWorkOfOthersCountsUntilItEnds(t *testing.T) {
	runProcesses(t, func(network *fakes.PacketNetwork, all []*process) {
		load := wire.LoadMessage{
			Engine: "e", Born: 5, Tokens: 9000, CostUS: 200000, Parts: []string{"shared"}, KVTokens: 9000,
		}
		work := all[0].AnnounceStart(load, "one")
		synctest.Wait()
		for _, p := range all[1:] {
			assert.Equal(t, p.load().Pending, units.Tokens(9000))
			assert.Equal(t, p.load().Running, 1)
		}
		all[0].AnnouncePrefilled(work, "one")
		synctest.Wait()
		prompt := []pick.Part{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 10}}
		assert.Equal(t, all[1].load().Pending, units.Tokens(0))
		assert.Equal(t, all[1].roster.Of("llm")[0].CachedTokens(prompt, time.Now()), units.Tokens(500))
		all[0].AnnounceEnd(work, "one")
		synctest.Wait()
		assert.Equal(t, all[1].load().Running, 0)

		// Work whose end is never reported counts for some seconds only.
		all[0].AnnounceStart(load, "one")
		synctest.Wait()
		network.SetLoss(func(_, _ string) bool { return true })
		time.Sleep(7 * time.Second)
		network.SetLoss(func(_, _ string) bool { return false })
		time.Sleep(2 * time.Second)
		all[2].AnnounceStart(load, "one")
		synctest.Wait()
		assert.Equal(t, all[1].load().Running, 1)
	})
}

// TestWorkOfAnotherIncarnationDoesNotCount guards against counting work that a replaced engine had.
func TestWorkOfAnotherIncarnationDoesNotCount(t *testing.T) {
	runProcesses(t, func(_ *fakes.PacketNetwork, all []*process) {
		all[0].AnnounceStart(wire.LoadMessage{Engine: "e", Born: 4, Tokens: 9000}, "one")
		synctest.Wait()
		assert.Equal(t, all[1].load().Running, 0)
	})
}

// TestNewerVersionsAreAnnounced guards against callbacks that are missing for a newer version, or called for a known
// one.
func TestNewerVersionsAreAnnounced(t *testing.T) {
	runProcesses(t, func(_ *fakes.PacketNetwork, all []*process) {
		all[0].AnnounceVersion("config/", 7, []units.ProcessName{"a", "b", "c"})
		synctest.Wait()
		assert.Assert(t, slices.Contains(all[1].newer, 7)) // a heartbeat may announce it again
		all[1].AnnounceVersion("config/", 7, []units.ProcessName{"a", "b", "c"})
		synctest.Wait()
		assert.Equal(t, len(all[0].newer), 0)
	})
}

// TestSilentProcessesLoseTheirRank guards against a dead process keeping rank 0, so that no process reports the
// region's loads.
func TestSilentProcessesLoseTheirRank(t *testing.T) {
	runProcesses(t, func(network *fakes.PacketNetwork, all []*process) {
		time.Sleep(2 * time.Second)
		assert.Equal(t, all[1].Rank(), 1)
		assert.Equal(t, all[2].Rank(), 0)
		assert.Equal(t, all[1].LiveProcesses(), 3)
		network.SetLoss(func(from, _ string) bool { return from == "10.0.0.1:9" })
		time.Sleep(4 * time.Second)
		assert.Equal(t, all[1].Rank(), 0)
		assert.Equal(t, all[1].LiveProcesses(), 2)
		assert.Equal(t, all[1].KnownProcesses(), 3)
	})
}
