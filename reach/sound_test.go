package reach

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestCrashedEnginesAreNoPartition checks processes that reach some engines while others are down.
func TestCrashedEnginesAreNoPartition(t *testing.T) {
	tests := []struct {
		name string
		hit  func(i int, engine string) bool
	}{
		{name: "one", hit: func(i int, _ string) bool { return i == 0 }},
		{name: "a third", hit: func(i int, _ string) bool { return i%3 == 0 }},
		{name: "the larger service", hit: func(_ int, engine string) bool { return engine[0] == 'm' }},
		{name: "the smaller service", hit: func(_ int, engine string) bool { return engine[0] == 'd' }},
		{name: "all but one", hit: func(i int, _ string) bool { return i != 20 }},
	}
	for _, tt := range tests {
		for _, d := range []down{crashed, gone} {
			t.Run(tt.name+[...]string{"", " crashed", " gone"}[d], func(t *testing.T) {
				inFleet(t, 4, 21, func(f *fleet) {
					f.load(3*time.Second, 50, f.nodes)
					var hit []string
					for i, e := range f.engines {
						if tt.hit(i, e) {
							hit = append(hit, e)
						}
					}
					f.setDown(d, hit...)
					var running sync.WaitGroup
					running.Go(func() { f.load(8*time.Second, 50, f.nodes) })
					for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						for _, p := range f.nodes {
							assert.Assert(f.t, !p.Isolated() && !p.Stranded(), p.name)
						}
					}
					running.Wait()
					for _, p := range f.nodes {
						assert.Equal(f.t, p.Counts().BrokenOff, uint64(0))
						f.t.Logf("%s: %+v", p.name, p.Counts())
					}
					f.setDown(up, hit...)
					for i, rate := range f.load(3*time.Second, 50, f.nodes) {
						assert.Assert(f.t, rate == 1, "process %d: %.3f", i, rate)
					}
				})
			})
		}
	}
}

// TestAllEnginesDownIsCheap checks that processes that all reach no engine soon refuse, and serve once engines are back.
func TestAllEnginesDownIsCheap(t *testing.T) {
	for _, d := range []down{crashed, gone} {
		t.Run([...]string{"", "crashed", "gone"}[d], func(t *testing.T) {
			inFleet(t, 4, 9, func(f *fleet) {
				f.load(3*time.Second, 50, f.nodes)
				f.setDown(d, f.engines...)
				f.load(3*time.Second, 50, f.nodes)
				before := f.dialed()
				f.load(5*time.Second, 50, f.nodes)
				perSecond := float64(f.dialed()-before) / 5 / float64(len(f.nodes))
				assert.Assert(f.t, perSecond <= 10, "%.1f direct dials a second", perSecond)
				f.setDown(up, f.engines...)
				f.await(2*time.Second, func() bool { return !f.nodes[0].Isolated() && !f.nodes[3].Isolated() })
				for i, rate := range f.load(3*time.Second, 50, f.nodes) {
					assert.Assert(f.t, rate >= 0.97, "process %d: %.3f", i, rate)
				}
			})
		})
	}
}

// TestSlowEnginesAreNoPartition checks engines that answer after 1.5 s: they are probed at most once a second, and no
// request is broken off.
func TestSlowEnginesAreNoPartition(t *testing.T) {
	for _, rate := range []int{1, 50} {
		t.Run([]string{"low traffic", "load"}[min(rate/50, 1)], func(t *testing.T) {
			inFleet(t, 3, 21, func(f *fleet) {
				f.delay = func() time.Duration { return 1500 * time.Millisecond }
				began := time.Now()
				for i, share := range f.load(20*time.Second, rate, f.nodes) {
					assert.Assert(f.t, share == 1, "process %d: %.3f", i, share)
				}
				for _, p := range f.nodes {
					counts := p.Counts()
					assert.Equal(f.t, counts.BrokenOff+counts.Away, uint64(0))
					assert.Assert(f.t, float64(counts.Probes) <= 2*time.Since(began).Seconds()+2, "%+v", counts)
				}
			})
		})
	}
}

// TestSoundFleetPaysNothing checks that a process that reaches engines probes none.
func TestSoundFleetPaysNothing(t *testing.T) {
	inFleet(t, 2, 21, func(f *fleet) {
		f.load(10*time.Second, 50, f.nodes)
		time.Sleep(3 * time.Second) // with idle connections
		for _, p := range f.nodes {
			counts := p.Counts()
			assert.Equal(f.t, counts.Probes+counts.Away+counts.AwayFailed+counts.DirectFailed, uint64(0))
			assert.Equal(f.t, uint64(p.dials), counts.Direct)
		}
	})
}

// TestLongAnswersSurviveWhereKeptConnectionsLive checks that requests on open connections go on if others are heard.
func TestLongAnswersSurviveWhereKeptConnectionsLive(t *testing.T) {
	inFleet(t, 2, 21, func(f *fleet) {
		var mu sync.Mutex
		long := false
		f.delay = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if long {
				long = false
				return 1900 * time.Millisecond
			}
			return 30 * time.Millisecond
		}
		f.load(3*time.Second, 50, f.nodes)
		mu.Lock()
		long = true
		mu.Unlock()
		answer := make(chan error, 1)
		go func() { answer <- f.nodes[0].request(f.t.Context(), f.engines[0]) }()
		time.Sleep(4 * linkLatency) // the request has its connection
		f.set(keptLive, f.nodes[0])
		f.load(3*time.Second, 100, f.nodes)
		assert.Assert(f.t, f.nodes[0].Isolated())
		assert.NilError(f.t, <-answer)
	})
}

