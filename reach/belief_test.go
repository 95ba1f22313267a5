package reach

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// at returns a time some milliseconds after the start of a test.
func at(ms int) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

// TestBelief plays events, one a word: the time in ms, what happens, and an engine whose first letter names its group. A
// suspicion begins as soon as the events call for it, with all engines as its sample.
func TestBelief(t *testing.T) {
	const engines = "m1 m2 m3 d1"
	tests := []struct {
		name   string
		events string
		want   state
		probes string // of the latest suspicion
	}{
		{name: "one failure after a success", events: "0:ok:m1 10:fail:m2", want: reached},
		{name: "one failure long after a success", events: "0:ok:m1 1000:fail:m2", want: suspected, probes: "m1 m3 d1"},
		{name: "the same engine twice", events: "0:ok:m1 10:fail:m2 20:fail:m2", want: reached},
		{name: "two engines", events: "0:ok:m1 10:fail:m2 20:fail:m3", want: suspected, probes: "m1 d1"},
		{name: "two slow dials", events: "0:ok:m1 10:slow:m2 20:slow:m3", want: suspected, probes: "m1 m2 m3 d1"},
		{name: "success between", events: "0:ok:m1 10:fail:m2 15:ok:d1 20:fail:m3", want: reached},
		{name: "failures far apart", events: "0:ok:m1 10:fail:m2 2100:ok:d1 2200:fail:m3", want: reached},
		{name: "all fail", events: "10:fail:m2 20:fail:m3 30:fail:m1 40:fail:d1", want: isolated, probes: "m1 d1"},
		{name: "all time out", events: "10:hang:m2 20:hang:m3 30:hang:m1 40:hang:d1", want: isolated, probes: "m1 d1"},
		{name: "slow is not failed", events: "10:fail:m2 20:fail:m3 30:slow:m1 40:slow:d1", want: suspected, probes: "m1 d1"},
		{name: "one service down", events: "10:fail:m2 20:fail:m3 30:fail:m1 40:ok:d1", want: reached, probes: "m1 d1"},
		{name: "healed", events: "10:fail:m2 20:fail:m3 30:fail:m1 40:fail:d1 900:ok:m3", want: reached, probes: "m1 d1"},
		{
			name:   "failures while isolated",
			events: "10:fail:m2 20:fail:m3 30:fail:m1 40:fail:d1 50:fail:m1", want: isolated, probes: "m1 d1",
		},
		{
			name:   "rounds are limited",
			events: "10:fail:m1 20:fail:m2 30:ok:d1 40:fail:m1 50:fail:m2", want: reached, probes: "m3 d1",
		},
		{
			name:   "next round",
			events: "10:fail:m1 20:fail:m2 30:ok:d1 340:fail:m1 350:fail:m2", want: suspected, probes: "m3 d1",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBelief(at(0))
			var probes []string
			for event := range strings.FieldsSeq(tt.events) {
				var ms int
				word := strings.Split(event, ":")
				_, err := fmt.Sscan(word[0], &ms)
				assert.NilError(t, err)
				engine, group, now := word[2], word[2][:1], at(ms)
				switch word[1] {
				case "ok":
					b.succeeded(group, now)
				case "slow":
					b.slow(engine, group, now)
				default:
					b.failed(engine, group, word[1] == "hang", now)
				}
				if b.suspicious(now) {
					probes, _ = b.suspect(strings.Fields(engines), false, now)
				}
			}
			assert.Equal(t, b.state, tt.want)
			assert.Equal(t, strings.Join(probes, " "), tt.probes)
			if tt.want == isolated {
				assert.Equal(t, b.hangs(), strings.Contains(tt.events, "hang"))
			}
		})
	}
}

// TestIsolatedOnlyIfEveryEngineOfTheSampleFailed plays random outcomes and compares the belief with their record.
func TestIsolatedOnlyIfEveryEngineOfTheSampleFailed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := strings.Fields("m1 m2 m3 d1 d2")
		b := newBelief(at(0))
		now, succeeded := 0, -1 // ms
		failed := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += rapid.SampledFrom([]int{1, 20, 150, 1200}).Draw(t, "pause")
			engine := rapid.SampledFrom(engines).Draw(t, "engine")
			before := b.state
			switch rapid.SampledFrom([]string{"ok", "fail", "fail", "fail", "slow", "abandon"}).Draw(t, "event") {
			case "ok":
				b.succeeded(engine[:1], at(now))
				succeeded = now
				assert.Equal(t, b.state, reached)
			case "fail":
				failed[engine] = now
				b.failed(engine, engine[:1], false, at(now))
			case "slow":
				b.slow(engine, engine[:1], at(now))
			case "abandon":
				b.abandon()
			}
			if b.suspicious(at(now)) {
				b.suspect(engines, false, at(now))
			}
			if b.state == isolated {
				for _, e := range engines {
					last, ok := failed[e]
					assert.Assert(t, ok && last >= succeeded, "%s did not fail since the last success", e)
				}
			} else if before == isolated {
				assert.Equal(t, succeeded, now)
			}
		}
	})
}

