package gossip_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/gossip"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	suspendedTime = 10 * time.Second
	hearingTime   = 2 * time.Second
)

// TestDatagramsFromBeforeASuspensionAreDropped checks that a process that was suspended neither counts work nor leaves out
// engines by datagrams that waited in the buffer of its socket, and that it takes later ones.
func TestDatagramsFromBeforeASuspensionAreDropped(t *testing.T) {
	runProcesses(t, gossip.SmallFleet, func(network *fakes.PacketNetwork, all []*process) {
		load := wire.LoadMessage{Engine: "e", Born: 5, Tokens: 9000, CostUS: 200000}
		time.Sleep(2 * time.Second)
		network.SetDelay(suspendedTime)
		all[0].AnnounceStart(load, all[0].engine())
		all[0].AnnounceUnavailable(all[0].engine(), time.Second)
		network.SetDelay(0)
		time.Sleep(suspendedTime - time.Millisecond)
		all[1].suspended.Add(int64(suspendedTime))
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, all[1].load().Running, 0)
		assert.Equal(t, all[1].engine().ExcludedFor(time.Now()), time.Duration(0))
		assert.Equal(t, all[2].load().Running, 1) // was not suspended

		time.Sleep(time.Second)
		all[0].AnnounceStart(load, all[0].engine())
		synctest.Wait()
		assert.Equal(t, all[1].load().Running, 1)
	})
}

// TestSuspendedProcessHearsNobody checks that a process that was suspended does not count what it heard before, nor what waited
// in the buffer of its socket, as heard of late.
func TestSuspendedProcessHearsNobody(t *testing.T) {
	runProcesses(t, gossip.SmallFleet, func(network *fakes.PacketNetwork, all []*process) {
		time.Sleep(6500 * time.Millisecond)
		assert.Assert(t, all[1].HearsAllPlaces(hearingTime))
		network.SetDelay(suspendedTime)
		for _, p := range all {
			p.AnnounceVersion("config/", 7, []units.ProcessName{"a", "b", "c"})
		}
		network.SetLoss(func(_, _ string) bool { return true })
		all[1].suspended.Add(int64(suspendedTime))
		assert.Assert(t, !all[1].HearsAllPlaces(hearingTime))
		time.Sleep(suspendedTime - time.Millisecond)
		all[1].suspended.Add(int64(suspendedTime))
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		assert.Assert(t, !all[1].HearsAllPlaces(hearingTime))
		network.SetDelay(0)
		network.SetLoss(func(_, _ string) bool { return false })
		time.Sleep(4 * time.Second)
		assert.Assert(t, all[1].HearsAllPlaces(hearingTime+time.Second))
	})
}
