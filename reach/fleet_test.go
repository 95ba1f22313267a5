package reach

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var cuts = []struct {
	name string
	cut  cut
}{
	{name: "silent", cut: silent},
	{name: "reset", cut: reset},
	{name: "kept connections live", cut: keptLive},
	{name: "kept connections hang, dials are refused", cut: keptSilent},
}

// TestProcessesCutFromAllEnginesServeThroughOthers checks that requests at cut processes are served as well as others, that
// the other processes share the connections, and that dials are direct again after the partition.
func TestProcessesCutFromAllEnginesServeThroughOthers(t *testing.T) {
	for _, tt := range cuts {
		for _, count := range []int{1, 2, 5, 7} {
			t.Run(tt.name+"/"+string(rune('0'+count)), func(t *testing.T) {
				inFleet(t, 8, 21, func(f *fleet) {
					f.load(3*time.Second, 50, f.nodes)
					victims := f.nodes[:count]
					f.set(tt.cut, victims...)
					f.load(2*time.Second, 50, f.nodes)
					for _, p := range victims {
						assert.Assert(f.t, p.Isolated(), p.name)
					}
					rates := f.load(8*time.Second, 50, f.nodes)
					most, sum := 0, 0
					for i, p := range f.nodes {
						assert.Assert(f.t, rates[i] >= 0.97, "process %s: %.3f", p.name, rates[i])
						assert.Assert(f.t, !p.Stranded(), p.name)
						assert.Equal(f.t, p.Isolated(), i < count, p.name)
						most, sum = max(most, p.passed), sum+p.passed
					}
					if helpers := 8 - count; helpers > 1 {
						assert.Assert(f.t, most*helpers <= 3*sum, "one of %d processes passed on %d of %d", helpers, most, sum)
					}
					f.set(whole, victims...)
					f.await(1500*time.Millisecond, func() bool {
						for _, p := range victims {
							if p.Isolated() {
								return false
							}
						}
						return true
					})
					before := f.passedOn()
					rates = f.load(3*time.Second, 50, f.nodes)
					for i := range f.nodes {
						assert.Assert(f.t, rates[i] == 1, "process %d: %.3f", i, rates[i])
					}
					assert.Equal(f.t, f.passedOn(), before)
					for _, p := range victims {
						assert.Equal(f.t, p.away.Load(), int64(0))
					}
				})
			})
		}
	}
}

// TestPartitionIsFoundWithinHalfASecondUnderLoad checks the time until a process knows that it is cut off.
func TestPartitionIsFoundWithinHalfASecondUnderLoad(t *testing.T) {
	for _, tt := range cuts {
		t.Run(tt.name, func(t *testing.T) {
			inFleet(t, 8, 21, func(f *fleet) {
				var running sync.WaitGroup
				running.Go(func() { f.load(6*time.Second, 100, f.nodes) })
				time.Sleep(3 * time.Second)
				f.set(tt.cut, f.nodes[0])
				found := f.await(3*time.Second, f.nodes[0].Isolated)
				f.t.Logf("found after %s", found)
				running.Wait()
			})
		})
	}
}

// TestPartitionIsFoundAtLowTraffic checks processes with one request a second.
func TestPartitionIsFoundAtLowTraffic(t *testing.T) {
	for _, tt := range cuts {
		if tt.cut == keptLive {
			continue // requests over kept connections are served
		}
		t.Run(tt.name, func(t *testing.T) {
			inFleet(t, 4, 21, func(f *fleet) {
				f.load(5*time.Second, 1, f.nodes)
				f.set(tt.cut, f.nodes[:2]...)
				f.load(4*time.Second, 1, f.nodes)
				rates := f.load(10*time.Second, 1, f.nodes)
				for i, p := range f.nodes {
					assert.Assert(f.t, rates[i] == 1, "process %d: %.3f", i, rates[i])
					assert.Equal(f.t, p.Isolated(), i < 2)
				}
			})
		})
	}
}

// TestWholeFleetCutRefusesAtOnce checks that all processes know that they are stranded, that requests then fail at once, and
// that they serve again after the partition.
func TestWholeFleetCutRefusesAtOnce(t *testing.T) {
	for _, tt := range cuts {
		t.Run(tt.name, func(t *testing.T) {
			inFleet(t, 8, 21, func(f *fleet) {
				f.load(3*time.Second, 50, f.nodes)
				f.set(tt.cut, f.nodes...)
				f.load(2*time.Second, 50, f.nodes)
				for range 100 {
					for _, p := range f.nodes {
						assert.Assert(f.t, p.Stranded(), p.name)
					}
					began := time.Now()
					_, err := f.nodes[0].Dial(f.t.Context(), "tcp", f.engines[0])
					assert.Assert(f.t, err != nil)
					assert.Equal(f.t, time.Since(began), time.Duration(0))
					time.Sleep(50 * time.Millisecond)
				}
				f.set(whole, f.nodes[0])
				f.await(2*time.Second, func() bool { return !f.nodes[0].Isolated() })
				f.await(4*time.Second, func() bool { return !f.nodes[1].Stranded() })
				rates := f.load(4*time.Second, 50, f.nodes[:2])
				for i, rate := range rates {
					assert.Assert(f.t, rate >= 0.97, "process %d: %.3f", i, rate)
				}
			})
		})
	}
}

// TestOneServiceOutOfReachIsServedThroughOthers checks processes that are cut off from the engines of one service only.
func TestOneServiceOutOfReachIsServedThroughOthers(t *testing.T) {
	for _, tt := range cuts {
		t.Run(tt.name, func(t *testing.T) {
			inFleet(t, 8, 21, func(f *fleet) {
				models := slices.DeleteFunc(slices.Clone(f.engines), func(e string) bool { return e[0] != 'm' })
				var running sync.WaitGroup
				running.Go(func() { f.load(12*time.Second, 20, f.nodes) })
				time.Sleep(3 * time.Second)
				f.mu.Lock()
				for _, p := range f.nodes[:3] {
					p.only = "m"
				}
				f.mu.Unlock()
				f.set(tt.cut, f.nodes[:3]...)
				time.Sleep(time.Second)
				served := 0
				for range 200 {
					if f.nodes[0].serve(f.t.Context(), models) == nil {
						served++
					}
				}
				f.t.Logf("%d of 200 served", served)
				assert.Assert(f.t, served >= 180)
				assert.Assert(f.t, !f.nodes[0].Isolated())
				running.Wait()
			})
		})
	}
}

// load sends requests at the processes at a rate each and returns the share that is served of each.
func (f *fleet) load(duration time.Duration, rate int, nodes []*node) []float64 {
	var running sync.WaitGroup
	rates := make([]float64, len(nodes))
	for i, p := range nodes {
		running.Go(func() {
			sent, served := p.traffic(rate, duration, f.engines)
			rates[i] = float64(served) / float64(sent)
		})
	}
	running.Wait()
	return rates
}

func (f *fleet) passedOn() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, p := range f.nodes {
		sum += p.passed
	}
	return sum
}