// TestDoubts checks when a dial that fails may take a way through another process.
func TestDoubts(t *testing.T) {
	now := at(5000)
	tests := []struct {
		name  string
		setup func(b *belief)
		want  bool
	}{
		{name: "nothing failed", setup: func(*belief) {}},
		{name: "only this engine", setup: func(b *belief) { b.failed("m1", "m", false, now) }},
		{name: "another of the group", setup: func(b *belief) { b.failed("m2", "m", false, now) }, want: true},
		{name: "another group", setup: func(b *belief) { b.failed("d1", "d", false, now) }},
		{name: "long ago", setup: func(b *belief) { b.failed("m2", "m", false, at(2900)) }},
		{name: "success since", setup: func(b *belief) {
			b.failed("m2", "m", false, at(4900))
			b.succeeded("m", at(4950))
		}},
		{name: "success in another group", setup: func(b *belief) {
			b.failed("m2", "m", false, at(4900))
			b.succeeded("d", at(4950))
		}, want: true},
		{name: "down for another process too", setup: func(b *belief) {
			b.failed("m1", "m", false, at(4900))
			b.failed("m2", "m", false, at(4900))
			b.confirmed("m1", at(4950))
		}},
		{name: "was down for another process", setup: func(b *belief) {
			b.failed("m1", "m", false, at(3800))
			b.confirmed("m1", at(3900))
			b.failed("m1", "m", false, now)
			b.failed("m2", "m", false, now)
		}, want: true},
		{name: "suspected", setup: func(b *belief) { b.suspect([]string{"m1", "m2"}, true, now) }, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBelief(at(0))
			tt.setup(&b)
			assert.Equal(t, b.doubts("m1", "m", now), tt.want)
		})
	}
}

// TestSilenceThatCallsForProbes checks which silence of engines starts a suspicion.
func TestSilenceThatCallsForProbes(t *testing.T) {
	ms := func(n int) int64 { return int64(n) * int64(time.Millisecond) }
	type link struct {
		engine         string
		waiting, heard int // ms
	}
	tests := []struct {
		name   string
		links  []link
		latest int // ms
		want   bool
	}{
		{name: "no connection"},
		{name: "idle connections", links: []link{{"a", 0, 100}, {"b", 0, 100}}},
		{name: "one engine", links: []link{{"a", 9500, 100}}},
		{name: "one engine for long", links: []link{{"a", 9000, 100}}, want: true},
		{name: "one engine over two connections", links: []link{{"a", 9500, 100}, {"a", 9500, 100}}},
		{name: "two engines", links: []link{{"a", 9800, 100}, {"b", 9700, 100}}, want: true},
		{name: "two engines, one since shortly", links: []link{{"a", 9950, 100}, {"b", 9700, 100}}},
		{name: "another engine is heard", links: []link{{"a", 9000, 100}, {"b", 9000, 100}, {"c", 0, 9900}}},
		{name: "a closed connection was heard", links: []link{{"a", 9000, 100}, {"b", 9000, 100}}, latest: 9900},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var conns []*conn
			for _, l := range tt.links {
				c := &conn{engine: l.engine}
				c.waiting.Store(ms(l.waiting))
				c.heard.Store(ms(l.heard))
				conns = append(conns, c)
			}
			s := listen(conns, ms(tt.latest), ms(10000))
			assert.Equal(t, s.telling(), tt.want)
		})
	}
}

// TestHopelessConnections checks which connections a process breaks off.
func TestHopelessConnections(t *testing.T) {
	tests := []struct {
		name        string
		heard       []int64
		latest      int64
		hangs       bool
		isolatedFor time.Duration
		want        int
	}{
		{name: "silent and dials hang", heard: []int64{50, 100}, hangs: true, want: 2},
		{name: "one is heard", heard: []int64{50, 101}, hangs: true},
		{name: "a closed one was heard", heard: []int64{50}, latest: 101, hangs: true},
		{name: "silent and dials are refused", heard: []int64{50, 100}},
		{name: "silent for long and dials are refused", heard: []int64{50, 100}, isolatedFor: time.Second, want: 2},
		{name: "heard and dials are refused", heard: []int64{50, 101}, isolatedFor: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var conns []*conn
			for _, heard := range tt.heard {
				c := &conn{}
				c.heard.Store(heard)
				conns = append(conns, c)
			}
			assert.Equal(t, len(hopeless(conns, tt.latest, 100, tt.hangs, tt.isolatedFor)), tt.want)
		})
	}
}

// TestSampleTakesFromEveryGroup checks the engines whose dials must fail.
func TestSampleTakesFromEveryGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		var engines []string
		for _, group := range []string{"a", "b", "c"} {
			for i := range rapid.IntRange(0, 40).Draw(t, group) {
				engines = append(engines, fmt.Sprint(group, i))
			}
		}
		limit := rapid.IntRange(0, 30).Draw(t, "limit")
		got := sample(engines, func(e string) string { return e[:1] }, limit, random.IntN)
		assert.Equal(t, len(got), min(limit, len(engines)))
		counts := map[string]int{}
		for _, e := range got {
			assert.Assert(t, slices.Contains(engines, e))
			counts[e[:1]]++
		}
		slices.Sort(got)
		assert.Equal(t, len(slices.Compact(got)), min(limit, len(engines)))
		for _, group := range []string{"a", "b", "c"} {
			size := 0
			for _, e := range engines {
				if e[:1] == group {
					size++
				}
			}
			assert.Assert(t, counts[group] >= min(size, limit/3), "group %s: %d of %d", group, counts[group], size)
		}
	})
}
