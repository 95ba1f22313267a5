package serve

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"text/tabwriter"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fakes"
)

var capacity = flag.Bool("capacity", false, "measure the cost of control by the number of processes")

const measuredTime = 60 * time.Second

// cost is what control takes, for each process and second.
type cost struct {
	processes int
	sent      float64 // bytes
	received  float64 // bytes
	links     float64
	calls     fakes.Calls // of all processes over the measured time
	processor time.Duration
	heap      float64 // bytes for each process, stand-ins included
	entries   int
}

// TestCapacity prints the cost of control for 2 to 96 processes at rest, in two to six availability zones.
func TestCapacity(t *testing.T) {
	if !*capacity {
		t.Skip("only with -capacity")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "processes\tzones\tlinks\tentries\tsent B/s\treceived B/s\tprocessor ms/s\theap KiB\tplatform calls/s\tof them watches\t")
	for _, size := range []struct{ processes, zones int }{{2, 2}, {8, 3}, {32, 6}, {96, 6}} {
		inWorld(t, func(world *world) {
			c := measureControl(world, size.processes, size.zones)
			n := float64(c.processes)
			all := c.calls.Gets + c.calls.Lists + c.calls.Puts + c.calls.Deletes + c.calls.Watches + c.calls.VMs
			t.Logf("%+v", c.calls)
			fmt.Fprintf(w, "%d\t%d\t%.1f\t%d\t%.0f\t%.0f\t%.2f\t%.0f\t%.2f\t%.2f\t\n", c.processes, size.zones, c.links, c.entries,
				c.sent, c.received, c.processor.Seconds()*1000/n/measuredTime.Seconds(), c.heap/n/1024,
				float64(all)/measuredTime.Seconds(), float64(c.calls.Watches)/measuredTime.Seconds())
			_ = w.Flush()
		})
	}
}

func measureControl(w *world, processes, zones int) cost {
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for z := range zones {
		zone := fmt.Sprintf("z%d", z)
		w.zones(zone)
		w.engine("guide-"+zone, zone, fakes.EngineSettings{})
	}
	w.publish()
	var nodes []*node
	for i := range processes {
		nodes = append(nodes, w.launch(fmt.Sprintf("p%03d", i), fmt.Sprintf("z%d", i%zones)))
	}
	w.await("configuration is in force", inForce(nodes, 1))
	time.Sleep(measuredTime)
	c := cost{processes: processes, calls: w.store.Calls()}
	sent, received := traffic(nodes)
	cpu := processorTime()
	time.Sleep(measuredTime)
	c.processor = processorTime() - cpu
	c.calls = minus(w.store.Calls(), c.calls)
	sentAfter, receivedAfter := traffic(nodes)
	perNode := float64(processes) * measuredTime.Seconds()
	c.sent = float64(sentAfter-sent) / perNode
	c.received = float64(receivedAfter-received) / perNode
	var after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&after)
	c.heap = float64(after.HeapAlloc) - float64(before.HeapAlloc)
	for _, n := range nodes {
		c.links += float64(len(n.mesh.Links())) / float64(processes)
	}
	c.entries = nodes[0].mesh.Table().Len()
	return c
}