// TestHungRequestsEndOnceThePathIsLost checks that requests on connections that hang fail with ErrPathLost.
func TestHungRequestsEndOnceThePathIsLost(t *testing.T) {
	inFleet(t, 2, 21, func(f *fleet) {
		f.delay = func() time.Duration { return 400 * time.Millisecond }
		p := f.nodes[0]
		answers := make(chan error, 4)
		for _, e := range f.engines[:4] {
			go func() { answers <- p.request(f.t.Context(), e) }()
		}
		time.Sleep(100 * time.Millisecond)
		f.set(silent, p)
		began := time.Now()
		for range 4 {
			assert.ErrorIs(f.t, <-answers, ErrPathLost)
		}
		assert.Assert(f.t, time.Since(began) < time.Second, "%s", time.Since(began))
		assert.Equal(f.t, p.Counts().BrokenOff, uint64(4))
	})
}

// TestStalledProcessIsNotIsolated checks that a process whose timers fire late does not take its probes for failures.
func TestStalledProcessIsNotIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stalled := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			time.Sleep(time.Second)
			return nil, ctx.Err()
		}
		n, closeNetwork := New(Options{
			Dial: stalled, Processes: func() []Process { return nil }, Clock: time.Now, Log: zerolog.Nop(),
			Engines: func() []string { return []string{"a", "b", "c"} },
		})
		defer closeNetwork()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go func() {
			n.failed("a", false)
			n.failed("b", false)
		}()
		assert.ErrorIs(t, n.Run(ctx), context.DeadlineExceeded)
		assert.Assert(t, !n.Isolated())
		assert.Assert(t, n.Counts().Probes > 0)
	})
}

// TestTunnelGetsNoValuesOfTheRequest checks that hooks of a request's HTTP trace do not reach the dial of another process.
func TestTunnelGetsNoValuesOfTheRequest(t *testing.T) {
	type key struct{}
	near, far := net.Pipe()
	defer far.Close()
	n, closeNetwork := New(Options{
		Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errTestRefused },
		Tunnel: func(ctx context.Context, process, engine string) (net.Conn, error) {
			assert.Equal(t, process+" "+engine, "p:1 e:1")
			assert.Assert(t, ctx.Value(key{}) == nil)
			return near, nil
		},
		Processes: func() []Process { return []Process{{Name: "p", Address: "p:1"}} },
		Engines:   func() []string { return []string{"e:1"} }, Clock: time.Now, Log: zerolog.Nop(),
	})
	defer closeNetwork()
	n.failed("e:1", false)
	n.failed("e:2", false)
	assert.Assert(t, n.Isolated())
	c, err := n.Dial(context.WithValue(t.Context(), key{}, 1), "tcp", "e:1")
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	assert.Equal(t, n.away.Load(), int64(0))
}

// TestFailedDialNamesBothWays checks the error of a dial that failed directly and through other processes.
func TestFailedDialNamesBothWays(t *testing.T) {
	errOther := errors.New("other process is stopping")
	n, closeNetwork := New(Options{
		Dial:      func(context.Context, string, string) (net.Conn, error) { return nil, errTestRefused },
		Tunnel:    func(context.Context, string, string) (net.Conn, error) { return nil, errOther },
		Processes: func() []Process { return []Process{{Name: "p", Address: "p:1"}} },
		Engines:   func() []string { return strings.Fields("e:1 e:2 e:3") }, Clock: time.Now, Log: zerolog.Nop(),
	})
	defer closeNetwork()
	n.failed("e:2", false)
	_, err := n.Dial(t.Context(), "tcp", "e:1")
	assert.ErrorIs(t, err, errTestRefused)
	assert.ErrorIs(t, err, errOther)
	assert.Assert(t, !n.Isolated())
}

// TestConnectionsForOthersGoThroughNoThirdProcess checks that direct dials stay direct and are evidence.
func TestConnectionsForOthersGoThroughNoThirdProcess(t *testing.T) {
	n, closeNetwork := New(Options{
		Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errTestRefused },
		Tunnel: func(context.Context, string, string) (net.Conn, error) {
			t.Error("dials through a third process")
			return nil, errTestRefused
		},
		Processes: func() []Process { return []Process{{Name: "p", Address: "p:1"}} },
		Engines:   func() []string { return strings.Fields("e:1 e:2 e:3") }, Clock: time.Now, Log: zerolog.Nop(),
	})
	defer closeNetwork()
	for _, engine := range strings.Fields("e:1 e:2 e:3 e:1") {
		_, err := n.DialDirect(t.Context(), "tcp", engine)
		assert.ErrorIs(t, err, errTestRefused)
	}
	assert.Assert(t, n.Isolated())
	_, err := n.DialDirect(t.Context(), "tcp", "e:1")
	assert.ErrorIs(t, err, errTestRefused)
}

func (f *fleet) dialed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, p := range f.nodes {
		sum += p.dials
	}
	return sum
}
