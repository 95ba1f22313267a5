package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

func benchFleet(engines int) *Fleet {
	f := New(Speeds{
		PrefillPerSecond: 9000, MixedFraction: 0.5, Sequences: 16, SequenceTime: 100 * time.Millisecond,
		FullBatchStep: 16 * time.Millisecond, PieceTokens: 64,
	}, nil)
	var views []*View
	for i := range engines {
		e := &config.Engine{Name: units.EngineName(fmt.Sprintf("engine-%d", i)), Role: engine.RoleMixed}
		v := NewView(e, nil, nil, time.Now())
		v.MarkPoll(time.Now())
		v.ApplyReport(engine.Report{Role: engine.RoleMixed, Running: i % 16, FreePieces: 1000, Sequence: 1}, time.Now())
		views = append(views, v)
	}
	f.Set(views)
	return f
}

// BenchmarkChoose measures the time of one choice in fleets of several sizes.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{18, 96, 667, 4000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			f := benchFleet(engines)
			request := Request{Job: flow.Job{Input: 400, Output: 100, Prefix: 77, Shared: 100}, Now: time.Now()}
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				if _, ok := f.Choose(request); !ok {
					b.Fatal("no plan")
				}
			}
		})
	}
}

// BenchmarkViewMemory measures the heap memory of one engine's view with a full prefix index.
func BenchmarkViewMemory(b *testing.B) {
	const engines = 667
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := benchFleet(engines)
		for _, v := range f.Views() {
			for i := range maxPrefixes {
				v.prefixes.add(uint64(i + 1))
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/engines, "B/engine")
		runtime.KeepAlive(f)
	}
}
