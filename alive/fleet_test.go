package alive

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 0))
}

const (
	smallFleet = 16
	leaders    = 2
	fanout     = 16
	regions    = 3
)

// simulation is a fleet without input and output: datagrams arrive at once unless they are lost.
type simulation struct {
	now      time.Time
	ordered  []Process // all that are registered
	watches  map[units.ProcessName]*Watch
	records  map[units.ProcessName]map[units.ProcessName]*Record // by the process whose they are
	dead     map[units.ProcessName]bool
	lost     func(from, to units.ProcessName) bool
	messages int
}

// simulate returns a fleet whose live processes have just read the registrations.
func simulate(registered int, isLive func(position int) bool) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), watches: map[units.ProcessName]*Watch{}, dead: map[units.ProcessName]bool{},
		records: map[units.ProcessName]map[units.ProcessName]*Record{},
		lost:    func(_, _ units.ProcessName) bool { return false },
	}
	for i := range registered {
		s.ordered = append(s.ordered, Process{
			Name: units.ProcessName(fmt.Sprint("p", i)), Region: units.RegionName(fmt.Sprint("region-", i%regions)),
		})
	}
	slices.SortFunc(s.ordered, func(a, b Process) int {
		return cmp.Compare(digest.Sum64(string(a.Name)), digest.Sum64(string(b.Name)))
	})
	for i, p := range s.ordered {
		if s.dead[p.Name] = !isLive(i); !s.dead[p.Name] {
			s.start(p)
		}
	}
	return s
}

func (s *simulation) start(p Process) {
	w := New(Options{Process: p, SmallFleet: smallFleet, Leaders: leaders, Fanout: fanout})
	records := map[units.ProcessName]*Record{}
	for _, r := range w.Update(s.ordered, nil, s.now) {
		records[r.Name] = r
	}
	s.watches[p.Name], s.records[p.Name], s.dead[p.Name] = w, records, false
}

func (s *simulation) deliver(from, to units.ProcessName) bool {
	s.messages++
	if s.dead[from] || s.dead[to] || s.lost(from, to) {
		return false
	}
	s.records[to][from].Heard(s.now)
	return true
}

func (s *simulation) step() {
	s.now = s.now.Add(Interval)
	for _, p := range s.ordered {
		if s.dead[p.Name] {
			continue
		}
		next := s.watches[p.Name].Next(s.now)
		for _, r := range next.Probe {
			if s.deliver(p.Name, r.Name) {
				s.deliver(r.Name, p.Name)
			}
		}
		if len(next.Lost) == 0 && !next.Announce {
			continue
		}
		for _, other := range s.ordered {
			if other.Name == p.Name || s.watches[p.Name].IsGone(other.Name) || !s.deliver(p.Name, other.Name) {
				continue
			}
			for _, name := range next.Lost {
				s.watches[other.Name].Suspect(name, s.now)
			}
		}
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// leadersOf returns the processes with duties in each region, as a process knows them.
func (s *simulation) leadersOf(self units.ProcessName) map[units.RegionName][]units.ProcessName {
	return s.firstOfRegions(func(name units.ProcessName) bool { return !s.watches[self].IsGone(name) })
}

// firstOfRegions returns the first processes of each region that are there.
func (s *simulation) firstOfRegions(isThere func(units.ProcessName) bool) map[units.RegionName][]units.ProcessName {
	found, missing := map[units.RegionName][]units.ProcessName{}, regions*leaders
	for _, p := range s.ordered {
		if missing == 0 {
			break
		}
		if len(found[p.Region]) < leaders && isThere(p.Name) {
			found[p.Region] = append(found[p.Region], p.Name)
			missing--
		}
	}
	return found
}

// live returns the processes that are not dead, in order.
func (s *simulation) live() []units.ProcessName {
	var names []units.ProcessName
	for _, p := range s.ordered {
		if !s.dead[p.Name] {
			names = append(names, p.Name)
		}
	}
	return names
}

// actualLeaders returns the same as it is.
func (s *simulation) actualLeaders() map[units.RegionName][]units.ProcessName {
	return s.firstOfRegions(func(name units.ProcessName) bool { return !s.dead[name] })
}

// agree reports whether all live processes know those with duties.
func (s *simulation) agree() bool {
	want := s.actualLeaders()
	for _, name := range s.live() {
		known := s.leadersOf(name)
		for region := range want {
			if !slices.Equal(known[region], want[region]) {
				return false
			}
		}
	}
	return true
}

// awaitAgreement returns the time until all live processes know those with duties.
func (s *simulation) awaitAgreement(t testing.TB, limit time.Duration) time.Duration {
	t.Helper()
	began := s.now
	for !s.agree() {
		assert.Assert(t, s.now.Sub(began) <= limit, "processes do not agree on those with duties after %v", s.now.Sub(began))
		s.step()
	}
	return s.now.Sub(began)
}

// handOver is the time within which duties have to pass on.
const handOver = 4 * time.Second

// maxRegistered bounds the registrations in the test; the benchmark has more.
const maxRegistered = 400

// fleetSizes holds numbers of live processes, and how many times as many registrations are left over.
var fleetSizes = []struct{ live, leftOver int }{
	{8, 0}, {8, 1}, {8, 5}, {66, 0}, {66, 1}, {66, 5}, {300, 0}, {300, 1}, {300, 5},
}

// handOvers holds how long processes took to agree on those with duties.
type handOvers struct {
	known, passedOn, back time.Duration
	datagrams             float64 // a process and second at rest
}

// measureHandOvers lets those with duties be lost, and come back.
func measureHandOvers(live, leftOver int, await func(s *simulation) time.Duration) (h handOvers) {
	s := simulate(live*(1+leftOver), func(i int) bool { return i%(1+leftOver) == leftOver })
	h.known = await(s)
	s.run(5 * time.Second)
	before := s.messages
	s.run(10 * time.Second)
	h.datagrams = float64(s.messages-before) / 10 / float64(live)
	for _, names := range s.actualLeaders() {
		for _, name := range names {
			s.dead[name] = true
		}
	}
	h.passedOn = await(s)
	for _, p := range s.ordered {
		if s.dead[p.Name] && s.watches[p.Name] != nil {
			s.start(p)
		}
	}
	h.back = await(s)
	return h
}

// TestDutiesPassOn guards against duties that stay with processes that are gone, in fleets of which most registrations are left over.
func TestDutiesPassOn(t *testing.T) {
	for _, size := range fleetSizes {
		if size.live*(1+size.leftOver) > maxRegistered {
			continue
		}
		t.Run(fmt.Sprintf("%d processes, %d times as many gone", size.live, size.leftOver), func(t *testing.T) {
			h := measureHandOvers(size.live, size.leftOver, func(s *simulation) time.Duration { return s.awaitAgreement(t, handOver) })
			t.Logf("%+v", h)
		})
	}
}

// BenchmarkDuties reports how long it takes to agree on those with duties in fleets without left-over registrations and with them.
func BenchmarkDuties(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d processes, %d times as many gone", size.live, size.leftOver), func(b *testing.B) {
			var h handOvers
			for b.Loop() {
				h = measureHandOvers(size.live, size.leftOver, func(s *simulation) time.Duration { return s.awaitAgreement(b, 10*handOver) })
			}
			b.ReportMetric(float64(h.known.Milliseconds()), "known-ms")
			b.ReportMetric(float64(h.passedOn.Milliseconds()), "passed-on-ms")
			b.ReportMetric(float64(h.back.Milliseconds()), "back-ms")
			b.ReportMetric(h.datagrams, "datagrams/process/s")
		})
	}
}
