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

var measureCapacity = flag.Bool("capacity", false, "measure the cost of the control plane by number of processes")

const measurementTime = 60 * time.Second

// controlCost holds the resources that the control plane uses during measurementTime.
type controlCost struct {
	processes int
	sent      float64       // bytes per process and second
	received  float64       // bytes per process and second
	links     float64       // per process
	calls     fakes.Calls   // platform calls of all processes
	cpu       time.Duration // of all processes
	heap      float64       // bytes used by all processes, stand-ins included
	entries   int           // in the gossip table of one process
}

// TestCapacity prints the cost of the control plane for 2 to 96 idle processes in two to six availability zones.
func TestCapacity(t *testing.T) {
	if !*measureCapacity {
		t.Skip("only with -capacity")
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table,
		"processes\tzones\tlinks\tentries\tsent B/s\treceived B/s\tCPU ms/s\theap KiB\tplatform calls/s\twatch calls/s\t")
	for _, size := range []struct{ processes, zones int }{{2, 2}, {8, 3}, {32, 6}, {96, 6}} {
		runCluster(t, func(tc *testCluster) {
			c := measureControl(tc, size.processes, size.zones)
			n := float64(c.processes)
			total := c.calls.Gets + c.calls.Lists + c.calls.Puts + c.calls.Deletes + c.calls.Watches + c.calls.VMs
			t.Logf("%+v", c.calls)
			fmt.Fprintf(table, "%d\t%d\t%.1f\t%d\t%.0f\t%.0f\t%.2f\t%.0f\t%.2f\t%.2f\t\n",
				c.processes, size.zones, c.links, c.entries, c.sent, c.received,
				c.cpu.Seconds()*1000/n/measurementTime.Seconds(), c.heap/n/1024,
				float64(total)/measurementTime.Seconds(), float64(c.calls.Watches)/measurementTime.Seconds())
			_ = table.Flush()
		})
	}
}

func measureControl(tc *testCluster, processes, zones int) controlCost {
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for z := range zones {
		zone := fmt.Sprintf("z%d", z)
		tc.zones(zone)
		tc.engine("guide-"+zone, zone, fakes.EngineSettings{})
	}
	tc.publish()
	var nodes []*node
	for i := range processes {
		nodes = append(nodes, tc.launch(fmt.Sprintf("p%03d", i), fmt.Sprintf("z%d", i%zones)))
	}
	tc.await("configuration is in force", revisionInForce(nodes, 1))
	time.Sleep(measurementTime)
	c := controlCost{processes: processes, calls: tc.store.Calls()}
	sent, received := controlTraffic(nodes)
	cpu := cpuTime()
	time.Sleep(measurementTime)
	c.cpu = cpuTime() - cpu
	c.calls = subtractCalls(tc.store.Calls(), c.calls)
	sentAfter, receivedAfter := controlTraffic(nodes)
	perNode := float64(processes) * measurementTime.Seconds()
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

func controlTraffic(nodes []*node) (sent, received int64) {
	for _, n := range nodes {
		sent += n.mesh.Traffic.ControlSent.Load()
		received += n.mesh.Traffic.ControlReceived.Load()
	}
	return sent, received
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func subtractCalls(a, b fakes.Calls) fakes.Calls {
	return fakes.Calls{
		Gets: a.Gets - b.Gets, Lists: a.Lists - b.Lists, Puts: a.Puts - b.Puts, Deletes: a.Deletes - b.Deletes,
		Watches: a.Watches - b.Watches, VMs: a.VMs - b.VMs,
	}
}

// Platform budget of docs/CAPACITY.md for the current fleet of eight processes in three availability zones: 1/100 of
// the platform's request rates when idle, and 1/10 while all processes start.
const (
	platformReads    = 2000.0 // per second
	platformWrites   = 300.0
	idleReads        = platformReads / 100 // an open watch counts as one read per second
	idleWrites       = platformWrites / 100
	startReads       = platformReads / 10
	startWrites      = platformWrites / 10
	writesPerBooking = 2.0 // the claim and the answer
)

// TestPlatformBudget checks the rates of platform calls when idle, during bookings, and when all processes start at
// once after an outage of the platform.
func TestPlatformBudget(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		nodes := startBudgetCluster(tc)
		idle := tc.measureCallRates(30 * time.Second)
		openWatches := float64(len([]string{"za", "zb", "zc"}) * watchersPerPlace)
		assert.Assert(t, idle.reads+openWatches <= idleReads, "%.1f reads per second when idle", idle.reads+openWatches)
		assert.Assert(t, idle.writes <= idleWrites, "%.1f writes per second when idle", idle.writes)

		const bookings = 200
		before := tc.store.Calls()
		wait := background(bookings, func(i int) reply {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			return tc.book(nodes[i%len(nodes)], fmt.Sprintf("key-%d", i), "x")
		})
		wait()
		calls := subtractCalls(tc.store.Calls(), before)
		perBooking := (float64(calls.Puts) - idle.writes*10) / bookings
		assert.Assert(t, perBooking <= writesPerBooking+0.1, "%.2f writes per booking", perBooking)

		tc.platform.SetFaults(fakes.PlatformFaults{Down: true})
		time.Sleep(time.Minute)
		for i, n := range nodes {
			n.cancel()
			<-n.done
			n.done <- nil
			nodes[i] = tc.launch(fmt.Sprintf("again-%d", i), n.zone)
		}
		time.Sleep(10 * time.Second)
		tc.platform.SetFaults(fakes.PlatformFaults{})
		start := tc.measureCallRates(5 * time.Second)
		assert.Assert(t, start.reads <= startReads, "%.1f reads per second during the start", start.reads)
		assert.Assert(t, start.writes <= startWrites, "%.1f writes per second during the start", start.writes)
		tc.await("configuration is in force in all processes", revisionInForce(nodes, 1))
	})
}

