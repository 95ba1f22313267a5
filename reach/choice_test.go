package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/units"
)

func testChoice(seed uint64) choice {
	return newChoice("one", rand.New(rand.NewPCG(7, seed)).IntN)
}

// TestOrderOfProcesses checks which process is tried first, as share of many draws.
func TestOrderOfProcesses(t *testing.T) {
	now := at(60_000)
	processes := []Process{
		{Name: "n1", Region: "one"}, {Name: "n2", Region: "one"}, {Name: "f1", Region: "two"}, {Name: "f2", Region: "two"},
	}
	tests := []struct {
		name  string
		setup func(c *choice)
		count int
		first map[units.ProcessName]float64
	}{
		{
			name: "nothing known", setup: func(*choice) {}, count: 4,
			first: map[units.ProcessName]float64{"n1": 0.5, "n2": 0.5},
		},
		{
			name: "another region passed one on", setup: func(c *choice) { c.passed("f1", now) }, count: 4,
			first: map[units.ProcessName]float64{"f1": 1},
		},
		{
			name: "few of the region are known", setup: func(c *choice) { c.passed("n1", now) }, count: 4,
			first: map[units.ProcessName]float64{"n1": 1 - 1.0/exploreOneIn, "n2": 1.0 / exploreOneIn},
		},
		{
			name: "passed one on long ago", setup: func(c *choice) { c.passed("f1", at(54_000)) }, count: 4,
			first: map[units.ProcessName]float64{"n1": 0.5, "n2": 0.5},
		},
		{
			name: "failed now", setup: func(c *choice) { c.failed("n1", now) }, count: 3,
			first: map[units.ProcessName]float64{"n2": 1},
		},
		{
			name: "failed a while ago", setup: func(c *choice) { c.failed("n1", at(58_900)) }, count: 4,
			first: map[units.ProcessName]float64{"n1": 0.5, "n2": 0.5},
		},
		{
			name: "failed twice", setup: func(c *choice) {
				c.failed("n1", at(57_000))
				c.failed("n1", at(58_900))
			}, count: 3,
			first: map[units.ProcessName]float64{"n2": 1},
		},
		{
			name: "failed after it passed one on", setup: func(c *choice) {
				c.passed("n1", at(58_000))
				c.failed("n1", at(58_900))
				c.passed("n2", at(58_000))
			}, count: 4,
			first: map[units.ProcessName]float64{"n2": 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const draws = 4000
			c := testChoice(1)
			tt.setup(&c)
			first := map[units.ProcessName]int{}
			for range draws {
				order := c.order(processes, now)
				assert.Equal(t, len(order), tt.count)
				first[order[0].Name]++
			}
			for _, p := range processes {
				got, want := float64(first[p.Name])/draws, tt.first[p.Name]
				assert.Assert(t, got >= want-0.15 && got <= want+0.15 && (want > 0 || got == 0), "%s: %.2f, not %.2f", p.Name, got, want)
			}
		})
	}
}

// TestStrandedProcesses checks when no process passes connections on.
func TestStrandedProcesses(t *testing.T) {
	fleet := func(size int) []Process {
		var processes []Process
		for i := range size {
			processes = append(processes, Process{Name: units.ProcessName(fmt.Sprint(i))})
		}
		return processes
	}
	fail := func(c *choice, from, to int) {
		for i := from; i < to; i++ {
			c.failed(units.ProcessName(fmt.Sprint(i)), at(0))
		}
	}
	tests := []struct {
		name      string
		processes int
		setup     func(c *choice)
		want      bool
	}{
		{name: "no process", setup: func(*choice) {}, want: true},
		{name: "none tried", processes: 3, setup: func(*choice) {}},
		{name: "some tried", processes: 3, setup: func(c *choice) { fail(c, 0, 2) }},
		{name: "all failed", processes: 3, setup: func(c *choice) { fail(c, 0, 3) }, want: true},
		{name: "one passed a connection on", processes: 3, setup: func(c *choice) {
			fail(c, 0, 3)
			c.passed("1", at(100))
		}},
		{name: "one would pass connections on", processes: 3, setup: func(c *choice) {
			fail(c, 0, 3)
			c.willing("1")
		}},
		{name: "the only one that passed left", processes: 3, setup: func(c *choice) {
			fail(c, 0, 3)
			c.passed("9", at(100))
		}, want: true},
		{name: "a sample of many failed", processes: 100, setup: func(c *choice) { fail(c, 10, 10+strandedSample) }, want: true},
		{name: "fewer of many failed", processes: 100, setup: func(c *choice) { fail(c, 10, 9+strandedSample) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := testChoice(1)
			tt.setup(&c)
			c.prune(fleet(tt.processes))
			assert.Equal(t, c.stranded(tt.processes), tt.want)
		})
	}
}

// TestPartitionedProcessesSpreadOverOthers checks that many processes that learn which others pass connections on do not all
// settle on the same.
func TestPartitionedProcessesSpreadOverOthers(t *testing.T) {
	const partitioned, others, dials = 60, 8, 50
	var processes []Process
	for i := range others {
		processes = append(processes, Process{Name: units.ProcessName(fmt.Sprint(i)), Region: "one"})
	}
	passed := map[units.ProcessName]int{}
	for seed := range partitioned {
		c := testChoice(uint64(seed))
		for i := range dials {
			p := c.order(processes, at(i*20))[0]
			c.passed(p.Name, at(i*20))
			passed[p.Name]++
		}
	}
	for _, p := range processes {
		share := float64(passed[p.Name]) / (partitioned * dials) * others
		assert.Assert(t, share > 0.6 && share < 1.6, "%s has %.2f of its share", p.Name, share)
	}
}

// TestRetriesOfProcessesAreBounded checks the times at which a process that always fails is tried again.
func TestRetriesOfProcessesAreBounded(t *testing.T) {
	c := testChoice(1)
	processes := []Process{{Name: "p"}}
	var tries []int // ms
	for ms := 0; ms < 8000; ms += 100 {
		if len(c.order(processes, at(ms))) > 0 {
			tries = append(tries, ms)
			c.failed("p", at(ms))
		}
	}
	assert.DeepEqual(t, tries, []int{0, 1000, 3000, 5000, 7000})
	assert.Equal(t, maxRetryInterval, 2*time.Second)
}