func traffic(nodes []*node) (sent, received int64) {
	for _, n := range nodes {
		sent += n.mesh.Traffic.ControlSent.Load()
		received += n.mesh.Traffic.ControlReceived.Load()
	}
	return sent, received
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func minus(a, b fakes.Calls) fakes.Calls {
	return fakes.Calls{
		Gets: a.Gets - b.Gets, Lists: a.Lists - b.Lists, Puts: a.Puts - b.Puts, Deletes: a.Deletes - b.Deletes,
		Watches: a.Watches - b.Watches, VMs: a.VMs - b.VMs,
	}
}

// The platform budget of docs/CAPACITY.md for today's size, eight processes in three availability zones: a hundredth
// of the platform's rates at rest, and a tenth while all processes start.
const (
	platformReads  = 2000.0 // a second
	platformWrites = 300.0
	restReads      = platformReads / 100 // a waiting watch counted once a second
	restWrites     = platformWrites / 100
	startReads     = platformReads / 10
	startWrites    = platformWrites / 10
	writesACall    = 2.0 // for each booking: claim and answer
)

// TestPlatformBudget counts the platform's calls at rest, under bookings, and when all processes start at once
// after an outage.
func TestPlatformBudget(t *testing.T) {
	inWorld(t, func(w *world) {
		nodes := budgetWorld(w)
		rest := w.callsIn(30 * time.Second)
		waiting := float64(len([]string{"za", "zb", "zc"}) * watchersPerPlace)
		assert.Assert(t, rest.reads+waiting <= restReads, "%.1f reads a second at rest", rest.reads+waiting)
		assert.Assert(t, rest.writes <= restWrites, "%.1f writes a second at rest", rest.writes)

		const bookings = 200
		before := w.store.Calls()
		wait := background(bookings, func(i int) reply {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			return w.book(nodes[i%len(nodes)], fmt.Sprintf("key-%d", i), "x")
		})
		wait()
		calls := minus(w.store.Calls(), before)
		perBooking := (float64(calls.Puts) - rest.writes*10) / bookings
		assert.Assert(t, perBooking <= writesACall+0.1, "%.2f writes for each booking", perBooking)

		w.platform.SetFaults(fakes.PlatformFaults{Down: true})
		time.Sleep(time.Minute)
		for i, n := range nodes {
			n.cancel()
			<-n.done
			n.done <- nil
			nodes[i] = w.launch(fmt.Sprintf("again-%d", i), n.zone)
		}
		time.Sleep(10 * time.Second)
		w.platform.SetFaults(fakes.PlatformFaults{})
		start := w.callsIn(5 * time.Second)
		assert.Assert(t, start.reads <= startReads, "%.1f reads a second at the start", start.reads)
		assert.Assert(t, start.writes <= startWrites, "%.1f writes a second at the start", start.writes)
		w.await("all have the configuration", inForce(nodes, 1))
	})
}

func budgetWorld(w *world) []*node {
	zones := []string{"za", "zb", "zc"}
	w.zones(zones...)
	for _, zone := range zones {
		for i := range 6 {
			w.engine(fmt.Sprintf("guide-%s-%d", zone, i), zone, fakes.EngineSettings{})
		}
		w.service("booking-"+zone, zone)
	}
	w.publish()
	var nodes []*node
	for i := range 8 {
		nodes = append(nodes, w.start(fmt.Sprintf("p%d", i), zones[i%3]))
	}
	time.Sleep(20 * time.Second)
	return nodes
}

// rates are the platform's calls a second.
type rates struct {
	reads  float64
	writes float64
}

// callsIn counts the calls of the given time.
func (w *world) callsIn(d time.Duration) rates {
	before := w.store.Calls()
	time.Sleep(d)
	c := minus(w.store.Calls(), before)
	return rates{
		reads:  float64(c.Gets+c.Lists+c.VMs+c.Watches) / d.Seconds(),
		writes: float64(c.Puts+c.Deletes) / d.Seconds(),
	}
}

// TestSpread prints what a change of configuration takes by the number of accounts, at eight processes.
func TestSpread(t *testing.T) {
	if !*capacity {
		t.Skip("only with -capacity")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "accounts\tfolder KiB\tin force after\tprocessor ms\tswap ms\tcontrol KiB a process\t")
	for _, accounts := range []int{10, 100, 1500} {
		inWorld(t, func(world *world) {
			nodes := budgetWorld(world)
			var folder strings.Builder
			for i := range accounts {
				fmt.Fprintf(&folder, "[tenant account-%d]\ntoken = token-%d\nrequestsPerSecond = 50\n", i, i)
			}
			sent, _ := traffic(nodes)
			cpu := processorTime()
			revision := world.publish(folder.String())
			after := world.await("in force", inForce(nodes, revision))
			spent := processorTime() - cpu
			time.Sleep(5 * time.Second)
			sentAfter, _ := traffic(nodes)
			swap := processorTime()
			nodes[0].pool.Set(nodes[0].follower.Config())
			fmt.Fprintf(w, "%d\t%d\t%s\t%.1f\t%.2f\t%d\t\n", accounts, folder.Len()/1024, after,
				spent.Seconds()*1000/float64(len(nodes)), (processorTime()-swap).Seconds()*1000,
				(sentAfter-sent)/1024/int64(len(nodes)))
			_ = w.Flush()
		})
	}
}