func startBudgetCluster(tc *testCluster) []*node {
	zones := []string{"za", "zb", "zc"}
	tc.zones(zones...)
	for _, zone := range zones {
		for i := range 6 {
			tc.engine(fmt.Sprintf("guide-%s-%d", zone, i), zone, fakes.EngineSettings{})
		}
		tc.service("booking-"+zone, zone)
	}
	tc.publish()
	var nodes []*node
	for i := range 8 {
		nodes = append(nodes, tc.start(fmt.Sprintf("p%d", i), zones[i%3]))
	}
	time.Sleep(20 * time.Second)
	return nodes
}

// callRates holds the platform calls per second.
type callRates struct {
	reads  float64
	writes float64
}

// measureCallRates measures the rates of platform calls over the given duration.
func (tc *testCluster) measureCallRates(d time.Duration) callRates {
	before := tc.store.Calls()
	time.Sleep(d)
	c := subtractCalls(tc.store.Calls(), before)
	return callRates{
		reads:  float64(c.Gets+c.Lists+c.VMs+c.Watches) / d.Seconds(),
		writes: float64(c.Puts+c.Deletes) / d.Seconds(),
	}
}

// TestRolloutCost prints the time and resources of a configuration change by number of client accounts, with eight
// processes.
func TestRolloutCost(t *testing.T) {
	if !*measureCapacity {
		t.Skip("only with -capacity")
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "accounts\tfolder KiB\tin force after\tCPU ms\tswap ms\tcontrol KiB per process\t")
	for _, accounts := range []int{10, 100, 1500} {
		runCluster(t, func(tc *testCluster) {
			nodes := startBudgetCluster(tc)
			var folder strings.Builder
			for i := range accounts {
				fmt.Fprintf(&folder, "[tenant account-%d]\ntoken = token-%d\nrequestsPerSecond = 50\n", i, i)
			}
			sent, _ := controlTraffic(nodes)
			cpu := cpuTime()
			revision := tc.publish(folder.String())
			elapsed := tc.await("revision is in force", revisionInForce(nodes, revision))
			cpuSpent := cpuTime() - cpu
			time.Sleep(5 * time.Second)
			sentAfter, _ := controlTraffic(nodes)
			swap := cpuTime()
			nodes[0].pool.Set(nodes[0].follower.Config())
			fmt.Fprintf(table, "%d\t%d\t%s\t%.1f\t%.2f\t%d\t\n", accounts, folder.Len()/1024, elapsed,
				cpuSpent.Seconds()*1000/float64(len(nodes)), (cpuTime()-swap).Seconds()*1000,
				(sentAfter-sent)/1024/int64(len(nodes)))
			_ = table.Flush()
		})
	}
}
